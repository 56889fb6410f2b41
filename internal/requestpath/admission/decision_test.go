package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

var arrivedAt = time.Unix(1000, 0)

// Checks the decision on an arriving call and the precedence of its conditions.
func TestDecideArrival(t *testing.T) {
	expired := Request{LatestStart: arrivedAt}
	for name, row := range map[string]struct {
		request Request
		state   queueState
		want    action
	}{
		"a slot is free":                   {Request{}, queueState{slotFree: true}, actionStart},
		"no slot is free":                  {Request{}, queueState{}, actionQueue},
		"a slot is free, others wait":      {Request{}, queueState{slotFree: true, othersWait: true}, actionQueue},
		"it may start for a moment yet":    {Request{LatestStart: arrivedAt.Add(1)}, queueState{slotFree: true}, actionStart},
		"too late, a slot is free":         {expired, queueState{slotFree: true}, actionRefuseExpired},
		"too late, no slot is free":        {expired, queueState{}, actionRefuseExpired},
		"closed, a slot is free":           {Request{}, queueState{closed: true, slotFree: true}, actionRefuseClosed},
		"closed and too late: closed wins": {expired, queueState{closed: true}, actionRefuseClosed},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, decideArrival(row.request, row.state, arrivedAt), row.want)
		})
	}
}

// Checks that a call without a free slot either waits up to its limit or is refused immediately.
func TestDecideWait(t *testing.T) {
	limits := Limits{Slots: 1, QueueLength: 2, QueueTime: time.Second}
	waits := func(slot, token time.Duration) waitEstimate { return waitEstimate{forSlot: slot, forToken: token} }
	for name, row := range map[string]struct {
		request  Request
		queued   int
		expected waitEstimate
		want     action
		waits    time.Duration
	}{
		"nobody waits":                         {Request{}, 0, waits(0, 0), actionWait, time.Second},
		"its own bound is longer":              {Request{MaxWait: 2 * time.Second}, 0, waits(1500*time.Millisecond, 0), actionWait, 2 * time.Second},
		"its own bound is shorter":             {Request{MaxWait: time.Millisecond}, 0, waits(2*time.Millisecond, 0), actionRefuseFull, 0},
		"background waits longer":              {Request{Background: true}, 0, waits(BackgroundFactor*time.Second, 0), actionWait, BackgroundFactor * time.Second},
		"it must start before its wait ends":   {Request{LatestStart: arrivedAt.Add(time.Millisecond)}, 0, waits(0, 0), actionWait, time.Millisecond},
		"it may start after its wait ends":     {Request{LatestStart: arrivedAt.Add(time.Hour)}, 0, waits(0, 0), actionWait, time.Second},
		"the queue is full":                    {Request{}, 2, waits(0, 0), actionRefuseFull, 0},
		"as long a wait as it may":             {Request{}, 1, waits(time.Second, 0), actionWait, time.Second},
		"too long a wait for a slot":           {Request{}, 1, waits(time.Second+1, 0), actionRefuseFull, 0},
		"too long a wait for the pace":         {Request{}, 1, waits(0, time.Second+1), actionRefuseFull, 0},
		"it does not wait":                     {Request{NoWait: true}, 0, waits(0, 0), actionRefuseNoSlot, 0},
		"it does not wait, the queue is full":  {Request{NoWait: true}, 2, waits(0, 0), actionRefuseNoSlot, 0},
		"its own bound, for background, grows": {Request{MaxWait: time.Millisecond, Background: true}, 0, waits(0, 0), actionWait, BackgroundFactor * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			verdict, deadline := decideWait(row.request, row.queued, row.expected, limits, arrivedAt)
			assert.Equal(t, verdict, row.want)
			if row.want == actionWait {
				assert.Equal(t, deadline.Sub(arrivedAt), row.waits)
			}
		})
	}
}

// Checks that the code of a refusal reflects the resource that the call would wait for, and that
// its retry time is the longer wait.
func TestRefusalFor(t *testing.T) {
	for name, row := range map[string]struct {
		expected waitEstimate
		code     result.Code
		after    time.Duration
	}{
		"no wait is expected": {waitEstimate{}, result.CallNotRunOverloaded, minRetryAfter},
		"for a slot":          {waitEstimate{forSlot: time.Second}, result.CallNotRunOverloaded, time.Second},
		"for the pace":        {waitEstimate{forToken: time.Second}, result.CallNotRunCold, time.Second},
		"for the pace first":  {waitEstimate{forSlot: time.Second, forToken: 2 * time.Second}, result.CallNotRunCold, 2 * time.Second},
		"for both alike":      {waitEstimate{forSlot: time.Second, forToken: time.Second}, result.CallNotRunOverloaded, time.Second},
		"for the pace, soon":  {waitEstimate{forToken: 1}, result.CallNotRunCold, minRetryAfter},
	} {
		t.Run(name, func(t *testing.T) {
			refusal := refusalFor(row.expected, "no slot is free")
			assert.Equal(t, refusal.Code, row.code)
			assert.Equal(t, refusal.RetryAfter, row.after)
		})
	}
}

// Checks that the estimated wait for a slot covers the calls ahead on the group's share of the
// slots.
func TestSlotWait(t *testing.T) {
	assert.Equal(t, estimateSlotWait(100*time.Millisecond, 0, 4), time.Duration(0))
	assert.Equal(t, estimateSlotWait(100*time.Millisecond, 8, 4), 200*time.Millisecond)
	assert.Equal(t, estimateSlotWait(100*time.Millisecond, 1, 0.01), estimateSlotWait(100*time.Millisecond, 1, minGroupSlots))
}

// Checks the required relations between constants; their comments state the reasons.
func TestRelationsOfConstants(t *testing.T) {
	// A bucket with less than one token never admits a call, and one second must have room for a
	// burst.
	assert.Assert(t, minBurst >= 1 && minBurst <= defaultBurst)
	assert.Assert(t, paceMargin > 0 && paceMargin < 1)
	assert.Assert(t, minRateFraction > 0 && minRateFraction < 1)
	// A cautious pace is slower.
	assert.Assert(t, coldRateFactor > 1)
	assert.Assert(t, tokenTolerance > 1e-12 && tokenTolerance < 1e-3)
	// Background calls go last and therefore may wait longer.
	assert.Assert(t, BackgroundFactor > 1)
	// A refused caller does not retry at once.
	assert.Assert(t, minRetryAfter > 0)
	// A back end at capacity must not count as lightly loaded.
	assert.Assert(t, lightLoadFraction > 0 && lightLoadFraction <= 0.5)
	assert.Assert(t, meanServiceSmoothing > 0 && meanServiceSmoothing < 1)
	assert.Assert(t, slotsPerReserved > 1)
	assert.Assert(t, defaultWeight > 0 && minGroupSlots > 0)
	// Past usage decays, but not at once.
	assert.Assert(t, usageHalfLife > 0)
}
