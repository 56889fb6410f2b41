package rollout

import (
	"time"
)

// Times of the writes.
const (
	// Deciders is how many daemons hold all evidence and may begin a step: one for the
	// work and two for when it is lost.
	Deciders = 3
	// TakeOverAfter is how much later than the one before it a decider writes, and
	// AskAgainAfter how long it waits for the answer to a write: a slow store answers
	// within some hundred milliseconds.
	TakeOverAfter = 400 * time.Millisecond
	AskAgainAfter = 500 * time.Millisecond
)

// Write is one conditional write of an order's status.
type Write struct {
	Service string
	// Revision is the object's that the write names; any other refuses it.
	Revision uint64
	Order    Identity
	Status   Status
}

// Outcome is what became of a write.
type Outcome string

// Outcomes of a write.
const (
	OutcomeDone Outcome = "done"
	// OutcomeConflict says that the object has another revision.
	OutcomeConflict Outcome = "conflict"
	// OutcomeGone says that the object is there no more.
	OutcomeGone Outcome = "gone"
	// OutcomeRefused says that nothing was done, OutcomeUnknown that it may have been
	// done, or may yet be.
	OutcomeRefused Outcome = "refused"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the outcome of a write; Seen is the object where the store showed it, as it
// does with every write that is done. One said to be done but not shown is taken as
// unknown: its revision is.
type Answer struct {
	Write   Write
	Outcome Outcome
	Seen    *Order
}

// Decider writes the status of one service's order. It is a value without pointers to
// anything that changes, so that a copy is independent, and not safe for concurrent use.
type Decider struct {
	// order is the newest state of the object known; gone is true when it was taken away.
	order Order
	gone  bool
	// wanted is the end that is to be written, since when.
	wanted End
	since  time.Time
	// busy is true while a write is under way; notBefore is when the next may be sent.
	busy      bool
	notBefore time.Time
}

// NewDecider returns a decider that follows an order.
func NewDecider(order Order) Decider { return Decider{order: order} }

// Order returns the newest state known of the object.
func (d *Decider) Order() Order { return d.order }

// Observe takes in a state of the object; nil is one that was taken away. It reports how
// the state reads beside the one known; after ReadingSame the decider goes on, after any
// other one but ReadingOld it is of no more use.
func (d *Decider) Observe(seen *Order) Reading {
	if seen == nil {
		d.gone = true
		return ReadingWithdrawn
	}
	reading := Read(&d.order, *seen)
	switch reading {
	case ReadingSame:
		d.order = Adopt(&d.order, *seen)
	case ReadingOld:
	default:
		d.gone = true
	}
	return reading
}

// Want says what end is to be written, and returns the write that is due now. A rank
// other than 0 gives the daemons before it time to write. What is final in the store
// is never written over.
func (d *Decider) Want(now time.Time, end End, rank int) (Write, bool) {
	if end != d.wanted {
		d.wanted, d.since = end, now
	}
	if d.gone || end == EndNone || d.order.End().Final() || d.order.End() == end {
		return Write{}, false
	}
	due := d.since.Add(time.Duration(rank) * TakeOverAfter)
	if d.busy || rank < 0 || now.Before(due) || now.Before(d.notBefore) {
		return Write{}, false
	}
	d.busy = true
	return Write{
		Service: d.order.Service, Revision: d.order.Revision, Order: d.order.Identity,
		Status: Status{End: end, Target: d.order.Target, Again: d.order.Again},
	}, true
}

// Answered takes in what became of a write. One without an answer is sent again under the
// same revision: if it was done after all, the conflict shows it.
func (d *Decider) Answered(now time.Time, answer Answer) Reading {
	d.busy = false
	if answer.Outcome == OutcomeGone {
		return d.Observe(nil)
	}
	if answer.Outcome != OutcomeDone || answer.Seen == nil {
		d.notBefore = now.Add(AskAgainAfter)
	}
	if answer.Seen == nil {
		return ReadingSame
	}
	if answer.Outcome == OutcomeConflict {
		d.notBefore = now
	}
	return d.Observe(answer.Seen)
}
