package balance

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Checks the required relations between constants.
func TestConstantsHangTogether(t *testing.T) {
	// Jitter alone sends no call to another zone, nor to another region at usual target latencies.
	assert.Assert(t, costJitter <= crossZoneBase)
	between := localityCost(locality.OtherRegion, 0) - localityCost(locality.OwnRegion, 0)
	assert.Assert(t, between+networkRTT(locality.OtherRegion)/1.3 >= costJitter)
	// A failing instance that is alone in its zone costs more than a healthy one of another zone.
	assert.Assert(t, failureCost > localityCost(locality.OwnRegion, 5000))
	assert.Assert(t, latenessCost == failureCost)
	// A region costs more than a zone in every respect.
	assert.Assert(t, regionPenalty > zonePenalty && zonePenalty < 1)
	assert.Assert(t, localityCost(locality.OtherRegion, 30_000) > localityCost(locality.OwnRegion, 30_000))
	// Ejections reach the maximum duration before the number of doublings is bounded.
	assert.Assert(t, baseEjection<<maxEjectionDoublings > maxEjection)
	// A call that a constraint refused retries later than one that found an empty pool.
	assert.Assert(t, constrainedRetryAfter > noInstanceRetryAfter)
	assert.Assert(t, otherRegionReserved < otherRegionSize && otherRegionSize < subsetSize && minWarm < subsetSize)
	assert.Assert(t, minSCV < defaultSCV && scvDecay > serviceTimeDecay && scvSmoothing < serviceTimeSmoothing)
}
