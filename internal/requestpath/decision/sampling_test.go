package decision

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Checks the required relations between the constants of the sampling.
func TestRelationsOfTheSampling(t *testing.T) {
	assert.Assert(t, successLevel < maxLevel)
	assert.Assert(t, maxLevel+successLevel < 64, "no hash has so many zero bits")
	assert.Assert(t, relaxDivisor > 2, "a denser level would at once be too dense")
}
