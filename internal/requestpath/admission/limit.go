package admission

import "time"

// Constants of the adaptive limit.
const (
	// increaseAfter is the number of calls done without shedding after which a lowered
	// limit grows by one: a larger one recovers later after a short overload, a smaller one
	// sends a back end that sheds still more to shed.
	increaseAfter = 20
	// fewRunning is the part of the slots up to which a back end cannot be full: what it
	// sheds then has another cause than load, and so has what it sheds within unrelatedFor
	// after that. It must be well below 1, or real overload would not lower the limit.
	fewRunning   = 0.25
	unrelatedFor = 5 * time.Second
	// slotsPerKeptOne: of so many slots one is kept free of uploads; above 1.
	slotsPerKeptOne = 3
)

// concurrencyLimit is the number of calls that may run at once, which follows what the back
// end sheds: additive decrease with each shed call, additive increase after a row of served
// ones. Create it with newLimit.
type concurrencyLimit struct {
	// slots is the configured bound, and current what holds now, at least 1 where slots is.
	slots, current int
	// served counts the calls without shedding since the limit last changed.
	served int
	// unrelatedUntil is until when shedding does not lower the limit.
	unrelatedUntil time.Time
}

func newLimit(slots int) concurrencyLimit { return concurrencyLimit{slots: slots, current: slots} }

// configure replaces the number of slots; another number ends what was learned.
func (l *concurrencyLimit) configure(slots int) {
	if slots != l.slots {
		l.slots = slots
		l.current = slots
	}
}

// adapt follows the end of a call, with whether the back end shed it and the calls that ran
// beside it (concurrent, this one included) and still run. The conditions, in this order:
//
//  1. shed with little running: the cause is not load; the limit is restored, and shedding says
//     nothing for a while;
//  2. shed within that while: no change;
//  3. shed otherwise: one below what runs, or below the limit where that is lower;
//  4. not shed: one more after increaseAfter of them.
func (l *concurrencyLimit) adapt(shed bool, concurrent, running int, now time.Time) {
	switch {
	case shed && float64(concurrent) <= fewRunning*float64(l.slots):
		l.unrelatedUntil = now.Add(unrelatedFor)
		l.current = l.slots
	case shed && now.Before(l.unrelatedUntil):
	case shed:
		l.current = max(1, min(l.current, running+1)-1)
		l.served = 0
	default:
		l.served++
	}
	if l.served >= increaseAfter && l.current < l.slots {
		l.current++
		l.served = 0
	}
}

// uploads returns how many of the slots uploads may take: they are long, and must not keep all
// slots from other calls while there are several.
func (l *concurrencyLimit) uploads() int {
	kept := max(1, l.current/slotsPerKeptOne)
	return max(1, l.current-kept)
}
