package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Checks that two consecutive failures do not eject an instance, and that from the third on the
// duration doubles up to the maximum.
func TestEjectionDoubles(t *testing.T) {
	wanted := []time.Duration{0, 0, 0, 1, 2, 4, 8, 16, 30, 30}
	for failures, seconds := range wanted {
		assert.Equal(t, ejectionDuration(failures), seconds*time.Second, "%d failures", failures)
	}
	assert.Equal(t, ejectionDuration(1_000_000), maxEjection)
}

// Checks that suspect and ejected instances are unhealthy. A draining instance is not: it is out of
// service instead.
func TestWhoIsDoubtful(t *testing.T) {
	for state, unhealthy := range map[lapisv1.Endpoint_State]bool{
		lapisv1.Endpoint_STATE_READY:    false,
		lapisv1.Endpoint_STATE_DRAINING: false,
		lapisv1.Endpoint_STATE_SUSPECT:  true,
	} {
		assert.Equal(t, isUnhealthy(state, false), unhealthy, "%s", state)
		assert.Assert(t, isUnhealthy(state, true), "%s", state)
	}
}

// Checks that the majority is strict: half of the instances is not enough.
func TestMostlySoundIsMoreThanHalf(t *testing.T) {
	assert.Assert(t, majorityHealthy(2, 3))
	assert.Assert(t, !majorityHealthy(1, 2))
	assert.Assert(t, !majorityHealthy(0, 0))
}
