package retry

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Checks that every result code has a reason and that the reason matches what the code proves: a
// code that is retried regardless of repeatability proves that the call did not run.
func TestEveryResultHasItsReason(t *testing.T) {
	named := map[result.Code]Reason{
		result.CallNotRunDraining:    NotReached,
		result.CallNotRunStopping:    NotReached,
		result.CallNotRunUnknownHere: NotReached,
		result.CallNotRunUnreachable: NotReached,
		result.CallNotRunEvacuated:   NotReached,
		result.CallNotRunRegion:      NotReached,
		result.CallNotRunLimited:     NotReached,
		result.CallNotRunOverloaded:  NoCapacity,
		result.CallNotRunCold:        NoCapacity,
		result.CallNotRunShed:        Shed,
		result.CallUnknownOutcome:    MayHaveRun,
		result.CallTruncated:         MayHaveRun,
		result.CallInstanceCrashed:   MayHaveRun,
	}
	for _, entry := range result.Table() {
		reason := ReasonOf(entry.Code)
		assert.Equal(t, reason, named[entry.Code], entry.Name)
		if reason == NotReached || reason == NoCapacity || reason == Shed {
			assert.Assert(t, entry.Code.NotRun(), entry.Name)
		}
		if reason == MayHaveRun {
			assert.Assert(t, !entry.Code.NotRun(), entry.Name)
		}
	}
}

// Checks the table of the rule: which failure leads to which next step.
func TestNextStepByReason(t *testing.T) {
	order, read := Call{MaxAttempts: 3}, Call{MaxAttempts: 3, Repeatable: true}
	retried := Call{MaxAttempts: 3, Repeatable: true, ChainRetries: 1}
	for name, row := range map[string]struct {
		call    Call
		counts  Counts
		failure Failure
		want    Decision
	}{
		"not reached":                              {order, Counts{}, Failure{Reason: NotReached}, RetryElsewhere},
		"not reached, the last that is allowed":    {order, Counts{NotReached: maxNotReached - 1}, Failure{Reason: NotReached}, RetryElsewhere},
		"not reached too often":                    {order, Counts{NotReached: maxNotReached}, Failure{Reason: NotReached}, GiveUp},
		"not reached, itself a retry":              {retried, Counts{}, Failure{Reason: NotReached}, RetryElsewhere},
		"no room":                                  {order, Counts{}, Failure{Reason: NoCapacity}, RetryElsewhere},
		"no room too often":                        {order, Counts{NoCapacity: maxNoCapacity}, Failure{Reason: NoCapacity}, GiveUp},
		"no room, itself a retry":                  {retried, Counts{}, Failure{Reason: NoCapacity}, RetryElsewhere},
		"shed":                                     {order, Counts{}, Failure{Reason: Shed}, RetryWithinBudget},
		"shed by all that may see it":              {order, Counts{Seen: 2}, Failure{Reason: Shed}, GiveUp},
		"shed, itself a retry":                     {retried, Counts{}, Failure{Reason: Shed}, GiveUp},
		"may have run":                             {read, Counts{}, Failure{Reason: MayHaveRun}, RetryWithinBudget},
		"may have run, at all that may see it":     {read, Counts{Seen: 2}, Failure{Reason: MayHaveRun}, GiveUp},
		"may have run, may not be repeated":        {order, Counts{}, Failure{Reason: MayHaveRun}, GiveUp},
		"may have run, itself a retry":             {retried, Counts{}, Failure{Reason: MayHaveRun}, GiveUp},
		"one instance crashed":                     {read, Counts{}, Failure{Reason: MayHaveRun, Crashes: 1}, RetryWithinBudget},
		"two instances crashed":                    {read, Counts{}, Failure{Reason: MayHaveRun, Crashes: 2}, GiveUp},
		"final":                                    {read, Counts{}, Failure{Reason: Final}, GiveUp},
		"the call is over":                         {read, Counts{}, Failure{Reason: NotReached, CallDone: true}, GiveUp},
		"the body is spent":                        {read, Counts{}, Failure{Reason: NotReached, BodyConsumed: true}, GiveUp},
		"an answer broke off":                      {read, Counts{}, Failure{Reason: MayHaveRun, ResponseInterrupted: true}, RetryWithinBudget},
		"answers broke off too often":              {read, Counts{FailedDeliveries: maxFailedDeliveries - 1}, Failure{Reason: MayHaveRun, ResponseInterrupted: true}, GiveUp},
		"an answer broke off that the caller sees": {read, Counts{}, Failure{Reason: MayHaveRun, ResponseInterrupted: true, AnswerBegun: true}, GiveUp},
		"no bound stated":                          {Call{Repeatable: true}, Counts{Seen: DefaultMaxAttempts - 2}, Failure{Reason: MayHaveRun}, RetryWithinBudget},
		"no bound stated, default reached":         {Call{Repeatable: true}, Counts{Seen: DefaultMaxAttempts - 1}, Failure{Reason: MayHaveRun}, GiveUp},
	} {
		t.Run(name, func(t *testing.T) {
			_, decision := Decide(row.call, row.counts, row.failure)
			assert.Equal(t, decision, row.want)
		})
	}
}

// Checks that a call that is not repeatable is never retried after an instance may have run it, and
// that the number of attempts is bounded.
func TestAttemptsAreSafeAndBounded(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		call := Call{
			Repeatable: rapid.Bool().Draw(random, "repeatable"), MaxAttempts: rapid.IntRange(0, 5).Draw(random, "attempts"),
			ChainRetries: uint32(rapid.IntRange(0, 1).Draw(random, "chain")),
		}
		maxAttempts := maxNotReached + maxNoCapacity + max(call.MaxAttempts, DefaultMaxAttempts)
		counts, attempts := Counts{}, 1
		for {
			failure := Failure{
				Reason:              Reason(rapid.IntRange(int(Final), int(MayHaveRun)).Draw(random, "reason")),
				ResponseInterrupted: rapid.Bool().Draw(random, "in delivery"), Crashes: rapid.IntRange(0, 3).Draw(random, "crashes"),
			}
			var decision Decision
			counts, decision = Decide(call, counts, failure)
			if decision == GiveUp {
				return
			}
			assert.Assert(t, call.Repeatable || failure.Reason != MayHaveRun)
			attempts++
			assert.Assert(t, attempts <= maxAttempts, "%d attempts", attempts)
		}
	})
}

// Checks that NotReached allows more attempts than NoCapacity: a refusal by a daemon is cheap and
// usually local, while a refusal for load is likely to occur again.
func TestMoreAttemptsAreAllowedWithoutLoad(t *testing.T) {
	assert.Assert(t, maxNotReached > maxNoCapacity)
	assert.Assert(t, DefaultMaxAttempts >= 2)
	assert.Assert(t, maxFailedDeliveries <= DefaultMaxAttempts)
}
