package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/distribution/membership"
)

// nextQuery returns the wait until a query is due, in steps of a millisecond.
func nextQuery(backoff *membership.SourceBackoff, from time.Time) time.Duration {
	for wait := time.Duration(0); ; wait += time.Millisecond {
		if backoff.Due(from.Add(wait)) {
			return wait
		}
	}
}

func TestQueriesOfTheSourceWaitTwiceAsLongEachTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		random := rapid.Float64Range(0, 0.999).Draw(rt, "random")
		backoff := membership.NewSourceBackoff(time.Second, 50*time.Millisecond, 2*time.Second, now, random)
		first := nextQuery(&backoff, now)
		assert.Assert(rt, first <= time.Second+time.Millisecond)
		at := now.Add(first)
		expectedWait := 100 * time.Millisecond
		for round := 1; round <= 8; round++ {
			backoff.Queried(at, random)
			assert.Equal(rt, backoff.Rounds(), round)
			wait := nextQuery(&backoff, at)
			assert.Assert(rt, wait >= expectedWait/2 && wait <= expectedWait*3/2+time.Millisecond, "round %d waits %s", round, wait)
			at = at.Add(wait)
			expectedWait = min(2*expectedWait, 2*time.Second)
		}
	})
}

func TestFirstQueryWaitsARandomPartOfItsBound(t *testing.T) {
	backoff := membership.NewSourceBackoff(time.Second, 50*time.Millisecond, 2*time.Second, now, 0)
	assert.Assert(t, backoff.Due(now), "the first query is not due at once for random 0")
	backoff = membership.NewSourceBackoff(time.Second, 50*time.Millisecond, 2*time.Second, now, 0.5)
	assert.Assert(t, !backoff.Due(now.Add(499*time.Millisecond)) && backoff.Due(now.Add(501*time.Millisecond)))
}
