package admission

import (
	"cmp"
	"math/bits"
	"time"
)

// Request describes a call that wants a slot.
type Request struct {
	Group string
	// HasAccount is true where Group is the account of the call. Calls without one, such as those
	// that instances make, are of all accounts and never above a share.
	HasAccount bool
	Background bool
	Upload     bool
	// AccountPriority goes before Priority where callers have accounts; 0 is the most urgent.
	AccountPriority uint32
	// Priority orders the waiting calls of a group, or those of all accounts; 0 is the most
	// urgent.
	Priority uint32
	// Due is the time by which a call must start to be answered within its target
	// latency; zero for a call without one.
	Due time.Time
	// Headroom is how long the call may wait at its arrival and still meet its target: the
	// target latency less the usual service time.
	Headroom time.Duration
	// MaxWait bounds the wait; 0 means the queue's own bound.
	MaxWait time.Duration
	// NoWait refuses the call when it cannot start at once.
	NoWait bool
	// StartBy is the time after which the call must not start; zero for none.
	StartBy time.Time
}

// before reports whether a request that came later goes before another one of its group: by
// urgency (compareUrgency), then the earliest due time. Requests that are equal in both keep the
// order of their arrival.
func (r *Request) before(other *Request, now time.Time) bool {
	if urgency := r.compareUrgency(other, now); urgency != 0 {
		return urgency < 0
	}
	return r.Due.Before(other.Due)
}

// compareUrgency returns below 0 where a request is more urgent than another one, above 0 where it
// is less.
//
// Inputs: both requests as they arrived, and the time now. Conditions, in this order:
//
//  1. priority, the more urgent first;
//  2. late or not: a call that can no longer meet its target does not keep one that can from
//     its slot;
//  3. with a target or without: those without come last;
//  4. headroom in steps of a factor of two, the least first: such calls are short, or others
//     that hold slots elsewhere wait for them.
func (r *Request) compareUrgency(other *Request, now time.Time) int {
	return cmp.Or(
		cmp.Compare(r.Priority, other.Priority),
		falseFirst(r.late(now), other.late(now)),
		falseFirst(r.Due.IsZero(), other.Due.IsZero()),
		cmp.Compare(r.headroomStep(), other.headroomStep()),
	)
}

// falseFirst compares two conditions so that the one that does not hold comes first.
func falseFirst(first, second bool) int {
	switch {
	case first == second:
		return 0
	case second:
		return -1
	default:
		return 1
	}
}

// headroomStep is the headroom in steps of a factor of two: what callers know of the service
// time of one route differs a little. It is 0 without a target.
func (r *Request) headroomStep() int {
	if r.Due.IsZero() {
		return 0
	}
	return bits.Len64(uint64(max(r.Headroom.Milliseconds(), 0)))
}

// late reports whether the request can no longer start in time for its target.
func (r *Request) late(now time.Time) bool { return !r.Due.IsZero() && r.Due.Before(now) }
