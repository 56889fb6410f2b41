package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// The time that a caller has waited since its first try is the difference between the usual deadline and the
// stated one, whatever fraction of the calls are retries.
func TestTimeWaitedBeforeIsLearnedFromDeadlines(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		usual := time.Duration(rapid.IntRange(100, 10_000).Draw(random, "usual")) * time.Millisecond
		deadlines := &usualDeadlines{}
		for range 5 {
			assert.Equal(t, deadlines.priorWait("route", usual), time.Duration(0))
		}
		firstTries := 5
		for returns := 0; returns < firstTries-1; {
			if rapid.Bool().Draw(random, "first") {
				assert.Equal(t, deadlines.priorWait("route", usual), time.Duration(0))
				firstTries++
				if firstTries > 200 {
					return
				}
				continue
			}
			lacks := time.Duration(rapid.IntRange(int(usual/20), int(usual)-1).Draw(random, "lacks"))
			assert.Equal(t, deadlines.priorWait("route", usual-lacks), lacks)
			returns++
		}
	})
}

// A new usual deadline is learned, and a deadline longer than the usual one does not count as a retry.
func TestUsualDeadlineFollowsAChange(t *testing.T) {
	deadlines := &usualDeadlines{}
	for range 1000 {
		deadlines.priorWait("route", 2*time.Second)
	}
	assert.Equal(t, deadlines.priorWait("route", 3*time.Second), time.Duration(0))
	for range 2 * maxVotes {
		deadlines.priorWait("route", time.Second)
	}
	assert.Equal(t, deadlines.priorWait("route", time.Second), time.Duration(0))
	assert.Equal(t, deadlines.priorWait("route", 400*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, deadlines.priorWait("other", 400*time.Millisecond), time.Duration(0))
	assert.Equal(t, deadlines.priorWait("route", 0), time.Duration(0))
}
