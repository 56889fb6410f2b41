package holdings_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func encoded(t *testing.T, service string, slots uint32, revision uint64) *lapisv1.EncodedBundle {
	t.Helper()
	bundle, err := meshconfig.EncodeBundle(&lapisv1.Bundle{Pool: &lapisv1.Pool{Name: service, Slots: slots}}, revision)
	assert.NilError(t, err)
	return bundle
}

// newSource returns holdings that contain all bundles at the given revision.
func newSource(t *testing.T, revision uint64, bundles ...*lapisv1.EncodedBundle) *holdings.Holdings {
	t.Helper()
	held := map[string]*lapisv1.EncodedBundle{}
	for _, bundle := range bundles {
		held[bundle.GetService()] = bundle
	}
	set := meshconfig.DigestOf(held)
	source := holdings.New()
	assert.NilError(t, source.Apply(&lapisv1.Update{
		ToRevision: revision, Full: true, Bundles: bundles, Digest: set.Bytes(),
	}, holdings.Interest{All: true}))
	return source
}

func TestFaultyUpdateLeavesHoldingsUnchanged(t *testing.T) {
	interest := holdings.NewInterest("a", "b")
	cases := []struct {
		name   string
		spoil  func(*lapisv1.Update)
		expect result.Code
	}{
		{"older revision", func(u *lapisv1.Update) { u.ToRevision = 4 }, result.DistributionBelowFloor},
		{"crossed update", func(u *lapisv1.Update) { u.FromRevision = 3 }, result.DistributionWrongBase},
		{"corrupted content", func(u *lapisv1.Update) { u.Bundles[0].Content[0] ^= 1 }, result.DistributionDigestMismatch},
		{"corrupted digest", func(u *lapisv1.Update) { u.Digest[3] ^= 1 }, result.DistributionDigestMismatch},
		{"no digest", func(u *lapisv1.Update) { u.Digest = nil }, result.DistributionDigestMismatch},
		{"bundle left out", func(u *lapisv1.Update) { u.Bundles = u.Bundles[:1] }, result.DistributionDigestMismatch},
		{"bundle of another service", func(u *lapisv1.Update) { u.Bundles[0].Service = "c" }, result.DistributionNotClosed},
		{"route without its secret", func(u *lapisv1.Update) {
			open, _ := meshconfig.EncodeBundle(&lapisv1.Bundle{
				Pool:   &lapisv1.Pool{Name: "a"},
				Routes: []*lapisv1.Route{{Name: "r", Pool: "a", Secret: "missing"}},
			}, 6)
			u.Bundles[0] = open
		}, result.DistributionNotClosed},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			held := holdings.New()
			first := newSource(t, 5, encoded(t, "a", 1, 5), encoded(t, "b", 1, 5))
			assert.NilError(t, held.Apply(first.Delta(interest, holdings.Interest{}, 0), interest))
			next := newSource(t, 6, encoded(t, "a", 2, 6), encoded(t, "b", 2, 6), encoded(t, "c", 2, 6))
			good := next.Delta(interest, holdings.Interest{}, 5)
			spoiled := proto.Clone(good).(*lapisv1.Update)
			test.spoil(spoiled)
			before := held.Bundles(interest)
			err := held.Apply(spoiled, interest)
			assert.Assert(t, result.Is(err, test.expect), "%v", err)
			assert.Equal(t, held.Revision(), uint64(5))
			assert.DeepEqual(t, keysAndRevisions(before), keysAndRevisions(held.Bundles(interest)))
			assert.NilError(t, held.Apply(good, interest))
			assert.Equal(t, held.Revision(), uint64(6))
		})
	}
}

func keysAndRevisions(bundles map[string]*lapisv1.EncodedBundle) map[string]uint64 {
	revisions := map[string]uint64{}
	for service, bundle := range bundles {
		revisions[service] = bundle.GetChangedRevision()
	}
	return revisions
}

// TestAnyPathOfUpdatesEndsInTheSameHoldings changes a source at random, while a relay with changing
// interest and a leaf below it follow with gaps. After every step it checks that relay and leaf
// hold exactly the bundles of the source.
func TestAnyPathOfUpdatesEndsInTheSameHoldings(t *testing.T) {
	services := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(rt *rapid.T) {
		state := map[string]*lapisv1.EncodedBundle{}
		revision := uint64(0)
		origin, relay, leaf := holdings.New(), holdings.New(), holdings.New()
		all := holdings.Interest{All: true}
		for range rapid.IntRange(3, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "action") {
			case 0, 1:
				revision++
				service := rapid.SampledFrom(services).Draw(rt, "service")
				change := changeService(t, state, service, revision, rapid.Bool().Draw(rt, "remove"))
				set := meshconfig.DigestOf(state)
				assert.NilError(rt, origin.Apply(&lapisv1.Update{
					FromRevision: revision - 1, ToRevision: revision, Full: revision == 1,
					Bundles: []*lapisv1.EncodedBundle{change}, Digest: set.Bytes(),
				}, all))
			case 2:
				wanted := holdings.NewInterest(rapid.SliceOfN(rapid.SampledFrom(services), 1, 4).Draw(rt, "interest")...)
				follow(rt, origin, relay, wanted)
				leafInterest := holdings.NewInterest(rapid.SampledFrom(services).Draw(rt, "leaf"))
				if relay.Interest().Covers(leafInterest) {
					follow(rt, relay, leaf, leafInterest)
				}
			case 3:
				follow(rt, origin, relay, relay.Interest())
			}
			checkSubset(rt, state, revision, relay, origin)
			checkSubset(rt, state, revision, leaf, relay)
		}
	})
}

func changeService(t *testing.T, state map[string]*lapisv1.EncodedBundle, service string, revision uint64, remove bool) *lapisv1.EncodedBundle {
	if _, present := state[service]; present && remove {
		delete(state, service)
		return &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: revision}
	}
	state[service] = encoded(t, service, uint32(revision), revision)
	return state[service]
}

// follow updates child to parent's revision with a new interest.
func follow(rt *rapid.T, parent, child *holdings.Holdings, interest holdings.Interest) {
	added := interest.Minus(child.Interest())
	update := parent.Delta(interest, added, child.Revision())
	if update == nil || parent.Revision() == 0 {
		return
	}
	assert.NilError(rt, child.Apply(update, interest))
}

// checkSubset checks the bundles of a holder that is at the revision of the source.
func checkSubset(rt *rapid.T, state map[string]*lapisv1.EncodedBundle, revision uint64, holder, parent *holdings.Holdings) {
	if holder.Revision() != revision || parent.Revision() != revision {
		return
	}
	expected := map[string]uint64{}
	for service, bundle := range state {
		if holder.Interest().Has(service) {
			expected[service] = bundle.GetChangedRevision()
		}
	}
	assert.DeepEqual(rt, expected, keysAndRevisions(holder.Bundles(holder.Interest())))
}

func TestInterestSubscriptionRoundTrip(t *testing.T) {
	previous := holdings.NewInterest("a", "b")
	for index, next := range []holdings.Interest{holdings.NewInterest("b", "c"), {All: true}, holdings.NewInterest(), holdings.NewInterest("z")} {
		t.Run(fmt.Sprint(index), func(t *testing.T) {
			difference := holdings.Difference(previous, next, 7)
			assert.Assert(t, holdings.Amend(previous, difference).Equal(next))
		})
		previous = next
	}
}
