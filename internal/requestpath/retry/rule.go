package retry

import (
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Limits of the attempts at one call, as numbers of attempts.
const (
	// DefaultMaxAttempts is the number of instances that may see one call if its route sets none.
	// It is at least 2, or there would be no retries.
	DefaultMaxAttempts = 3
	// maxNotReached is the maximum number of further attempts after NotReached. It is larger than
	// maxNoCapacity, because such an attempt costs a round trip and no work of an instance.
	maxNotReached = 5
	// maxNoCapacity is the maximum number of further attempts after NoCapacity. It is small,
	// because other instances are usually full at the same time and each attempt may wait in a
	// queue.
	maxNoCapacity = 2
	// maxFailedDeliveries is the maximum number of answers of a call that may be interrupted before
	// the caller received any part of them.
	maxFailedDeliveries = DefaultMaxAttempts
)

// Reason classifies why an attempt brought no answer. The package comment lists the next step for
// each reason.
type Reason uint8

// Reasons of failed attempts.
const (
	// Final is a failure that another attempt would not fix, or whose outcome is unclear, such as a
	// passed deadline.
	Final Reason = iota
	// NotReached is a refusal that is not caused by load, or by the rate limit that one instance states:
	// neither shows that other instances are full. No instance saw the call.
	NotReached
	// NoCapacity is a refusal by the daemon of the instance, because of load or because the
	// instance is in slow start. No instance saw the call.
	NoCapacity
	// Shed is a refusal by the instance itself before it ran the call.
	Shed
	// MayHaveRun is a call that was handed to an instance and whose answer is lost or incomplete.
	MayHaveRun
)

// ReasonOf returns the reason for a result code. Codes that are not listed are Final.
func ReasonOf(code result.Code) Reason {
	switch code {
	case result.CallNotRunDraining, result.CallNotRunStopping, result.CallNotRunUnknownHere,
		result.CallNotRunUnreachable, result.CallNotRunEvacuated, result.CallNotRunRegion, result.CallNotRunLimited:
		return NotReached
	case result.CallNotRunOverloaded, result.CallNotRunCold:
		return NoCapacity
	case result.CallNotRunShed:
		return Shed
	case result.CallUnknownOutcome, result.CallTruncated, result.CallInstanceCrashed:
		return MayHaveRun
	default:
		return Final
	}
}

// Call holds the properties of a call that the rule depends on. They are the same for all attempts.
type Call struct {
	// Repeatable is true if the class of the route allows running the call twice.
	Repeatable bool
	// ChainRetries is the number of retries by callers further up the chain, as reported by the
	// caller.
	ChainRetries uint32
	// MaxAttempts is the number of instances that may see the call; 0 means DefaultMaxAttempts.
	MaxAttempts int
}

// Failure is an attempt without an answer for the caller.
type Failure struct {
	Reason Reason
	// CallDone is true once the deadline of the call has passed, its caller has disconnected, or a
	// draining gateway has cancelled the calls in flight.
	CallDone bool
	// BodyConsumed is true if a part of the request body was read and not kept, so that it cannot be
	// sent again.
	BodyConsumed bool
	// ResponseInterrupted is true if the instance answered but the answer was interrupted.
	// AnswerBegun is true if a part of it may have reached the caller.
	ResponseInterrupted, AnswerBegun bool
	// Crashes is the number of instances that are known to have crashed under the keys of the call.
	Crashes int
}

// Counts holds the number of failures of one call so far. The zero value is the state before the
// first failure.
type Counts struct {
	// NotReached and NoCapacity count the failures by reason.
	NotReached, NoCapacity int
	// Seen counts the failed attempts that an instance saw, those with reason Shed or MayHaveRun.
	Seen int
	// FailedDeliveries counts the answers that were interrupted before the caller received any part
	// of them.
	FailedDeliveries int
}

// Decision is the next step after a failed attempt.
type Decision uint8

// Next steps after a failed attempt.
const (
	// GiveUp ends the call with the result that EndingOf returns.
	GiveUp Decision = iota
	// RetryElsewhere makes another attempt at another instance. It adds no load, because no
	// instance saw the last attempt.
	RetryElsewhere
	// RetryWithinBudget makes another attempt if Budget.Spend grants it, and otherwise ends the
	// call like GiveUp.
	RetryWithinBudget
)

// Decide returns the next step after a failed attempt at a call, and the counts including that
// failure.
//
// It checks in this order: whether another attempt is still possible (time, body, answer begun),
// the limit of failed deliveries, whether a repeat is safe for the reason, and the limits on load.
// The budget comes last, so that it is spent only on attempts that are made.
func Decide(call Call, counts Counts, failure Failure) (Counts, Decision) {
	if failure.CallDone || failure.BodyConsumed || failure.AnswerBegun {
		return counts, GiveUp
	}
	if failure.ResponseInterrupted {
		counts.FailedDeliveries++
		if counts.FailedDeliveries >= maxFailedDeliveries {
			return counts, GiveUp
		}
	}
	switch failure.Reason {
	case NotReached:
		counts.NotReached++
		return counts, decisionIf(counts.NotReached <= maxNotReached, RetryElsewhere)
	case NoCapacity:
		counts.NoCapacity++
		return counts, decisionIf(counts.NoCapacity <= maxNoCapacity, RetryElsewhere)
	case Shed:
		counts.Seen++
		return counts, decisionIf(call.mayReachAnotherInstance(counts), RetryWithinBudget)
	case MayHaveRun:
		counts.Seen++
		// A request that crashes instances must not be sent from one to the next.
		safe := call.Repeatable && quarantine.MayRetry(failure.Crashes)
		return counts, decisionIf(safe && call.mayReachAnotherInstance(counts), RetryWithinBudget)
	default:
		return counts, GiveUp
	}
}

// mayReachAnotherInstance reports whether one more instance may see the call, before the budget is
// consulted.
func (c Call) mayReachAnotherInstance(counts Counts) bool {
	maxAttempts := c.MaxAttempts
	if maxAttempts <= 0 {
		maxAttempts = DefaultMaxAttempts
	}
	return c.ChainRetries == 0 && counts.Seen < maxAttempts
}

// decisionIf returns decision if it is allowed, otherwise GiveUp.
func decisionIf(allowed bool, decision Decision) Decision {
	if allowed {
		return decision
	}
	return GiveUp
}
