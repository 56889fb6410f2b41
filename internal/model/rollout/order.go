package rollout

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/position"
)

// End is the result of a roll-out as held by the store.
type End string

// Ends of a roll-out.
const (
	// EndNone is the end of an order without a status.
	EndNone       End = ""
	EndRunning    End = "running"
	EndCompleted  End = "completed"
	EndRolledBack End = "rolled_back"
)

// Final reports whether the end must not be overwritten.
func (e End) Final() bool { return e == EndCompleted || e == EndRolledBack }

// Status is the status that the daemons write to an order's object.
type Status struct {
	End End
	// Target and ReissueRevision identify the order that the status is about, because the status of an
	// earlier order must not be applied to a later one. ReissueRevision lets daemons agree on the
	// current order even if they have seen different states of the object.
	Target          string
	ReissueRevision uint64
}

// Identity distinguishes the orders for one service. The revision cannot, because it changes with
// every write of the status.
type Identity struct {
	// Created is the revision at which the object was created.
	Created uint64
	Target  string
	// Duration is the time that the operator allows for the roll-out.
	Duration time.Duration
	// ReissueRevision is 0 for the first run of an order. If the operator gave the same order again
	// after its end, it is the revision of the object as the operator wrote it, before the first status
	// of the new run.
	ReissueRevision uint64
}

// Order is an operator's order as held by the store.
type Order struct {
	Service string
	Identity
	// Revision is the position of the object's newest change in the store's history
	// (position.Position). Writes of the status are conditional on it.
	Revision uint64
	Status   Status
}

// End returns the end that the store holds for this order.
func (o Order) End() End {
	if o.Status.Target != o.Target || o.Status.ReissueRevision < o.ReissueRevision {
		return EndNone
	}
	return o.Status.End
}

// Classification classifies an observed state of an order's object.
type Classification string

// Classifications of an order.
const (
	ClassificationNew Classification = "new"
	// ClassificationSame is the order that is already followed, possibly with another status.
	ClassificationSame Classification = "same"
	// ClassificationOld is an earlier state of the object than the known one.
	ClassificationOld Classification = "old"
	// ClassificationSuperseded is another order while the known one has no final end.
	ClassificationSuperseded Classification = "superseded"
	// ClassificationWithdrawn is a deleted object.
	ClassificationWithdrawn Classification = "withdrawn"
	// ClassificationImpossible is an order with a duration below MinDuration.
	ClassificationImpossible Classification = "impossible"
	// ClassificationMalformed is an order without a service or a version.
	ClassificationMalformed Classification = "malformed"
)

// MinDuration is the shortest duration in which a version can be tested and the calls can be moved:
// ramp, confirmation and write, and a few seconds of probing.
const MinDuration = 5 * time.Second

// Classify classifies the state of an object relative to the known one, which is nil if there is none.
func Classify(known *Order, seen Order) Classification {
	switch {
	case known != nil && seen.Revision < known.Revision:
		return ClassificationOld
	case seen.Service == "" || seen.Target == "":
		return ClassificationMalformed
	case known != nil && sameOrder(*known, seen):
		return ClassificationSame
	case seen.Duration < MinDuration:
		return ClassificationImpossible
	case known != nil && !known.End().Final():
		return ClassificationSuperseded
	default:
		return ClassificationNew
	}
}

// sameOrder reports whether a later state of the object belongs to the known order. It belongs to
// another one if its spec differs, if its status is about a later order, or if the object changed after
// the known order had a final end: daemons do not write after an end, so the operator has given the
// same order again. The last condition does not apply to a revision of another era of the store,
// because the end may be missing there if it was written after the backup that the store was restored
// from.
func sameOrder(known, seen Order) bool {
	if !sameSpec(known, seen) || seen.statusReissueRevision() > known.ReissueRevision {
		return false
	}
	sameEra := position.Position(known.Revision).Era() == position.Position(seen.Revision).Era()
	return !known.End().Final() || !sameEra || seen.Revision == known.Revision
}

// sameSpec reports whether two states of an object hold the same request of the operator.
func sameSpec(known, seen Order) bool {
	return known.Created == seen.Created && known.Target == seen.Target && known.Duration == seen.Duration
}

// statusReissueRevision returns the ReissueRevision of the order that the status is about, or 0 if that is
// another version.
func (o Order) statusReissueRevision() uint64 {
	if o.Status.Target != o.Target {
		return 0
	}
	return o.Status.ReissueRevision
}

// Adopt returns the order to follow: with the identity of the known order if it is the same, and
// with a new ReissueRevision if the same order was given again.
func Adopt(known *Order, seen Order) Order {
	seen.ReissueRevision = seen.statusReissueRevision()
	switch {
	case known == nil:
	case sameOrder(*known, seen):
		seen.Identity = known.Identity
	case sameSpec(*known, seen) && seen.ReissueRevision <= known.ReissueRevision:
		// The first status of the new run is not written yet.
		seen.ReissueRevision = seen.Revision
	}
	return seen
}
