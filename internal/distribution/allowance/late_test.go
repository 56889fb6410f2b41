package allowance

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// callerOfLimit is a caller of an account: it first called at began and returns while it is refused.
type callerOfLimit struct {
	began, returns time.Time
}

// playOverLimit plays an account whose callers ask for part times what a window allows. One that is
// refused returns when it is told to, at most giveUpAfter after its first try. It returns the part of what
// the limit allows that went to calls within target of their first try.
func playOverLimit(part float64, target, giveUpAfter time.Duration, late func(waited time.Duration) bool) float64 {
	const step = time.Millisecond
	const length = 20 * time.Second
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	limit := Limit{Rate: 150, Burst: 150}
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	lender := newBucket(limit, 1, bounds, 1, start)
	perSecond := part * bounds.allowed(limit) / bounds.Window.Seconds()
	var callers []callerOfLimit
	inTime := 0
	for now := start; now.Before(start.Add(length)); now = now.Add(step) {
		lender.settle(now, bounds)
		if random.Float64() < perSecond*step.Seconds() {
			callers = append(callers, callerOfLimit{began: now, returns: now})
		}
		kept := callers[:0]
		for _, caller := range callers {
			waited := now.Sub(caller.began)
			if now.Before(caller.returns) {
				kept = append(kept, caller)
				continue
			}
			lent := uint32(0)
			if late(waited) {
				lent = lender.lend(now, 0, 1)
			} else {
				lent = lender.lend(now, 1, 0)
			}
			if lent == 1 && waited < target {
				inTime++
			}
			if lent == 0 && waited < giveUpAfter {
				caller.returns = now.Add(max(lender.returnAfter(now, 1)/2, 10*step))
				kept = append(kept, caller)
			}
		}
		callers = kept
	}
	return float64(inTime) / (bounds.allowed(limit) / bounds.Window.Seconds() * length.Seconds())
}

// The load: an account asks for half as much again as it may, and its callers return while they are
// refused. The limit is spent on calls that can still be in time.
func TestLimitGoesToCallsThatCanBeInTime(t *testing.T) {
	const target, giveUpAfter = 500 * time.Millisecond, 4 * time.Second
	without := playOverLimit(1.5, target, giveUpAfter, func(time.Duration) bool { return false })
	with := playOverLimit(1.5, target, giveUpAfter, func(waited time.Duration) bool { return waited >= target })
	t.Logf("of what the limit allows, in time: %.3f without, %.3f with", without, with)
	assert.Assert(t, with > 0.9)
	assert.Assert(t, with > without)
}

// Within the limit late calls go as well.
func TestLateCallsGoWithinTheLimit(t *testing.T) {
	bounds := Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
	start := time.Unix(1000, 0)
	for _, limit := range []Limit{{Rate: 150, Burst: 150}, {Rate: 150}, {Rate: 1, Burst: 1}} {
		lender := newBucket(limit, 1, bounds, 1, start)
		now := start.Add(bounds.Window)
		lender.settle(now, bounds)
		assert.Equal(t, lender.lend(now, 0, 1), uint32(1), "%v", limit)
	}
}
