package configsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/configsource"
)

func TestConfirmationWaitsForItsRevision(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(3)
	assert.Assert(t, freshness.Confirm(3, start))
	assert.Assert(t, !freshness.Confirm(5, start.Add(time.Second)))
	assert.Assert(t, freshness.Confirmed().Equal(start))

	freshness.Advance(4)
	assert.Assert(t, freshness.Confirmed().Equal(start))
	freshness.Advance(5)
	assert.Assert(t, freshness.Confirmed().Equal(start.Add(time.Second)))
}

// That nothing above an older revision had been accepted holds for a newer one too;
// an older confirmation takes nothing back.
func TestConfirmationsOnlyAdvance(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(5)
	assert.Assert(t, freshness.Confirm(3, start))
	assert.Assert(t, !freshness.Confirm(5, start.Add(-time.Second)))
	revision, confirmed := freshness.InForce()
	assert.Equal(t, revision, uint64(5))
	assert.Assert(t, confirmed.Equal(start))
}

// A daemon that is always behind by a version or two in a storm still learns how
// fresh the one is that it has.
func TestConfirmationsOfAStormAreKept(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(1)
	for revision := uint64(3); revision < 40; revision++ {
		told := start.Add(time.Duration(revision) * time.Second)
		assert.Assert(t, !freshness.Confirm(revision, told.Add(-time.Second/2)))
		assert.Assert(t, !freshness.Confirm(revision, told))
		freshness.Advance(revision - 2)
		if revision > 4 {
			want := told.Add(-2 * time.Second)
			assert.Assert(t, freshness.Confirmed().Equal(want), "at revision %d: %s", revision-2, freshness.Confirmed().Sub(want))
		}
	}
}
