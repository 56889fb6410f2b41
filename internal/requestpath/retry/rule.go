package retry

import (
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of the attempts at one call. All are numbers of attempts.
const (
	// DefaultMaxAttempts is the number of instances that may see one call where its route states
	// none. It is at least 2, or nothing is ever retried.
	DefaultMaxAttempts = 3
	// maxNotReached is the number of further attempts for NotReached. It is larger than maxNoRoom,
	// since such an attempt costs a round trip and no work of an instance.
	maxNotReached = 5
	// maxNoRoom is the number of further attempts for NoRoom. Small, since other instances are
	// mostly full at the same time, and each attempt may wait in a queue.
	maxNoRoom = 2
	// maxFailedDeliveries is the number of a call's answers that may break off before the caller
	// got any of them.
	maxFailedDeliveries = DefaultMaxAttempts
)

// Reason is why an attempt brought no answer. The package comment has the next step for each.
type Reason uint8

// Reasons of failed attempts.
const (
	// Final is a failure that another attempt would not mend, or that does not show what
	// happened, such as a deadline that passed.
	Final Reason = iota
	// NotReached is a refusal that no instance saw and that is not about load.
	NotReached
	// NoRoom is a refusal for load, or for an instance in slow start, by the daemon beside the
	// instance. No instance saw the call.
	NoRoom
	// Shed is a refusal by the instance itself before it ran the call.
	Shed
	// MayHaveRun is a call that was handed over and whose answer is lost or not whole.
	MayHaveRun
)

// ReasonOf classifies a result code; codes that it does not name are Final.
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

// Call is what the rule needs to know of a call, the same for all its attempts.
type Call struct {
	// Repeatable is true when the class of its route says that running it twice does no harm.
	Repeatable bool
	// ChainRetries is the number of retries by the levels above, as the caller states it.
	ChainRetries uint32
	// MaxAttempts is how many instances may see the call; 0 stands for DefaultMaxAttempts.
	MaxAttempts int
}

// Failure is an attempt without an answer for the caller.
type Failure struct {
	Reason Reason
	// CallOver is true after the call's deadline, a disconnect of its caller or a cut.
	CallOver bool
	// BodySpent is true when a part of the request's body is read and not kept.
	BodySpent bool
	// InDelivery is true when the instance did answer and the answer broke off, and
	// AnswerBegun when a part of it may have reached the caller.
	InDelivery, AnswerBegun bool
	// Crashes is how many instances are known to have crashed under the call's keys.
	Crashes int
}

// Counts are the failures of one call so far. The zero value stands before the first.
type Counts struct {
	// NotReached and NoRoom count failures by reason.
	NotReached, NoRoom int
	// Seen counts the attempts that an instance saw: Shed and MayHaveRun.
	Seen int
	// FailedDeliveries counts the answers that broke off before the caller got any of them.
	FailedDeliveries int
}

// Decision is what follows a failed attempt.
type Decision uint8

// Decisions on a failed attempt.
const (
	// GiveUp ends the call with what EndingOf says.
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

// mayAddLoad reports whether one more instance may see the call, before the budget is asked.
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
