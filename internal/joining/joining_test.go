package joining_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/joining"
)

func TestDecide(t *testing.T) {
	relay := joining.Parent{Node: "p", Zone: "z", Path: []string{"r", "p"}, KnowsReaders: true, Fanout: 2, MaxDepth: 4}
	reader := joining.Parent{Node: "r", Zone: "z", Reader: true, Path: []string{"r"}, KnowsReaders: true, Fanout: 2, MaxDepth: 4}
	child := joining.Candidate{Node: "c", Zone: "z", Redirected: true}
	with := func(parent joining.Parent, change func(*joining.Parent)) joining.Parent {
		change(&parent)
		return parent
	}
	cases := []struct {
		name   string
		parent joining.Parent
		child  joining.Candidate
		expect joining.Verdict
	}{
		{"redirected child", relay, child, joining.Accept},
		{"stranger goes to the readers first", relay, joining.Candidate{Node: "c", Zone: "z"}, joining.ReadersFirst},
		{"stranger after many refusals", relay, joining.Candidate{Node: "c", Zone: "z", Refusals: 6}, joining.Accept},
		{"stranger where no reader is known", with(relay, func(p *joining.Parent) { p.KnowsReaders = false }), joining.Candidate{Node: "c", Zone: "z"}, joining.Accept},
		{"reader takes strangers", reader, joining.Candidate{Node: "c", Zone: "z"}, joining.Accept},
		{"no way to a reader", with(relay, func(p *joining.Parent) { p.Path = nil }), child, joining.Detached},
		{"leaving", with(relay, func(p *joining.Parent) { p.Stopping = true }), child, joining.Detached},
		{"child is above", relay, joining.Candidate{Node: "r", Zone: "z", Redirected: true}, joining.Loop},
		{"too deep", relay, joining.Candidate{Node: "c", Zone: "z", Depth: 3, Redirected: true}, joining.TooDeep},
		{"full", with(relay, func(p *joining.Parent) { p.Children = 2 }), child, joining.Full},
		{"full but known", with(relay, func(p *joining.Parent) { p.Children = 2 }), joining.Candidate{Node: "c", Zone: "z", Known: true}, joining.Accept},
		{"other zone at a relay", relay, joining.Candidate{Node: "c", Zone: "y", Redirected: true}, joining.ToAReader},
		{"other zone at a reader beyond its fan-out", with(reader, func(p *joining.Parent) { p.Children = 5 }), joining.Candidate{Node: "c", Zone: "y"}, joining.Accept},
		{"other zone at a reader far beyond", with(reader, func(p *joining.Parent) { p.Children = 2 + joining.ForeignExtra }), joining.Candidate{Node: "c", Zone: "y"}, joining.ToAReader},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, joining.Decide(test.parent, test.child), test.expect)
		})
	}
}

// TestNobodyIsRefusedForDepthForEver checks that a daemon that lets go of its
// deeper children fits under any reader with room.
func TestNobodyIsRefusedForDepthForEver(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		maxDepth := rapid.IntRange(2, 10).Draw(rt, "max depth")
		reader := joining.Parent{Node: "r", Zone: "z", Reader: true, Path: []string{"r"}, Fanout: 24, MaxDepth: maxDepth}
		depth := rapid.IntRange(0, 40).Draw(rt, "depth")
		verdict := joining.Decide(reader, joining.Candidate{Node: "c", Zone: "z", Depth: depth})
		if verdict == joining.TooDeep {
			verdict = joining.Decide(reader, joining.Candidate{Node: "c", Zone: "z", Depth: min(depth, 1)})
		}
		assert.Equal(rt, verdict, joining.Accept)
	})
}

func TestRedirectsNameTheSmallestSubtreesOfTheZone(t *testing.T) {
	var children []joining.Child
	for index, expected := range []uint32{9, 2, 7, 1, 5} {
		children = append(children, joining.Child{Node: fmt.Sprint(index), Zone: "z", Expected: expected})
	}
	children[3].Zone = "y"
	assert.DeepEqual(t, joining.Redirects(children, "z", "4", 2), []int{1, 2})
}
