package admission

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// BackgroundFactor is how many times as long as interactive calls background calls may wait. It is
	// above 1, or background calls, which go last in their group, would be refused first.
	BackgroundFactor = 8
	// minRetryAfter is the minimum retry time of a refusal. It is above 0, or a caller that is
	// refused while no wait is expected would retry at once.
	minRetryAfter = 50 * time.Millisecond
	// minGroupSlots is the minimum number of slots of a group in wait estimates, so that the
	// estimate for a group with a tiny share does not grow without bound.
	minGroupSlots = 0.5
)

// Limits holds the limits of a queue.
type Limits struct {
	// Slots is the maximum number of concurrent calls.
	Slots int
	// QueueLength is the maximum number of waiting calls of each group and kind (interactive or
	// background).
	QueueLength int
	// QueueTime is the maximum wait of an interactive call that does not set its own. Background
	// calls may wait BackgroundFactor times as long.
	QueueTime time.Duration
}

// maxWait returns how long a request may wait for a slot.
func (l Limits) maxWait(request Request) time.Duration {
	limit := l.QueueTime
	if request.MaxWait > 0 {
		limit = request.MaxWait
	}
	if request.Background {
		limit *= BackgroundFactor
	}
	return limit
}

// action is the decision on an arriving call.
type action int

const (
	// actionStart gives the call a slot immediately.
	actionStart action = iota
	// actionQueue leaves the decision to decideWait, because no slot is free.
	actionQueue
	// actionWait lets the call wait until its deadline.
	actionWait
	// actionRefuseClosed refuses the call because the back end accepts no calls.
	actionRefuseClosed
	// actionRefuseExpired refuses the call because its latest start time has passed.
	actionRefuseExpired
	// actionRefuseRate refuses the call because the rate limit of the back end is exhausted.
	actionRefuseRate
	// actionRefuseNoSlot refuses the call because no slot is free and it does not wait.
	actionRefuseNoSlot
	// actionRefuseFull refuses the call because the queue is full or the wait would be too long.
	actionRefuseFull
)

// queueState is the state of the queue when a call arrives.
type queueState struct {
	// closed is true if the back end accepts no calls, because it is draining or down.
	closed bool
	// rateExhausted is true if the rate limit leaves no token for this call.
	rateExhausted bool
	// slotFree is true if a slot and a token are available for this call.
	slotFree bool
	// othersWait is true if calls of any group are waiting.
	othersWait bool
}

// decideArrival makes the first decision on an arriving call: to start, to refuse, or to leave the
// rest to decideWait. Calls that can never run, or for which the back end's rate limit leaves no token,
// are refused before any estimate. A call does not overtake waiting ones even if a slot is free for it,
// because an upload may wait while slots are reserved for other calls.
func decideArrival(request Request, state queueState, now time.Time) action {
	switch {
	case state.closed:
		return actionRefuseClosed
	case !request.LatestStart.IsZero() && !now.Before(request.LatestStart):
		return actionRefuseExpired
	case state.rateExhausted:
		return actionRefuseRate
	case state.slotFree && !state.othersWait:
		return actionStart
	default:
		return actionQueue
	}
}

// decideWait decides whether a call that finds no free slot waits. queued is the number of waiting
// calls of its group and kind, and expected its estimated wait. A call that would exceed its
// maximum wait is refused immediately, so that its caller has time left to try elsewhere. The
// returned deadline is the end of the wait for actionWait.
func decideWait(request Request, queued int, expected waitEstimate, limits Limits, now time.Time) (action, time.Time) {
	longest := limits.maxWait(request)
	switch {
	case request.NoWait:
		return actionRefuseNoSlot, time.Time{}
	case queued >= limits.QueueLength || expected.longest() > longest:
		return actionRefuseFull, time.Time{}
	}
	deadline := now.Add(longest)
	if !request.LatestStart.IsZero() && request.LatestStart.Before(deadline) {
		deadline = request.LatestStart
	}
	return actionWait, deadline
}

// waitEstimate is the estimated wait of a call for each resource. Both waits overlap, so the longer
// one counts.
type waitEstimate struct {
	// forSlot is the wait for running calls to end. forToken is the wait for a token of the pace.
	forSlot, forToken time.Duration
}

func (w waitEstimate) longest() time.Duration { return max(w.forSlot, w.forToken) }

// limitedByPace reports whether the call would wait for the pace rather than because of load.
func (w waitEstimate) limitedByPace() bool { return w.forToken > w.forSlot }

// estimateSlotWait estimates the wait for a slot with the given number of calls of the same group
// ahead, which run one after the other on the slots of the group. meanService is the smoothed time
// that a call holds a slot, and groupSlots the group's share of the slots.
func estimateSlotWait(meanService time.Duration, ahead int, groupSlots float64) time.Duration {
	return time.Duration(float64(meanService) * float64(ahead) / math.Max(groupSlots, minGroupSlots))
}

// refusalFor returns the error for a call that cannot be served in time. The retry time is the
// longer of both waits, at least minRetryAfter. The code depends on the resource that the call
// would wait for, because the remedies differ: CallNotRunCold for the pace of a back end in slow
// start, CallNotRunOverloaded for load.
func refusalFor(expected waitEstimate, detail string) *result.Error {
	code := result.CallNotRunOverloaded
	if expected.limitedByPace() {
		code = result.CallNotRunCold
		detail = "the back end is cold: " + detail
	}
	refusal := result.Errorf(code, "%s", detail)
	refusal.RetryAfter = max(expected.longest(), minRetryAfter)
	return refusal
}
