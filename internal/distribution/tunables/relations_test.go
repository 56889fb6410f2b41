package tunables_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

const (
	// drainBound is the time within which a machine that the list reports as leaving must stop
	// receiving new work.
	drainBound = 3 * time.Second
	// applyBound is the time within which an accepted change must be in force everywhere.
	applyBound = 8 * time.Second
)

// TestTimesOfAProfileFitTogether checks the relations between the values of a profile that the tree
// depends on. Each case names the failure that occurs when the first time is not below the second.
func TestTimesOfAProfileFitTogether(t *testing.T) {
	profiles := map[string]tunables.Distribution{"convergence": tunables.Convergence(), "bytes": tunables.Bytes()}
	for name, profile := range profiles {
		silence := profile.LinkIdleTimeout.Get()
		lease := profile.SeatLease.Get()
		// The maximum number of hops of an endpoint change: up a tree, to another reader, down a
		// tree.
		hops := time.Duration(2*profile.MaxDepth + 1)
		relations := []struct {
			breaks string
			small  time.Duration
			large  time.Duration
		}{
			{"a link is closed although its peer sends heartbeats, because one heartbeat was late by a whole interval",
				2 * profile.HeartbeatInterval.Get(), silence},
			{"a parent closes the links of its children, which send heartbeats only at a status interval",
				profile.HeartbeatInterval.Get() + profile.StatusInterval.Get(), silence},
			{"a child closes the link to a detached parent as silent before the grace period ends", profile.DetachedGrace.Get(), silence},
			{"a child of a zone without readers still waits for its parent when a seat is vacant", profile.DetachedGrace.Get(), lease},
			{"a lost link to a reader is detected only after its seat became vacant", silence, lease + 1},
			{"a daemon without a parent sends its first query only after a seat became vacant", profile.FirstSourceQueryMaxDelay.Get(), lease},
			{"a daemon without a parent detects a vacant seat too late", profile.JoinBackoffMax.Get() * 3 / 2, lease},
			{"the backoff between queries decreases", profile.JoinBackoffMin.Get(), profile.JoinBackoffMax.Get()},
			{"endpoints are deleted before they are suspect", profile.SuspectAfter.Get(), profile.GoneRetention.Get()},
			{"the endpoints of a silent daemon are deleted before its parent suspects them",
				silence + profile.SuspectAfter.Get(), profile.GoneRetention.Get()},
			{"a child that lost its link is suspect before its second query to the object API, at most 1.5 times the doubled minimum later",
				profile.JoinBackoffMin.Get() * 3, profile.SuspectAfter.Get()},
			{"a restarted child makes its parent drop services and request a full update",
				silence + lease, profile.InterestShrinkDelay.Get()},
			{"revisions that arrive continuously are never distributed", profile.DebounceQuiet.Get(), profile.DebounceMax.Get()},
			{"a leaving machine still receives work after the bound",
				profile.MachinesInterval.Get()*11/10 + time.Duration(profile.MaxDepth+1)*profile.EndpointDebounce.Get(), drainBound},
			{"endpoint changes are collected for longer than a lost daemon stays ready", hops * profile.EndpointDebounce.Get(), silence},
			{"a daemon whose parent became silent finds another one too late for a change made at that time",
				silence + profile.FirstSourceQueryMaxDelay.Get(), applyBound},
		}
		for _, relation := range relations {
			assert.Check(t, relation.small < relation.large, "profile %s: %s (%s, %s)", name, relation.breaks, relation.small, relation.large)
		}
	}
}

// TestLinkIsLostAfterTheSameNumberOfHeartbeats checks that all profiles tolerate the same number of
// lost heartbeats.
func TestLinkIsLostAfterTheSameNumberOfHeartbeats(t *testing.T) {
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		assert.Equal(t, profile.LinkIdleTimeout.Get(), 3*profile.HeartbeatInterval.Get())
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
