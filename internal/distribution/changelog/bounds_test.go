package changelog

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBoundsOfTheLogFitTogether holds the relations between what is kept and deleted.
func TestBoundsOfTheLogFitTogether(t *testing.T) {
	assert.Assert(t, keptRevisions >= keptSnapshots*SnapshotEvery, "a reader that loads the older snapshot finds a gap")
	assert.Assert(t, deletesPerCompaction >= SnapshotEvery, "the archive grows faster than it is deleted")
	assert.Assert(t, keptSnapshots >= 2, "the snapshot that a reader loads is deleted under it")
	// The operators' interface gives a request 20 s.
	assert.Assert(t, maxAcceptAttempts*acceptBackoff < 10*time.Second, "an accept that loses races has no time left")
}
