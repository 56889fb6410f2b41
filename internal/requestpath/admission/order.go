package admission

import (
	"cmp"
	"math/bits"
	"time"
)

// Request describes a call that needs a slot.
type Request struct {
	Group string
	// HasAccount is true if Group is the account of the call. Calls without one, such as those made
	// by instances, are shared by all accounts and never count as above a share.
	HasAccount bool
	Background bool
	Upload     bool
	// AccountPriority has precedence over Priority if callers have accounts; 0 is the most urgent.
	AccountPriority uint32
	// Priority orders the waiting calls of a group, or of all accounts; 0 is the most urgent.
	Priority uint32
	// Due is the time by which a call must start to be answered within its target latency; zero for
	// a call without a target.
	Due time.Time
	// Headroom is the time that the call may wait, from its arrival, and still meet its target: the
	// target latency minus the usual service time.
	Headroom time.Duration
	// MaxWait is the maximum wait; 0 means the limit of the queue.
	MaxWait time.Duration
	// NoWait refuses the call if it cannot start immediately.
	NoWait bool
	// LatestStart is the time after which the call must not start; zero for none.
	LatestStart time.Time
}

// before reports whether a request that arrived later goes before another one of its group: by
// urgency (compareUrgency), then by earliest due time. Requests that are equal in both are served
// in the order of their arrival.
func (r *Request) before(other *Request, now time.Time) bool {
	if urgency := r.compareUrgency(other, now); urgency != 0 {
		return urgency < 0
	}
	return r.Due.Before(other.Due)
}

// compareUrgency returns a negative number if the request is more urgent than the other one, and a
// positive number if it is less urgent.
//
// It compares in this order:
//
//  1. priority, the more urgent first;
//  2. lateness: a call that can no longer meet its target does not take a slot from one that can;
//  3. calls with a target before those without;
//  4. headroom on a logarithmic scale of base two, the smallest first: such calls are short, or
//     other calls that hold slots elsewhere wait for them.
func (r *Request) compareUrgency(other *Request, now time.Time) int {
	return cmp.Or(
		cmp.Compare(r.Priority, other.Priority),
		falseFirst(r.late(now), other.late(now)),
		falseFirst(r.Due.IsZero(), other.Due.IsZero()),
		cmp.Compare(r.headroomBucket(), other.headroomBucket()),
	)
}

// falseFirst compares two booleans and orders false before true.
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

// headroomBucket returns the headroom on a logarithmic scale of base two, because the callers'
// estimates of the service time of one route differ slightly. It is 0 without a target.
func (r *Request) headroomBucket() int {
	if r.Due.IsZero() {
		return 0
	}
	return bits.Len64(uint64(max(r.Headroom.Milliseconds(), 0)))
}

// late reports whether the request can no longer start in time to meet its target.
func (r *Request) late(now time.Time) bool { return !r.Due.IsZero() && r.Due.Before(now) }
