package membership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestDecideJoin(t *testing.T) {
	relay := membership.Parent{Zone: "z", Path: []string{"r", "p"}, KnowsReaders: true, Fanout: 2, MaxDepth: 4}
	reader := membership.Parent{Zone: "z", Reader: true, Path: []string{"r"}, KnowsReaders: true, Fanout: 2, MaxDepth: 4}
	child := membership.Joiner{Node: "c", Zone: "z", Redirected: true}
	with := func(parent membership.Parent, change func(*membership.Parent)) membership.Parent {
		change(&parent)
		return parent
	}
	cases := []struct {
		name   string
		parent membership.Parent
		child  membership.Joiner
		want   membership.JoinVerdict
	}{
		{"redirected child", relay, child, membership.JoinAccepted},
		{"unredirected child goes to the readers first", relay, membership.Joiner{Node: "c", Zone: "z"}, membership.JoinReadersFirst},
		{"unredirected child after many refusals", relay, membership.Joiner{Node: "c", Zone: "z", Refusals: 6}, membership.JoinAccepted},
		{"unredirected child, no reader known", with(relay, func(p *membership.Parent) { p.KnowsReaders = false }), membership.Joiner{Node: "c", Zone: "z"}, membership.JoinAccepted},
		{"reader accepts unredirected child", reader, membership.Joiner{Node: "c", Zone: "z"}, membership.JoinAccepted},
		{"no path to a reader", with(relay, func(p *membership.Parent) { p.Path = nil }), child, membership.JoinDetached},
		{"shutting down", with(relay, func(p *membership.Parent) { p.Stopping = true }), child, membership.JoinDetached},
		{"child is an ancestor", relay, membership.Joiner{Node: "r", Zone: "z", Redirected: true}, membership.JoinLoop},
		{"too deep", relay, membership.Joiner{Node: "c", Zone: "z", Depth: 3, Redirected: true}, membership.JoinTooDeep},
		{"full", with(relay, func(p *membership.Parent) { p.Children = 2 }), child, membership.JoinFull},
		{"full, child reconnects", with(relay, func(p *membership.Parent) { p.Children = 2 }), membership.Joiner{Node: "c", Zone: "z", Known: true}, membership.JoinAccepted},
		{"other zone, not a reader", relay, membership.Joiner{Node: "c", Zone: "y", Redirected: true}, membership.JoinOtherZone},
		{"other zone, reader beyond its fan-out", with(reader, func(p *membership.Parent) { p.Children = 5 }), membership.Joiner{Node: "c", Zone: "y"}, membership.JoinAccepted},
		{"other zone, reader beyond ForeignExtra", with(reader, func(p *membership.Parent) { p.Children = 2 + membership.MaxExtraRemoteChildren }), membership.Joiner{Node: "c", Zone: "y"}, membership.JoinOtherZone},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, membership.DecideJoin(test.parent, test.child), test.want)
		})
	}
}

// TestNobodyIsRefusedForDepthForEver checks that a daemon refused because of its depth fits under
// any reader with room after it has disconnected its deeper children.
func TestNobodyIsRefusedForDepthForEver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxDepth := rapid.IntRange(2, 10).Draw(rt, "max depth")
		reader := membership.Parent{Zone: "z", Reader: true, Path: []string{"r"}, Fanout: 24, MaxDepth: maxDepth}
		depth := rapid.IntRange(0, 40).Draw(rt, "depth")
		verdict := membership.DecideJoin(reader, membership.Joiner{Node: "c", Zone: "z", Depth: depth})
		if verdict == membership.JoinTooDeep {
			verdict = membership.DecideJoin(reader, membership.Joiner{Node: "c", Zone: "z", Depth: min(depth, 1)})
		}
		assert.Equal(rt, verdict, membership.JoinAccepted)
	})
}

func TestRedirectsNameTheSmallestSubtreesOfTheZone(t *testing.T) {
	var children []membership.Child
	for index, expected := range []uint32{9, 2, 7, 1, 5} {
		children = append(children, membership.Child{Node: fmt.Sprint(index), Zone: "z", Expected: expected})
	}
	children[3].Zone = "y"
	assert.DeepEqual(t, membership.Redirects(children, "z", "4", 2), []int{1, 2})
}

func TestEachVerdictHasItsRefusal(t *testing.T) {
	cases := []struct {
		verdict       membership.JoinVerdict
		code          result.Code
		referral      membership.Referral
		minRetryAfter time.Duration
		maxRetryAfter time.Duration
	}{
		{membership.JoinDetached, result.DistributionDetached, membership.ReferToNone, 500 * time.Millisecond, 500 * time.Millisecond},
		{membership.JoinLoop, result.DistributionLoop, membership.ReferToNone, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinTooDeep, result.DistributionTooDeep, membership.ReferToZoneReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinOtherZone, result.DistributionParentFull, membership.ReferToReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinReadersFirst, result.DistributionParentFull, membership.ReferToZoneReaders, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinFull, result.DistributionParentFull, membership.ReferToChildren, 300 * time.Millisecond, 600 * time.Millisecond},
		{membership.JoinTooFast, result.DistributionParentFull, membership.ReferToChildren, 300 * time.Millisecond, 600 * time.Millisecond},
	}
	for _, test := range cases {
		refusal := membership.RefuseJoin(test.verdict, 0)
		assert.Equal(t, refusal.Code, test.code)
		assert.Equal(t, refusal.Referral, test.referral)
		assert.Equal(t, refusal.RetryAfter, test.minRetryAfter)
		assert.Equal(t, membership.RefuseJoin(test.verdict, 1).RetryAfter, test.maxRetryAfter)
		assert.Assert(t, refusal.Reason != "")
	}
}

// A child waits for the detached grace for a parent without a path to a reader. The retry delay
// must be shorter, so that a child that asked such a parent can ask again within the grace.
func TestRetryAtADetachedParentLiesWithinTheGrace(t *testing.T) {
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		retry := membership.RefuseJoin(membership.JoinDetached, 1).RetryAfter
		assert.Assert(t, retry < profile.DetachedGrace.Get())
	}
}
