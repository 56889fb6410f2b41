package quarantine

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Inputs of the rule: the number of crashes under a request that were not refuted, the time since
// the newest one, and the trials so far.
const (
	// quarantineAt is the number of crashes from which a request is quarantined. Set by the
	// requirement, which bounds further crashes from the third on (docs/design/0022); fewer would
	// quarantine more of those that only ran beside a guilty one.
	quarantineAt = 3
	// notRepeatedAt is the number of crashes from which a daemon does not retry a request at
	// another instance. It is below quarantineAt, and above 1, since one repeat saves those that
	// only ran beside a guilty one, five of six with six slots.
	notRepeatedAt = 2
	// memory is how long after its last crash a suspect is remembered. It is far above trialAfter.
	memory = time.Hour
	// trialAfter is the time after the last crash from which one quarantined request may run as a
	// trial. It is longer than a report of a crash takes to all daemons.
	trialAfter = time.Minute
	// maxTrials bounds the trials of a suspect, since each may cost an instance. Set by the
	// requirement of at most three further crashes: with one visit of each of two further
	// calling services, which are not quarantined before their first crash, one is left.
	maxTrials = 1
)

// state is what is decided on a suspect. It follows from the number of its crashes alone, and
// a record of another daemon or an answer may bring it from any state to any other; so it is
// computed and not kept as a machine with transitions.
type state int

// States, in the order of the crashes that they take.
const (
	// stateRefuted is without a crash that counts.
	stateRefuted state = iota
	// stateSuspect may be retried at another instance.
	stateSuspect
	// stateNotRepeated is not retried; the next request under its key is served.
	stateNotRepeated
	// stateQuarantined reaches no instance, but for a trial.
	stateQuarantined
)

// stateOf returns the state after so many crashes.
func stateOf(crashes int) state {
	switch {
	case crashes >= quarantineAt:
		return stateQuarantined
	case crashes >= notRepeatedAt:
		return stateNotRepeated
	case crashes > 0:
		return stateSuspect
	default:
		return stateRefuted
	}
}

// MayRepeat reports whether a daemon may retry a request at another instance after that many
// crashes under its keys.
func MayRepeat(crashes int) bool { return stateOf(crashes) < stateNotRepeated }

// Verdict is what is decided on a request.
type Verdict struct {
	// Quarantined is true when it must not reach an instance.
	Quarantined bool
	// Key is the key that is quarantined, Crashes the number of instances that crashed under it.
	Key     fingerprint.Key
	Crashes int
	// RetryAfter is the time until such a request may run again.
	RetryAfter time.Duration
	// TrialDue is true when one may run as a trial, if the store grants it. Trials is the
	// number of earlier ones.
	TrialDue bool
	Trials   uint32
}

// Refusal returns the error for a request that is quarantined, with the time until a trial of it
// may run; nil for any other. Errors: CallNotRunQuarantined.
func (v Verdict) Refusal() error {
	if !v.Quarantined {
		return nil
	}
	refusal := result.Errorf(result.CallNotRunQuarantined, "%d instances ended under what %s names", v.Crashes, v.Key)
	refusal.RetryAfter = v.RetryAfter
	refusal.Crashes = v.Crashes
	return refusal
}

// nextRun returns the time until a quarantined request may run again: as a trial while there are
// trials left, else once the suspect is forgotten. age is the time since its newest crash;
// trialDue is true where a trial may be claimed now.
func nextRun(age time.Duration, trials uint32) (wait time.Duration, trialDue bool) {
	if trials < maxTrials {
		return max(trialAfter-age, 0), age >= trialAfter
	}
	return max(memory-age, 0), false
}

// isSuspected reports whether a request that was in flight in a crash becomes a suspect for
// it: crashes is the number of earlier ones under its keys, and most the greatest such number
// of all that were in flight. Where some are known to have crashed several instances, only those
// with the most are suspected: the others ran beside them.
func isSuspected(crashes, most int) bool { return MayRepeat(most) || crashes >= most }
