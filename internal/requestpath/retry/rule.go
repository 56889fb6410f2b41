package retry

import (
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of the attempts at one call. All are numbers of attempts.
const (
	// DefaultMaxAttempts is the number of instances that may see one call where its route
	// states none. Chosen, not measured; at least 2, or nothing is ever retried.
	DefaultMaxAttempts = 3
	// maxNotReached is the number of further attempts after refusals that no instance saw
	// and that are not about load. Chosen, not measured. Such an attempt costs a round trip
	// and no work of an instance, so that it is larger than maxNoRoom.
	maxNotReached = 5
	// maxNoRoom is the number of further attempts after refusals of full or cold instances.
	// Chosen, not measured. It is small because other instances of the service are mostly
	// full at the same time, and each attempt may wait in a queue.
	maxNoRoom = 2
	// maxFailedDeliveries is the number of answers of a call that may break off before any of
	// them reached the caller. Chosen, not measured; the same as the default of attempts.
	maxFailedDeliveries = DefaultMaxAttempts
)

// Reason is why an attempt brought no answer, as far as the next step depends on it.
type Reason uint8

// Reasons of failed attempts.
const (
	// Final is a failure that another attempt would not mend, or that proves nothing of
	// what happened, such as a deadline that passed.
	Final Reason = iota
	// NotReached is a refusal that no instance saw and that is not about load.
	NotReached
	// NoRoom is a refusal for load by the daemon beside the instance: its queue is full or
	// too slow, or the instance is in slow start. No instance saw the call.
	NoRoom
	// Shed is a refusal by the instance itself before it ran the call.
	Shed
	// MayHaveRun is a call that was handed over and whose answer is lost, broke off, or
	// ended with a crash of the instance.
	MayHaveRun
)

// ReasonOf classifies a result code. Codes that it does not name are Final, and so are
// those of failures before the first attempt.
func ReasonOf(code result.Code) Reason {
	switch code {
	case result.CallNotRunDraining, result.CallNotRunStopping, result.CallNotRunUnknownHere,
		result.CallNotRunUnreachable, result.CallNotRunEvacuated, result.CallNotRunRegion:
		return NotReached
	case result.CallNotRunOverloaded, result.CallNotRunCold:
		return NoRoom
	case result.CallNotRunShed:
		return Shed
	case result.CallUnknownOutcome, result.CallTruncated, result.CallInstanceCrashed:
		return MayHaveRun
	default:
		return Final
	}
}

// Call is what the rule needs to know of a call. It is the same for all its attempts.
type Call struct {
	// Repeatable is true when running the call twice does no harm; the class of its route
	// says so.
	Repeatable bool
	// ChainRetries is the number of retries that the levels above made on the way to this
	// call; the caller states it with the request.
	ChainRetries uint32
	// MaxAttempts is the number of instances that may see the call; 0 stands for
	// DefaultMaxAttempts.
	MaxAttempts int
}

// Failure is an attempt without an answer for the caller.
type Failure struct {
	Reason Reason
	// CallOver is true when the call's deadline has passed, its caller hung up or the daemon
	// cut it.
	CallOver bool
	// BodySpent is true when a part of the request's body was read from the caller and not
	// kept, so that it cannot be sent again.
	BodySpent bool
	// InDelivery is true when the instance did answer and the answer broke off, and
	// AnswerBegun when a part of it may have reached the caller.
	InDelivery, AnswerBegun bool
	// Crashes is the number of instances known to have crashed under what the call asks
	// for, the newest included.
	Crashes int
}

// Counts are the failures of one call so far. The zero value stands before the first.
type Counts struct {
	// NotReached and NoRoom count the refusals with these reasons.
	NotReached, NoRoom int
	// Seen counts the attempts that an instance saw: those shed and those that may have run.
	Seen int
	// FailedDeliveries counts the answers that broke off before the caller got any of them.
	FailedDeliveries int
}

// Decision is what follows a failed attempt.
type Decision uint8

// Decisions on a failed attempt.
const (
	// GiveUp ends the call; EndingOf tells with what.
	GiveUp Decision = iota
	// AgainElsewhere makes another attempt. It adds no load, as no instance saw the last one.
	AgainElsewhere
	// AgainWithinBudget makes another attempt if Budget.Spend grants it, and else ends the
	// call as GiveUp does.
	AgainWithinBudget
)

// Decide returns what follows a failed attempt at a call, and the counts with that failure.
//
// The conditions, in this order: whether any attempt is still possible (time, body, answer begun),
// the bound of deliveries, then by reason whether a repeat is safe, then the bounds of load. The
// budget comes last, so that it is spent only on attempts that are made.
func Decide(call Call, counts Counts, failure Failure) (Counts, Decision) {
	if failure.CallOver || failure.BodySpent || failure.AnswerBegun {
		return counts, GiveUp
	}
	if failure.InDelivery {
		counts.FailedDeliveries++
		if counts.FailedDeliveries >= maxFailedDeliveries {
			return counts, GiveUp
		}
	}
	switch failure.Reason {
	case NotReached:
		counts.NotReached++
		return counts, decisionIf(counts.NotReached <= maxNotReached, AgainElsewhere)
	case NoRoom:
		counts.NoRoom++
		return counts, decisionIf(counts.NoRoom <= maxNoRoom, AgainElsewhere)
	case Shed:
		counts.Seen++
		return counts, decisionIf(call.mayAddLoad(counts), AgainWithinBudget)
	case MayHaveRun:
		counts.Seen++
		// A request that crashes instances must not be sent from one to the next.
		safe := call.Repeatable && quarantine.MayRepeat(failure.Crashes)
		return counts, decisionIf(safe && call.mayAddLoad(counts), AgainWithinBudget)
	default:
		return counts, GiveUp
	}
}

// mayAddLoad reports whether one more instance may see the call, as far as that does not
// depend on other calls.
func (c Call) mayAddLoad(counts Counts) bool {
	most := c.MaxAttempts
	if most <= 0 {
		most = DefaultMaxAttempts
	}
	return c.ChainRetries == 0 && counts.Seen < most
}

// decisionIf returns decision where it may be taken, else GiveUp.
func decisionIf(may bool, decision Decision) Decision {
	if may {
		return decision
	}
	return GiveUp
}
