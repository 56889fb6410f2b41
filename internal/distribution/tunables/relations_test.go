package tunables_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

const (
	// drainBound is the time within which a machine that the list shows as leaving must
	// get no new work.
	drainBound = 3 * time.Second
	// applyBound is the time within which an accepted change must be in force everywhere.
	applyBound = 8 * time.Second
)

// TestTimesOfAProfileFitTogether holds the relations on which the rules of the tree rely.
// Each case says what breaks when the first time is no longer below the second.
func TestTimesOfAProfileFitTogether(t *testing.T) {
	profiles := map[string]tunables.Distribution{"convergence": tunables.Convergence(), "bytes": tunables.Bytes()}
	for name, profile := range profiles {
		silence := profile.LinkSilence.Get()
		lease := profile.SeatLease.Get()
		// The most hops of an endpoint change: up a tree, to another reader, down a tree.
		hops := time.Duration(2*profile.MaxDepth + 1)
		relations := []struct {
			breaks string
			small  time.Duration
			large  time.Duration
		}{
			{"a link is lost although its peer sends heartbeats: one that is late by a whole interval must not count",
				2 * profile.HeartbeatInterval.Get(), silence},
			{"a parent loses children, which look whether they were silent at each status interval only",
				profile.HeartbeatInterval.Get() + profile.StatusInterval.Get(), silence},
			{"a child leaves a detached parent by silence before the grace is over", profile.DetachedGrace.Get(), silence},
			{"a child of a zone without readers still waits for its parent when a seat is free", profile.DetachedGrace.Get(), lease},
			{"a lost link to a reader is noticed only after its seat was free", silence, lease + 1},
			{"a daemon without a parent asks for the first time when a seat is free already", profile.FirstSourceAsk.Get(), lease},
			{"a daemon without a parent misses the moment when a seat is free", profile.JoinBackoffMax.Get() * 3 / 2, lease},
			{"the waits between questions shrink", profile.JoinBackoffMin.Get(), profile.JoinBackoffMax.Get()},
			{"endpoints are forgotten before they are suspect", profile.SuspectAfter.Get(), profile.GoneAfter.Get()},
			{"a silent daemon's endpoints are forgotten before its parent suspects them",
				silence + profile.SuspectAfter.Get(), profile.GoneAfter.Get()},
			{"a child that lost its link is suspect before it could ask the object API a second time, after at most 1.5 times the doubled minimum",
				profile.JoinBackoffMin.Get() * 3, profile.SuspectAfter.Get()},
			{"a restarted child costs its parent the interest and a full update",
				silence + lease, profile.InterestShrinkDelay.Get()},
			{"revisions that keep coming are never passed on", profile.DebounceQuiet.Get(), profile.DebounceMax.Get()},
			{"a leaving machine still gets work after the bound",
				profile.MachinesInterval.Get()*11/10 + time.Duration(profile.MaxDepth+1)*profile.EndpointDebounce.Get(), drainBound},
			{"endpoints are gathered for longer than a lost daemon stays ready", hops * profile.EndpointDebounce.Get(), silence},
			{"a daemon whose parent fell silent finds another too late for a change of that moment",
				silence + profile.FirstSourceAsk.Get(), applyBound},
		}
		for _, relation := range relations {
			assert.Check(t, relation.small < relation.large, "profile %s: %s (%s, %s)", name, relation.breaks, relation.small, relation.large)
		}
	}
}

// TestLinkIsLostAfterTheSameNumberOfHeartbeats keeps the profiles alike in how many
// heartbeats may be lost.
func TestLinkIsLostAfterTheSameNumberOfHeartbeats(t *testing.T) {
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		assert.Equal(t, profile.LinkSilence.Get(), 3*profile.HeartbeatInterval.Get())
	}
}

// TestTreeHoldsTheLargestZone checks that fan-out and depth allow a zone of 1000 daemons.
func TestTreeHoldsTheLargestZone(t *testing.T) {
	const largestZone = 1000
	profile := tunables.Convergence()
	nodes, level := profile.SeatsPerZone, profile.SeatsPerZone
	for depth := 1; depth <= profile.MaxDepth && nodes < largestZone; depth++ {
		level *= profile.Fanout
		nodes += level
	}
	assert.Assert(t, nodes >= largestZone, "%d", nodes)
}
