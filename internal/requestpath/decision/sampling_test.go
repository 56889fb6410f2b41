package decision

import (
	"testing"

	"gotest.tools/v3/assert"
)

// How the constants of the sampling hang together.
func TestRelationsOfTheSampling(t *testing.T) {
	assert.Assert(t, successLevel < maxLevel)
	assert.Assert(t, maxLevel+successLevel < 64, "no hash has so many zero bits")
	assert.Assert(t, sparePart > 2, "a denser level would at once be too dense")
}
