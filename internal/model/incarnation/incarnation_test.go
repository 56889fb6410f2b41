package incarnation_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
)

func TestNamesIdentifyStarts(t *testing.T) {
	names := map[string]bool{}
	for _, one := range []incarnation.Incarnation{
		{ID: "i-1"}, {ID: "i-1", StartUnixMillis: 5}, {ID: "i-1", StartUnixMillis: 6}, {ID: "i-1@5"}, {ID: "i-1@5", StartUnixMillis: 5}, {ID: "@"}, {ID: "i-1@"},
	} {
		assert.Assert(t, !names[one.Name()], "%s", one.Name())
		names[one.Name()] = true
		assert.Equal(t, incarnation.Parse(one.Name()), one)
	}
	assert.Equal(t, incarnation.Incarnation{ID: "i-1"}.Name(), "i-1")
	assert.Equal(t, incarnation.Parse("i-1@x"), incarnation.Incarnation{ID: "i-1@x"})
}

func TestOrderOfStarts(t *testing.T) {
	for _, row := range []struct {
		born, other uint64
		after       bool
	}{{6, 5, true}, {5, 6, false}, {5, 5, false}, {5, 0, false}, {0, 5, false}, {0, 0, false}} {
		assert.Equal(t, incarnation.Incarnation{StartUnixMillis: row.born}.StartedAfter(incarnation.Incarnation{StartUnixMillis: row.other}), row.after, "%+v", row)
	}
}
