package rollout

import (
	"time"
)

// Number of deciders and times of the writes.
const (
	// Deciders is the number of daemons that collect all evidence and may begin a step: one does
	// the work, and two can replace it.
	Deciders = 3
	// TakeoverDelay is the delay of a decider's write per rank, so that the decider before it can
	// write first. StoreRetryDelay is the time to wait for the answer to a write: a slow store
	// answers within a few hundred milliseconds.
	TakeoverDelay   = 400 * time.Millisecond
	StoreRetryDelay = 500 * time.Millisecond
)

// Write is one conditional write of an order's status.
type Write struct {
	Service string
	// Revision is the expected revision of the object; the store refuses the write at any other.
	Revision uint64
	Order    Identity
	Status   Status
}

// Outcome is the result of a write.
type Outcome string

// Outcomes of a write.
const (
	OutcomeDone Outcome = "done"
	// OutcomeConflict means that the object has another revision.
	OutcomeConflict Outcome = "conflict"
	// OutcomeGone means that the object was deleted.
	OutcomeGone Outcome = "gone"
	// OutcomeRefused means that the write was not done, and OutcomeUnknown that it may have been
	// done or may still be done.
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the outcome of a write. Seen is the object as returned by the store, which returns it
// for every write that is done. A write reported as done without Seen counts as unknown, because
// its revision is unknown.
type Answer struct {
	Write   Write
	Outcome Outcome
	Seen    *Order
}

// Decider writes the status of one service's order. It holds no pointers to mutable data, so that a
// copy is independent. It is not safe for concurrent use.
type Decider struct {
	// order is the newest known state of the object; gone is true once it was deleted or replaced.
	order Order
	gone  bool
	// wantedEnd is the end to be written, and wantedSince the time at which it was first wanted.
	wantedEnd   End
	wantedSince time.Time
	// writing is true while a write is in progress; notBefore is the earliest time of the next
	// write.
	writing   bool
	notBefore time.Time
}

// NewDecider returns a decider that follows an order.
func NewDecider(order Order) Decider { return Decider{order: order} }

// Order returns the newest known state of the object.
func (d *Decider) Order() Order { return d.order }

// Observe records a state of the object, nil for a deleted one, and returns how it relates to the
// known state. After any classification other than ClassificationSame and ClassificationOld the
// decider must not be used any further.
func (d *Decider) Observe(seen *Order) Classification {
	if seen == nil {
		d.gone = true
		return ClassificationWithdrawn
	}
	classification := Classify(&d.order, *seen)
	switch classification {
	case ClassificationSame:
		d.order = Adopt(&d.order, *seen)
	case ClassificationOld:
	default:
		d.gone = true
	}
	return classification
}

// Want sets the end to be written and returns the write that is due now. A rank above 0 delays the
// write, so that the daemons of lower rank can write first. A final end in the store is never
// overwritten.
func (d *Decider) Want(now time.Time, end End, rank int) (Write, bool) {
	if end != d.wantedEnd {
		d.wantedEnd, d.wantedSince = end, now
	}
	if d.gone || end == EndNone || d.order.End().Final() || d.order.End() == end {
		return Write{}, false
	}
	due := d.wantedSince.Add(time.Duration(rank) * TakeoverDelay)
	if d.writing || rank < 0 || now.Before(due) || now.Before(d.notBefore) {
		return Write{}, false
	}
	d.writing = true
	return Write{
		Service: d.order.Service, Revision: d.order.Revision, Order: d.order.Identity,
		Status: Status{End: end, Target: d.order.Target, ReissueRevision: d.order.ReissueRevision},
	}, true
}

// Answered records the answer to a write. A write without an answer is sent again with the same
// revision: if the first one was done after all, the second one is answered with a conflict.
func (d *Decider) Answered(now time.Time, answer Answer) Classification {
	d.writing = false
	if answer.Outcome == OutcomeGone {
		return d.Observe(nil)
	}
	if answer.Outcome != OutcomeDone || answer.Seen == nil {
		d.notBefore = now.Add(StoreRetryDelay)
	}
	if answer.Seen == nil {
		return ClassificationSame
	}
	if answer.Outcome == OutcomeConflict {
		d.notBefore = now
	}
	return d.Observe(answer.Seen)
}
