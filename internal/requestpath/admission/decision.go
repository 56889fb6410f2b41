package admission

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// BackgroundFactor is how many times as long as interactive calls background ones may
	// wait; above 1, or background calls, which go last in their group, would be refused first.
	BackgroundFactor = 8
	// minRetryAfter is the least time named in a refusal; above 0, or a caller that is refused while no wait is expected comes back at once.
	minRetryAfter = 50 * time.Millisecond
	// minPartOfSlots is the least part of a slot that a group counts with when its wait is
	// estimated: it keeps the estimate of a group with a tiny share from growing without bound.
	minPartOfSlots = 0.5
)

// Limits bound a queue.
type Limits struct {
	// Slots is the number of calls at once.
	Slots int
	// QueueLength is the number of waiting calls of each group and kind (interactive or
	// background).
	QueueLength int
	// QueueTime is the longest wait of an interactive call that does not state its own;
	// background calls may wait BackgroundFactor times as long.
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

// action is what becomes of an arriving call.
type action int

const (
	// actionStart: a slot is given at once.
	actionStart action = iota
	// actionQueue: no slot is free; whether the call waits is decided by decideWait.
	actionQueue
	// actionWait: the call waits until its deadline.
	actionWait
	// actionRefuseClosed: the back end takes no calls.
	actionRefuseClosed
	// actionRefuseExpired: the call may not start any more.
	actionRefuseExpired
	// actionRefuseNoSlot: no slot is free and the call does not wait.
	actionRefuseNoSlot
	// actionRefuseFull: the queue is full, or the wait would be too long.
	actionRefuseFull
)

// arrival is what a call finds in the queue, all of it current.
type arrival struct {
	// closed: the back end takes no calls, because it drains or is down.
	closed bool
	// slotFree: a slot and a token are there for this call.
	slotFree bool
	// othersWait: calls of any group wait already.
	othersWait bool
}

// decideArrival is the first half of "start, wait or refuse". The conditions are looked at in
// the order of the code: what can never run is refused before anything is estimated, and a
// call does not pass waiting ones even where a slot is free for it (an upload may wait while
// slots are kept free).
func decideArrival(request Request, found arrival, now time.Time) action {
	switch {
	case found.closed:
		return actionRefuseClosed
	case !request.StartBy.IsZero() && !now.Before(request.StartBy):
		return actionRefuseExpired
	case found.slotFree && !found.othersWait:
		return actionStart
	default:
		return actionQueue
	}
}

// decideWait is the second half, for a call that finds no free slot: queued is the number of
// waiting calls of its group and kind, expected how long it would wait. A call that would wait
// longer than it may is refused at once, so that its caller can go elsewhere while there is
// time left. The deadline is that of the wait, where the call waits.
func decideWait(request Request, queued int, expected waitEstimate, limits Limits, now time.Time) (action, time.Time) {
	longest := limits.maxWait(request)
	switch {
	case request.NoWait:
		return actionRefuseNoSlot, time.Time{}
	case queued >= limits.QueueLength || expected.longest() > longest:
		return actionRefuseFull, time.Time{}
	}
	deadline := now.Add(longest)
	if !request.StartBy.IsZero() && request.StartBy.Before(deadline) {
		deadline = request.StartBy
	}
	return actionWait, deadline
}

// waitEstimate is how long a call is expected to wait, for each thing that it waits for. Both
// pass at the same time, so that the longer one counts.
type waitEstimate struct {
	// forSlot is the wait for running calls to end, and forToken that for the pace.
	forSlot, forToken time.Duration
}

func (w waitEstimate) longest() time.Duration { return max(w.forSlot, w.forToken) }

// byPace reports whether the pace, and not load, is what the call would wait for.
func (w waitEstimate) byPace() bool { return w.forToken > w.forSlot }

// slotWait estimates how long a call waits for a slot behind ahead others of its group: as
// long as these take, one after the other, on the group's part of the slots. meanService is
// the smoothed time that calls hold a slot, partOfSlots the number of slots of the group.
func slotWait(meanService time.Duration, ahead int, partOfSlots float64) time.Duration {
	return time.Duration(float64(meanService) * float64(ahead) / math.Max(partOfSlots, minPartOfSlots))
}

// refusalFor returns the error for a call that cannot be served in its time, with when to come
// back: after the longer of both waits, at least minRetryAfter. The code tells what the call
// would wait for, because the remedies differ: CallNotRunCold where it is the pace of a back end
// in slow start, CallNotRunOverloaded where it is load.
func refusalFor(expected waitEstimate, detail string) *result.Error {
	code := result.CallNotRunOverloaded
	if expected.byPace() {
		code = result.CallNotRunCold
		detail = "the back end is cold: " + detail
	}
	refusal := result.Errorf(code, "%s", detail)
	refusal.RetryAfter = max(expected.longest(), minRetryAfter)
	return refusal
}
