package admission

import "time"

// Parameters of the adaptive concurrency limit.
const (
	// increaseThreshold is the number of calls without shedding after which a lowered limit grows
	// by one. A larger value recovers later after a short overload; a smaller one sends more calls
	// to a back end that still sheds.
	increaseThreshold = 20
	// lightLoadFraction is the fraction of the slots up to which a back end cannot be at capacity.
	// Calls that it sheds then are shed for another reason than load, and so are those that it
	// sheds within ignoreShedDuration after that. It must be well below 1, or real overload would
	// not lower the limit.
	lightLoadFraction  = 0.25
	ignoreShedDuration = 5 * time.Second
	// slotsPerReserved is the number of slots of which one is reserved for calls other than
	// uploads. It is above 1.
	slotsPerReserved = 3
)

// concurrencyLimit is the adaptive limit of concurrent calls. It decreases when the back end sheds
// a call, and increases by one after increaseThreshold calls without shedding (adapt). Use newLimit
// to create one.
type concurrencyLimit struct {
	// slots is the configured maximum. current is the current limit, at least 1 if slots is.
	slots, current int
	// served counts the calls without shedding since the last change of the limit.
	served int
	// ignoreShedUntil is the time until which shed calls do not lower the limit.
	ignoreShedUntil time.Time
}

func newLimit(slots int) concurrencyLimit { return concurrencyLimit{slots: slots, current: slots} }

// configure replaces the number of slots. If it changed, the adapted limit is reset.
func (l *concurrencyLimit) configure(slots int) {
	if slots != l.slots {
		l.slots = slots
		l.current = slots
	}
}

// adapt updates the limit when a call ends. shed is true if the back end shed it. concurrent is the
// number of calls, including this one, that ran when it started or when it ended, whichever is
// greater. running is the number of calls that still run. It checks in this order:
//
//  1. shed under light load: the reason is not load, so the limit is restored and shed calls are
//     ignored for a while;
//  2. shed during that time: no change;
//  3. shed otherwise: one less than the calls that ran, or than the limit if that is lower;
//  4. not shed: one more after increaseThreshold of them.
func (l *concurrencyLimit) adapt(shed bool, concurrent, running int, now time.Time) {
	switch {
	case shed && float64(concurrent) <= lightLoadFraction*float64(l.slots):
		l.ignoreShedUntil = now.Add(ignoreShedDuration)
		l.current = l.slots
	case shed && now.Before(l.ignoreShedUntil):
	case shed:
		l.current = max(1, min(l.current, running+1)-1)
		l.served = 0
	default:
		l.served++
	}
	if l.served >= increaseThreshold && l.current < l.slots {
		l.current++
		l.served = 0
	}
}

// uploads returns the number of slots that uploads may use. Uploads take long, so if there is more
// than one slot, at least one is kept for other calls.
func (l *concurrencyLimit) uploads() int {
	reserved := max(1, l.current/slotsPerReserved)
	return max(1, l.current-reserved)
}
