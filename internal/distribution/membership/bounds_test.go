package membership

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// TestBoundsOfMembershipFitTogether holds the relations between the constants of the
// rules and the seats of a zone.
func TestBoundsOfMembershipFitTogether(t *testing.T) {
	assert.Assert(t, failurePenalty/2 > RefuseJoin(JoinFull, 1).RetryAfter, "a daemon that answers waits for longer than one that does not")
	assert.Assert(t, penalty(1) == failurePenalty && penalty(1000) == maxPenalty, "the waits do not grow to their bound")
	for _, profile := range []tunables.Distribution{tunables.Convergence(), tunables.Bytes()} {
		seats := profile.SeatsPerZone
		assert.Assert(t, patience > seats, "a child is accepted before it asked each reader of its zone")
		assert.Assert(t, remoteAfter > seats, "the readers of a zone that restart together send its daemons to other zones")
		assert.Assert(t, firstWindow > seats, "one dead machine keeps the seats of a zone vacant for a round")
		assert.Assert(t, maxKnown > 2*MaxReferrals+seats+maxForeignReaders, "a welcome names more daemons than are remembered")
		assert.Assert(t, profile.Fanout <= ForeignExtra, "the readers of one zone have no room for the children of the readers that another one lost")
	}
}
