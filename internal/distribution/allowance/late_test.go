package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulatedCaller is a caller of an account that made its first call at firstCallAt and retries at
// retryAt while it is refused.
type simulatedCaller struct {
	firstCallAt, retryAt time.Time
}

// simulateOverLimit simulates an account whose callers request loadFactor times the calls that a
// window allows. Refused callers retry when they are told to, until giveUpAfter has passed since
// their first call. It returns the fraction of the allowed calls that went to callers within target
// of their first call.
func simulateOverLimit(loadFactor float64, target, giveUpAfter time.Duration, late func(waited time.Duration) bool) float64 {
	const step = time.Millisecond
	const length = 20 * time.Second
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	limit := Limit{Rate: 150, Burst: 150}
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	owner := newBucket(limit, 1, bounds, 1, start)
	perSecond := loadFactor * bounds.maxCalls(limit) / bounds.Window.Seconds()
	var callers []simulatedCaller
	inTime := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		owner.refill(now, bounds)
		if random.Float64() < perSecond*step.Seconds() {
			callers = append(callers, simulatedCaller{firstCallAt: now, retryAt: now})
		}
		remaining := callers[:0]
		for _, caller := range callers {
			waited := now.Sub(caller.firstCallAt)
			if now.Before(caller.retryAt) {
				remaining = append(remaining, caller)
				continue
			}
			lent := uint32(0)
			if late(waited) {
				lent = owner.lend(now, 0, 1)
			} else {
				lent = owner.lend(now, 1, 0)
			}
			if lent == 1 && waited < target {
				inTime++
			}
			if lent == 0 && waited < giveUpAfter {
				caller.retryAt = now.Add(max(owner.retryAfter(now, 1)/2, 10*step))
				remaining = append(remaining, caller)
			}
		}
		callers = remaining
	}
	return float64(inTime) / (bounds.maxCalls(limit) / bounds.Window.Seconds() * length.Seconds())
}

// An account at 1.5 times its limit, with callers that retry, must not spend the limit on retries
// that are already too late: over 90 % of it goes to calls that can still be in time.
func TestLimitGoesToCallsThatCanBeInTime(t *testing.T) {
	const target, giveUpAfter = 500 * time.Millisecond, 4 * time.Second
	without := simulateOverLimit(1.5, target, giveUpAfter, func(time.Duration) bool { return false })
	with := simulateOverLimit(1.5, target, giveUpAfter, func(waited time.Duration) bool { return waited >= target })
	t.Logf("fraction of the limit granted in time: %.3f without marking late calls, %.3f with", without, with)
	assert.Assert(t, with > 0.9)
	assert.Assert(t, with > without)
}

// Late calls are granted while the account is within its limit.
func TestLateCallsGoWithinTheLimit(t *testing.T) {
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	start := time.Unix(1000, 0)
	for _, limit := range []Limit{{Rate: 150, Burst: 150}, {Rate: 150}, {Rate: 1, Burst: 1}} {
		owner := newBucket(limit, 1, bounds, 1, start)
		now := start.Add(bounds.Window)
		owner.refill(now, bounds)
		assert.Equal(t, owner.lend(now, 0, 1), uint32(1), "%v", limit)
	}
}
