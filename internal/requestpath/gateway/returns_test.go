package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The time that a caller has waited since its first try is what its deadline lacks,
// whatever part of the calls come back and however often.
func TestTimeWaitedBeforeIsLearnedFromDeadlines(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		usual := time.Duration(rapid.IntRange(100, 10_000).Draw(random, "usual")) * time.Millisecond
		deadlines := &usualDeadlines{}
		for range 5 {
			assert.Equal(t, deadlines.waited("route", usual), time.Duration(0))
		}
		firstTries := 5
		for returns := 0; returns < firstTries-1; {
			if rapid.Bool().Draw(random, "first") {
				assert.Equal(t, deadlines.waited("route", usual), time.Duration(0))
				firstTries++
				if firstTries > 200 {
					return
				}
				continue
			}
			lacks := time.Duration(rapid.IntRange(int(usual/20), int(usual)-1).Draw(random, "lacks"))
			assert.Equal(t, deadlines.waited("route", usual-lacks), lacks)
			returns++
		}
	})
}

// Another deadline that becomes usual is learned, and a longer one than usual is no
// return.
func TestUsualDeadlineFollowsAChange(t *testing.T) {
	deadlines := &usualDeadlines{}
	for range 1000 {
		deadlines.waited("route", 2*time.Second)
	}
	assert.Equal(t, deadlines.waited("route", 3*time.Second), time.Duration(0))
	for range 2 * maxVotes {
		deadlines.waited("route", time.Second)
	}
	assert.Equal(t, deadlines.waited("route", time.Second), time.Duration(0))
	assert.Equal(t, deadlines.waited("route", 400*time.Millisecond), 600*time.Millisecond)
	assert.Equal(t, deadlines.waited("other", 400*time.Millisecond), time.Duration(0))
	assert.Equal(t, deadlines.waited("route", 0), time.Duration(0))
}

// A call with too little time for an answer is refused at once, before any instance has
// it, and says that it has not run.
func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	for name, row := range map[string]struct {
		left   time.Duration
		handed int
	}{
		"less than half of the usual time": {150 * time.Millisecond, 0},
		"more than half of it":             {250 * time.Millisecond, 1},
	} {
		t.Run(name, func(t *testing.T) {
			remote := &recordingRemote{err: result.Errorf(result.CallNotRunExpired, "too late")}
			attempt := newAttempter(t, remote, true, RetryLimits{Fraction: 1, Burst: 10})
			for _, target := range attempt.gateway.balancer.Targets("desk") {
				target.Answered("r", 400*time.Millisecond, time.Now())
			}
			ctx, cancel := context.WithTimeout(t.Context(), row.left)
			defer cancel()
			_, err := attempt.run(ctx)
			assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
			assert.Equal(t, len(remote.opened), row.handed)
			if row.handed > 0 {
				starts := time.Duration(remote.opened[0].GetExpiresAfterMillis()) * time.Millisecond
				assert.Assert(t, starts <= row.left-200*time.Millisecond, "may start until %s", starts)
			}
		})
	}
}

// Instances that were slow are tried again: were the time that they took remembered as it
// was, calls of the route would be refused for ever.
func TestHopelessRouteIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &recordingRemote{err: result.Errorf(result.CallNotRunExpired, "too late")}
		attempt := newAttempter(t, remote, true, RetryLimits{Fraction: 1, Burst: 10})
		for _, target := range attempt.gateway.balancer.Targets("desk") {
			target.Answered("r", 10*time.Second, time.Now())
		}
		call := func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := attempt.run(ctx)
			assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
		}
		call()
		assert.Equal(t, len(remote.opened), 0)
		time.Sleep(15 * time.Second)
		call()
		assert.Equal(t, len(remote.opened), 1)
	})
}
