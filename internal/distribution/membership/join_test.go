package membership_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/distribution/membership"
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
		expect membership.JoinVerdict
	}{
		{"redirected child", relay, child, membership.JoinAccepted},
		{"stranger goes to the readers first", relay, membership.Joiner{Node: "c", Zone: "z"}, membership.JoinReadersFirst},
		{"stranger after many refusals", relay, membership.Joiner{Node: "c", Zone: "z", Refusals: 6}, membership.JoinAccepted},
		{"stranger where no reader is known", with(relay, func(p *membership.Parent) { p.KnowsReaders = false }), membership.Joiner{Node: "c", Zone: "z"}, membership.JoinAccepted},
		{"reader takes strangers", reader, membership.Joiner{Node: "c", Zone: "z"}, membership.JoinAccepted},
		{"no path to a reader", with(relay, func(p *membership.Parent) { p.Path = nil }), child, membership.JoinDetached},
		{"shutting down", with(relay, func(p *membership.Parent) { p.Stopping = true }), child, membership.JoinDetached},
		{"child is above", relay, membership.Joiner{Node: "r", Zone: "z", Redirected: true}, membership.JoinLoop},
		{"too deep", relay, membership.Joiner{Node: "c", Zone: "z", Depth: 3, Redirected: true}, membership.JoinTooDeep},
		{"full", with(relay, func(p *membership.Parent) { p.Children = 2 }), child, membership.JoinFull},
		{"full but known", with(relay, func(p *membership.Parent) { p.Children = 2 }), membership.Joiner{Node: "c", Zone: "z", Known: true}, membership.JoinAccepted},
		{"other zone at a relay", relay, membership.Joiner{Node: "c", Zone: "y", Redirected: true}, membership.JoinForeign},
		{"other zone at a reader beyond its fan-out", with(reader, func(p *membership.Parent) { p.Children = 5 }), membership.Joiner{Node: "c", Zone: "y"}, membership.JoinAccepted},
		{"other zone at a reader far beyond", with(reader, func(p *membership.Parent) { p.Children = 2 + membership.ForeignExtra }), membership.Joiner{Node: "c", Zone: "y"}, membership.JoinForeign},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, membership.DecideJoin(test.parent, test.child), test.expect)
		})
	}
}

// TestNobodyIsRefusedForDepthForEver checks that a daemon that disconnects its deeper
// children fits under any reader with room.
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
