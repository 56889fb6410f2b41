package rollout

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/position"
)

// End is how a roll-out ended, as the store has it.
type End string

// Ends of a roll-out.
const (
	// EndNone is that of an order whose status says nothing yet.
	EndNone       End = ""
	EndRunning    End = "running"
	EndCompleted  End = "completed"
	EndRolledBack End = "rolled_back"
)

// Final reports whether nothing may be written over the end.
func (e End) Final() bool { return e == EndCompleted || e == EndRolledBack }

// Status is what the system says of an order.
type Status struct {
	End End
	// Target and Again are those of the order that the status is about; that of an earlier
	// order says nothing of a later one. Again is how daemons agree on which order is meant,
	// whichever states of the object each of them has seen.
	Target string
	Again  uint64
}

// Identity tells one order from another one for the same service. The revision does
// not: it changes with every write of the status.
type Identity struct {
	// Created is the revision at which the object came to be.
	Created uint64
	Target  string
	// Duration is the time that the operator gives.
	Duration time.Duration
	// Again is the revision at which the same order was given again after its end, 0 for the
	// first time: that of the state that the first status of the order was written over.
	Again uint64
}

// Order is an operator's order as the store has it.
type Order struct {
	Service string
	Identity
	// Revision is the place of the object's newest change in the store's history
	// (position.Position); writes of the status name it.
	Revision uint64
	Status   Status
}

// End returns the end that the store has for this order.
func (o Order) End() End {
	if o.Status.Target != o.Target || o.Status.Again < o.Again {
		return EndNone
	}
	return o.Status.End
}

// Reading is what a daemon makes of an order.
type Reading string

// Readings of an order.
const (
	ReadingNew Reading = "new"
	// ReadingSame is the order that is being followed, perhaps with another status.
	ReadingSame Reading = "same"
	// ReadingOld is a state of the object before the one known.
	ReadingOld Reading = "old"
	// ReadingSuperseded is another order in the middle of one.
	ReadingSuperseded Reading = "superseded"
	// ReadingWithdrawn is an order taken away.
	ReadingWithdrawn Reading = "withdrawn"
	// ReadingImpossible is an order whose duration leaves no time to judge.
	ReadingImpossible Reading = "impossible"
	// ReadingMalformed is an order that names no service or no version.
	ReadingMalformed Reading = "malformed"
)

// LeastDuration is the shortest time in which a version can be judged and the calls
// be moved: ramp, confirmation and write with a few seconds of probing.
const LeastDuration = 5 * time.Second

// Read classifies the state of an object beside the one known before, nil for none.
func Read(known *Order, seen Order) Reading {
	switch {
	case known != nil && seen.Revision < known.Revision:
		return ReadingOld
	case seen.Service == "" || seen.Target == "":
		return ReadingMalformed
	case known != nil && sameOrder(*known, seen):
		return ReadingSame
	case seen.Duration < LeastDuration:
		return ReadingImpossible
	case known != nil && !known.End().Final():
		return ReadingSuperseded
	default:
		return ReadingNew
	}
}

// sameOrder reports whether a later state of the object belongs to the order known: its status says so
// where it is about a later order. Otherwise, as nobody here writes after an end, a change after one that
// left the end as it was is the same order given again. In another era of the store a revision says
// nothing of that: the end may be gone because it was written after the copy.
func sameOrder(known, seen Order) bool {
	if !sameSpec(known, seen) || seen.statedAgain() > known.Again {
		return false
	}
	sameEra := position.Position(known.Revision).Era() == position.Position(seen.Revision).Era()
	return !known.End().Final() || !sameEra || seen.Revision == known.Revision
}

// sameSpec reports whether two states of an object ask for the same.
func sameSpec(known, seen Order) bool {
	return known.Created == seen.Created && known.Target == seen.Target && known.Duration == seen.Duration
}

// statedAgain returns the Again of the order that the status is about, 0 for one about another version.
func (o Order) statedAgain() uint64 {
	if o.Status.Target != o.Target {
		return 0
	}
	return o.Status.Again
}

// Adopt returns the order as it is to be followed: with the identity of the known one
// if it is the same, and marked as given again if it is that.
func Adopt(known *Order, seen Order) Order {
	seen.Again = seen.statedAgain()
	switch {
	case known == nil:
	case sameOrder(*known, seen):
		seen.Identity = known.Identity
	case sameSpec(*known, seen) && seen.Again <= known.Again:
		// No status of the new order is written yet.
		seen.Again = seen.Revision
	}
	return seen
}
