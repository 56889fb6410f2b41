package admission_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// ratePeriod is the length of the windows over which a stated limit is checked.
const ratePeriod = 4 * time.Second

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time { return c.now }

// newLimitedQueue returns a queue with a rate limit.
func newLimitedQueue(clock *manualClock, perSecond float64) *admission.Queue {
	queue := admission.NewQueue(admission.Limits{Slots: 1000, QueueLength: 64, QueueTime: time.Second}, clock.read)
	queue.SetRateLimit(perSecond)
	return queue
}

// tryStart requests a slot and releases it at once; it reports whether the call started.
func tryStart(queue *admission.Queue) bool {
	slot, err := queue.Acquire(context.Background(), admission.Request{})
	if err != nil {
		return false
	}
	slot.Release(false)
	return true
}

// maxInPeriod returns the maximum number of times in any period of ratePeriod, its end included.
func maxInPeriod(times []time.Time) int {
	highest := 0
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) > ratePeriod {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// Guards against a limit that depends on the number of callers: a share of each would admit nothing, or
// one call for each of them.
func TestRateLimitIsUsedWhateverTheNumberOfCallers(t *testing.T) {
	const seconds = 200
	for _, perSecond := range []float64{0.5, 1, 6.4, 80} {
		for _, callers := range []int{1, 12, 300, 985, 25785} {
			random := rand.New(rand.NewPCG(1, uint64(callers)))
			clock := &manualClock{now: time.Unix(1000, 0)}
			queue := newLimitedQueue(clock, perSecond)
			// Twice the limit is asked for by all callers together.
			perCaller := 2 * perSecond / float64(callers)
			var started []time.Time
			for end := clock.now.Add(seconds * time.Second); clock.now.Before(end); {
				clock.now = clock.now.Add(time.Duration(random.ExpFloat64() / (perCaller * float64(callers)) * float64(time.Second)))
				if tryStart(queue) {
					started = append(started, clock.now)
				}
			}
			usable := perSecond * seconds
			assert.Assert(t, float64(len(started)) > 0.8*usable, "%g calls per second, %d callers: %d of %g used", perSecond, callers, len(started), usable)
			assert.Assert(t, float64(maxInPeriod(started)) <= 1.5*perSecond*ratePeriod.Seconds()+5, "%g calls per second, %d callers", perSecond, callers)
		}
	}
}

// Checks the limit with drawn arrivals, changes of the limit and restarts of the daemon, after which the
// queue is new.
func TestRateLimitHoldsThroughRestarts(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		clock := &manualClock{now: time.Unix(1000, 0)}
		perSecond := rapid.Float64Range(0, 40).Draw(random, "limit")
		highest := perSecond
		queue := newLimitedQueue(clock, perSecond)
		var started []time.Time
		for range rapid.IntRange(1, 300).Draw(random, "steps") {
			clock.now = clock.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(random, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 20).Draw(random, "step") {
			case 0:
				queue = newLimitedQueue(clock, perSecond)
			case 1:
				perSecond = rapid.Float64Range(0, highest).Draw(random, "lowered limit")
				queue.SetRateLimit(perSecond)
			default:
				for range rapid.IntRange(1, 20).Draw(random, "calls") {
					if tryStart(queue) {
						started = append(started, clock.now)
					}
				}
			}
		}
		allowed := 1.5*highest*ratePeriod.Seconds() + 5
		assert.Assert(random, float64(maxInPeriod(started)) <= allowed, "%d calls in %s, allowed %g", maxInPeriod(started), ratePeriod, allowed)
	})
}

// A call beyond the rate limit is refused at once, although it may wait, with the time until the next
// token.
func TestCallBeyondTheRateLimitIsRefusedAtOnce(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	queue := newLimitedQueue(clock, 2)
	clock.now = clock.now.Add(500 * time.Millisecond)
	assert.Assert(t, tryStart(queue))
	_, err := queue.Acquire(context.Background(), admission.Request{MaxWait: time.Hour})
	assert.Assert(t, result.Is(err, result.CallNotRunLimited), "%v", err)
	assert.Equal(t, err.(*result.Error).RetryAfter.Round(time.Millisecond), 500*time.Millisecond)
	assert.Equal(t, queue.RateLimitUse().Refused, int64(1))
	queue.ClearRateLimit()
	assert.Assert(t, tryStart(queue))
}

// A back end that accepts no calls still gets one in four seconds, which shows when that ends.
func TestLimitOfZeroAdmitsACallNowAndThen(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	queue := newLimitedQueue(clock, 0)
	count := 0
	for range 400 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		if tryStart(queue) {
			count++
		}
	}
	assert.Equal(t, count, 10)
}

// Calls that wait for a slot when the limit begins are refused, because they would be sent beyond it.
func TestWaitingCallsAreRefusedWhenARateLimitBegins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := admission.NewQueue(admission.Limits{Slots: 1, QueueLength: 64, QueueTime: time.Minute}, time.Now)
		running, err := queue.Acquire(t.Context(), admission.Request{})
		assert.NilError(t, err)
		refused := make(chan error, 2)
		for range cap(refused) {
			go func() {
				_, err := queue.Acquire(t.Context(), admission.Request{MaxWait: time.Minute})
				refused <- err
			}()
		}
		synctest.Wait()
		queue.SetRateLimit(5)
		for range cap(refused) {
			assert.Assert(t, result.Is(<-refused, result.CallNotRunLimited))
		}
		assert.Equal(t, queue.RateLimitUse().Refused, int64(2))
		running.Release(false)
	})
}

// Guards against refused callers that all return at the next token and are refused again.
func TestCallersRefusedByTheRateLimitReturnOneAfterTheOther(t *testing.T) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	queue := newLimitedQueue(clock, 5)
	var retryAfter []time.Duration
	for range 40 {
		_, err := queue.Acquire(context.Background(), admission.Request{})
		assert.Assert(t, result.Is(err, result.CallNotRunLimited), "%v", err)
		retryAfter = append(retryAfter, err.(*result.Error).RetryAfter.Round(time.Millisecond))
	}
	assert.DeepEqual(t, retryAfter[:4], []time.Duration{200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, 500 * time.Millisecond})
	assert.Equal(t, retryAfter[39], 2*time.Second)
}
