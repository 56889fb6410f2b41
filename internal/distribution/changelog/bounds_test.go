package changelog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundsOfTheLogFitTogether checks the relations between the retention limits; each message
// names the failure.
func TestBoundsOfTheLogFitTogether(t *testing.T) {
	assert.Assert(t, retainedRevisions >= retainedSnapshots*SnapshotEvery, "a reader that loads the older snapshot finds a gap")
	assert.Assert(t, maxDeletesPerCompaction >= SnapshotEvery, "the archive grows faster than it is deleted")
	assert.Assert(t, retainedSnapshots >= 2, "a snapshot is deleted while a reader loads it")
	// The operators' interface limits a request to 20 s.
	assert.Assert(t, maxAcceptAttempts*maxAcceptBackoff < 10*time.Second, "an accept that loses every round exceeds the request timeout")
}
