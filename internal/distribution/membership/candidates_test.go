package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
)

var now = time.Unix(1000, 0)

func newCandidates(seeds ...string) *membership.Candidates {
	return membership.NewCandidates("self", "z1", "r1", seeds, rand.New(rand.NewPCG(1, 1)))
}

func TestOtherZonesOnlyWhenTheOwnHasNoWay(t *testing.T) {
	candidates := newCandidates("local")
	candidates.Learn([]*lapisv1.PeerAddress{
		{Address: "near", Zone: "z2", Region: "r1"}, {Address: "far", Zone: "z3", Region: "r2"}, {Address: "self", Zone: "z1"},
	}, now)
	choice, ok := candidates.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Address, "local")
	candidates.RetryAfter("local", time.Second, now)
	_, ok = candidates.Next(now)
	assert.Assert(t, !ok, "another zone is tried after a single refusal")
	for range 3 {
		candidates.Detached()
	}
	choice, ok = candidates.Next(now)
	assert.Assert(t, ok)
	assert.Equal(t, choice.Address, "near", "the own region is not tried first")
	candidates.Failed("near", now)
	choice, _ = candidates.Next(now)
	assert.Equal(t, choice.Address, "far")
	candidates.Succeeded("far")
	_, ok = candidates.Next(now)
	assert.Assert(t, !ok)
}

func TestRedirectsComeFirstAndOnce(t *testing.T) {
	candidates := newCandidates("seed")
	candidates.Redirect([]*lapisv1.PeerAddress{{Address: "named", Zone: "z1"}}, now)
	choice, _ := candidates.Next(now)
	assert.Equal(t, choice, membership.Choice{Address: "named", Redirected: true})
	candidates.Failed("named", now)
	choice, _ = candidates.Next(now)
	assert.Equal(t, choice, membership.Choice{Address: "seed"})
}

func TestKnowledgeIsBounded(t *testing.T) {
	candidates := newCandidates()
	for index := range 1000 {
		candidates.Learn([]*lapisv1.PeerAddress{{Address: fmt.Sprint(index), Zone: "z1"}}, now.Add(time.Duration(index)))
	}
	found := map[string]bool{}
	for range 2000 {
		choice, _ := candidates.Next(now)
		found[choice.Address] = true
	}
	assert.Assert(t, len(found) <= 64)
}

func TestRanksAreAPermutationThatAllAgreeOn(t *testing.T) {
	var machines []objectapi.Machine
	for index := range 50 {
		machines = append(machines, objectapi.Machine{Node: fmt.Sprint(index), State: objectapi.MachineLive})
	}
	machines[7].State = objectapi.MachineLeaving
	seen := map[int]bool{}
	for _, machine := range machines {
		rank, total := membership.Rank(machines, machine.Node, "seat")
		assert.Equal(t, total, 49)
		if machine.State == objectapi.MachineLive {
			assert.Assert(t, !seen[rank])
			seen[rank] = true
		}
	}
	assert.Assert(t, membership.MayTakeSeat(2, 0) && !membership.MayTakeSeat(3, 0) && membership.MayTakeSeat(3, 1))
}

// TestDaemonsThatNameEachOtherAreNotAskedInACircle lets two daemons refuse a child and name each
// other, and checks that the child tries them at most 8 times in a second.
func TestDaemonsThatNameEachOtherAreNotAskedInACircle(t *testing.T) {
	candidates := newCandidates("a")
	peerOf := map[string]string{"a": "b", "b": "a"}
	attempts := 0
	for step := range 1000 {
		at := now.Add(time.Duration(step) * time.Millisecond)
		choice, ok := candidates.Next(at)
		if !ok {
			continue
		}
		attempts++
		candidates.Redirect([]*lapisv1.PeerAddress{{Address: peerOf[choice.Address], Zone: "z1"}}, at)
		candidates.RetryAfter(choice.Address, 300*time.Millisecond, at)
	}
	assert.Assert(t, attempts <= 8, "%d attempts", attempts)
}
