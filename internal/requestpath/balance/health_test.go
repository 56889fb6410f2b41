package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Two failures in a row eject nobody; from the third on the time doubles up to its most.
func TestEjectionDoubles(t *testing.T) {
	wanted := []time.Duration{0, 0, 0, 1, 2, 4, 8, 16, 30, 30}
	for failures, seconds := range wanted {
		assert.Equal(t, ejectionFor(failures), seconds*time.Second, "%d failures", failures)
	}
	assert.Equal(t, ejectionFor(1_000_000), ejectMax)
}

// A suspect instance is doubtful, and so is an ejected one; one that drains is not: it is
// out of service instead.
func TestWhoIsDoubtful(t *testing.T) {
	for state, doubtful := range map[lapisv1.Endpoint_State]bool{
		lapisv1.Endpoint_STATE_READY:    false,
		lapisv1.Endpoint_STATE_DRAINING: false,
		lapisv1.Endpoint_STATE_SUSPECT:  true,
	} {
		assert.Equal(t, isDoubtful(state, false), doubtful, "%s", state)
		assert.Assert(t, isDoubtful(state, true), "%s", state)
	}
}

// A failure counts as that of one instance while more than half of its service are sound.
func TestMostlySoundIsMoreThanHalf(t *testing.T) {
	assert.Assert(t, mostlySound(2, 3))
	assert.Assert(t, !mostlySound(1, 2))
	assert.Assert(t, !mostlySound(0, 0))
}
