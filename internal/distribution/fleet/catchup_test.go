package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The configuration is asked of the own zone first, there of the newest, and never of
// one that is not ahead, out of reach, silent, or was asked before.
func TestWhoIsAskedForTheConfiguration(t *testing.T) {
	lost := peerIn("lost", "a", 9)
	lost.connected = false
	stalled := peerIn("stalled", "a", 9)
	stalled.stalled = true
	behind := newTestFleet(5, lost, stalled, peerIn("same", "a", 5), peerIn("near", "a", 6), peerIn("newer", "a", 7), peerIn("far", "b", 8))
	asked := map[string]bool{}
	for _, want := range []string{"newer", "near", "far"} {
		member, _ := behind.nextToAsk(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
	member, _ := behind.nextToAsk(asked)
	assert.Assert(t, member == nil)
}

// A daemon of the own region is asked before one of another, whatever that has.
func TestOwnRegionIsAskedFirst(t *testing.T) {
	foreign, unknown, home := peerIn("foreign", "c", 9), peerIn("unknown", "d", 6), peerIn("home", "b", 7)
	foreign.Region, home.Region = "r2", "r1"
	behind := newTestFleet(5, foreign, unknown, home, peerIn("near", "a", 6))
	behind.config.Self.Region = "r1"
	asked := map[string]bool{}
	for _, want := range []string{"near", "home", "unknown", "foreign"} {
		member, _ := behind.nextToAsk(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
}
