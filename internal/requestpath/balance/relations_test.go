package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// The constants of the rules hang together; each line fails when one of its two sides is
// moved past the other.
func TestConstantsHangTogether(t *testing.T) {
	// Chance alone sends no call to another zone, nor to another region at usual targets.
	assert.Assert(t, choiceNoise <= crossingBase)
	between := crossingOf(locality.OtherRegion, 0) - crossingOf(locality.OwnRegion, 0)
	assert.Assert(t, between+roundTripOf(locality.OtherRegion)/1.3 >= choiceNoise)
	// An instance that fails alone in its zone costs more than the way to the next one.
	assert.Assert(t, failureCost > crossingOf(locality.OwnRegion, 5000))
	assert.Assert(t, latenessCost == failureCost)
	// A region is further than a zone in each respect.
	assert.Assert(t, regionPenalty > zonePenalty && zonePenalty < 1)
	assert.Assert(t, crossingOf(locality.OtherRegion, 30_000) > crossingOf(locality.OwnRegion, 30_000))
	// Ejections grow from the base to the most, before the shift is bounded.
	assert.Assert(t, ejectBase<<ejectDoublings > ejectMax)
	// Whoever was refused for an order comes back later than who met an empty pool.
	assert.Assert(t, constrainedRetryAfter > noInstanceRetryAfter)
	assert.Assert(t, otherRegionTaken < otherRegionPart && otherRegionPart < subsetSize && leastWarm < subsetSize)
	assert.Assert(t, minSpread < usualSpread && spreadMemory > serviceMemory && spreadSmoothing < serviceSmoothing)
}
