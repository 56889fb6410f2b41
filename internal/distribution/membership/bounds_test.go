package membership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// TestBoundsOfMembershipFitTogether checks the required relations between the constants of this
// package, the seats per zone and the fan-out.
func TestBoundsOfMembershipFitTogether(t *testing.T) {
	assert.Assert(t, initialPenalty/2 > RefuseJoin(JoinFull, 1).RetryAfter, "a daemon that refused is avoided for longer than one that failed to answer")
	assert.Assert(t, penalty(1) == initialPenalty && penalty(1000) == maxPenalty, "the penalties do not grow to maxPenalty")
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		seats := profile.SeatsPerZone
		assert.Assert(t, maxRefusalsBeforeAccept > seats, "a child is accepted before it has asked each reader of its zone")
		assert.Assert(t, detachedBeforeRemote > seats, "simultaneous restarts of the readers of a zone send its daemons to other zones")
		assert.Assert(t, initialSeatWindow > seats, "one dead machine keeps a seat of the zone vacant for a round")
		assert.Assert(t, maxCandidates > 2*MaxReferrals+seats+maxForeignReaders, "a welcome names more daemons than are remembered")
		assert.Assert(t, profile.Fanout <= MaxExtraRemoteChildren, "the readers of one zone have no room for the children of another zone that lost its readers")
	}
}
