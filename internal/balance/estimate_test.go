package balance

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The chance of lateness is a chance, rises with the work and falls with the time
// that is left.
func TestLatenessIsMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.Float64Range(0.001, 10).Draw(rt, "service")
		spread := rapid.Float64Range(0, 3).Draw(rt, "spread")
		left := rapid.Float64Range(-1, 10).Draw(rt, "left")
		chance := lateness(service, spread, left)
		assert.Assert(rt, chance >= 0 && chance <= 1, "%v", chance)
		assert.Assert(rt, lateness(1.5*service, spread, left) >= chance)
		assert.Assert(rt, lateness(service, spread, left+0.5) <= chance)
	})
	assert.Equal(t, lateness(1, 0.1, 0), 1.0)
	assert.Assert(t, lateness(0.1, 0.1, 10) < 0.001)
	assert.Assert(t, lateness(10, 0.1, 0.1) > 0.999)
}
