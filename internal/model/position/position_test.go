package position_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/model/position"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Positions must be ordered by era first and by revision second.
func TestLaterErasAreNewer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era, revision := rapid.Uint64Range(0, 1<<24-1), rapid.Uint64Range(0, 1<<39-1)
		oneEra, oneRevision := era.Draw(t, "era"), revision.Draw(t, "revision")
		otherEra, otherRevision := era.Draw(t, "other era"), revision.Draw(t, "other revision")
		one, err := position.In(oneEra, oneRevision)
		assert.NilError(t, err)
		other, err := position.In(otherEra, otherRevision)
		assert.NilError(t, err)
		assert.Equal(t, one.Era(), oneEra)
		assert.Equal(t, one.Revision(), oneRevision)
		assert.Equal(t, one < other, oneEra < otherEra || oneEra == otherEra && oneRevision < otherRevision)
	})
}

// A settling position must lie between the eras, and settling positions must be ordered like the
// positions that they represent.
func TestSettlingIsBetweenTheEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(1, 1<<24-1).Draw(t, "era")
		revision := rapid.Uint64Range(0, 1<<39-2)
		at, err := position.In(era, revision.Draw(t, "revision"))
		assert.NilError(t, err)
		before, err := position.In(era-1, 1<<39-1)
		assert.NilError(t, err)
		first, err := position.In(era, 0)
		assert.NilError(t, err)
		assert.Assert(t, before < at.Settling() && at.Settling() < first)
		assert.Assert(t, at.Settling() < (at+1).Settling())
		assert.Assert(t, at.Settling().IsSettling() && !at.IsSettling())
	})
}

func TestPositionWithoutAnEraIsTheRevision(t *testing.T) {
	at, err := position.In(0, 1234)
	assert.NilError(t, err)
	assert.Equal(t, uint64(at), uint64(1234))
}

func TestNumbersThatCannotBeComparedAreRefused(t *testing.T) {
	for _, numbers := range [][2]uint64{{0, 1 << 39}, {1 << 24, 0}} {
		_, err := position.In(numbers[0], numbers[1])
		assert.Assert(t, result.Is(err, result.PlatformBadAnswer), "%v", err)
	}
}
