package quarantine

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Parameters of the quarantine rule. Its inputs are the number of crashes that are not refuted, the
// time since the newest one, and the number of trials.
const (
	// quarantineThreshold is the number of crashes from which a request is quarantined. The
	// requirement limits the crashes from the third on (docs/design/0022); a lower value
	// quarantines more requests that were merely in flight together with a poison request.
	quarantineThreshold = 3
	// noRetryThreshold is the number of crashes from which a daemon does not retry a request on
	// another instance. It is below quarantineThreshold. It is above 1, because one retry lets
	// requests succeed that were merely in flight together with a poison request: five of six at
	// six slots.
	noRetryThreshold = 2
	// suspectTTL is the retention of a suspect after its last crash. It is far above trialDelay.
	suspectTTL = time.Hour
	// trialDelay is the time after the last crash from which one quarantined request may run as a
	// trial. It is longer than the report of a crash takes to reach all daemons.
	trialDelay = time.Minute
	// maxTrials limits the trials of a suspect, because each may crash an instance. The requirement
	// allows three further crashes. Two further calling services may cause one each, because they
	// are not quarantined before their own first crash; that leaves one.
	maxTrials = 1
)

// state is the treatment of a suspect. It is computed from the number of crashes and not kept as a
// state machine, because a merged record or a response can change it from any state to any other.
type state int

// States, in ascending order of crashes.
const (
	// stateRefuted has no crash that counts.
	stateRefuted state = iota
	// stateSuspect may be retried on another instance.
	stateSuspect
	// stateNoRetry is not retried; later requests with the key are still served.
	stateNoRetry
	// stateQuarantined is refused, except for a trial.
	stateQuarantined
)

// stateOf returns the state for a number of crashes.
func stateOf(crashes int) state {
	switch {
	case crashes >= quarantineThreshold:
		return stateQuarantined
	case crashes >= noRetryThreshold:
		return stateNoRetry
	case crashes > 0:
		return stateSuspect
	default:
		return stateRefuted
	}
}

// MayRetry reports whether a daemon may retry a request on another instance, given the number of
// crashes under its keys.
func MayRetry(crashes int) bool { return stateOf(crashes) < stateNoRetry }

// Verdict is the decision on one request.
type Verdict struct {
	// Quarantined is true if the request must not be sent to an instance.
	Quarantined bool
	// Key is the quarantined key, and Crashes the number of crashes under it.
	Key     fingerprint.Key
	Crashes int
	// RetryAfter is the time until a request with the key may run again.
	RetryAfter time.Duration
	// TrialDue is true if the request may run as a trial, provided that the Store grants it. Trials
	// is the number of earlier trials.
	TrialDue bool
	Trials   uint32
}

// Err returns the error for a quarantined request, with the time until a trial may run, and nil
// for any other request. Errors: CallNotRunQuarantined.
func (v Verdict) Err() error {
	if !v.Quarantined {
		return nil
	}
	refusal := result.Errorf(result.CallNotRunQuarantined, "%d instances crashed while running requests with key %s", v.Crashes, v.Key)
	refusal.RetryAfter = v.RetryAfter
	refusal.Crashes = v.Crashes
	return refusal
}

// nextRun returns the time until a quarantined request may run again: as a trial while trials are
// left, otherwise once the suspect expires. age is the time since its newest crash; trialDue is
// true if a trial may be claimed now.
func nextRun(age time.Duration, trials uint32) (wait time.Duration, trialDue bool) {
	if trials < maxTrials {
		return max(trialDelay-age, 0), age >= trialDelay
	}
	return max(suspectTTL-age, 0), false
}

// isSuspected reports whether a request in flight in a crash is recorded as a suspect of it.
// crashes is the number of earlier crashes under its keys, and maxCount the highest such number of
// all requests in flight. If some of them were in flight in several crashes, only those with the
// highest number are suspected; the others were merely in flight together with them.
func isSuspected(crashes, maxCount int) bool { return MayRetry(maxCount) || crashes >= maxCount }
