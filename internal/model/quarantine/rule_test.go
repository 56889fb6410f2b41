package quarantine

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestStateFollowsTheCrashes(t *testing.T) {
	wanted := []state{stateRefuted, stateSuspect, stateNoRetry, stateQuarantined, stateQuarantined}
	for crashes, state := range wanted {
		assert.Equal(t, stateOf(crashes), state)
		assert.Equal(t, MayRetry(crashes), crashes < 2)
	}
}

// A quarantined request may run as a trial one minute after the last crash, and once no trial is
// left when its suspect expires.
func TestNextRun(t *testing.T) {
	for name, row := range map[string]struct {
		age    time.Duration
		trials uint32
		wait   time.Duration
		due    bool
	}{
		"just crashed":            {0, 0, time.Minute, false},
		"a moment before a trial": {time.Minute - 1, 0, 1, false},
		"a trial is due":          {time.Minute, 0, 0, true},
		"a trial is overdue":      {30 * time.Minute, 0, 0, true},
		"after the trial":         {time.Minute, 1, 59 * time.Minute, false},
		"forgotten":               {2 * time.Hour, 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			wait, due := nextRun(row.age, row.trials)
			assert.Equal(t, wait, row.wait)
			assert.Equal(t, due, row.due)
		})
	}
}

// Of the requests in flight in a crash, only those with the highest number of earlier crashes are
// suspected, once that number is 2.
func TestSuspectedOfACrash(t *testing.T) {
	for name, row := range map[string]struct {
		crashes, maxCount int
		suspected         bool
	}{
		"no earlier crash":              {0, 0, true},
		"another has 1 crash":           {0, 1, true},
		"another has 2 crashes":         {1, 2, false},
		"this one has 2 crashes":        {2, 2, true},
		"another has more crashes":      {2, 3, false},
		"this one has the most crashes": {5, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, isSuspected(row.crashes, row.maxCount), row.suspected)
		})
	}
}

// The constants of the rule depend on each other; each assertion fails if one of them is moved past
// the other.
func TestConstantsHangTogether(t *testing.T) {
	// A request is retried once before retries stop, and retries stop before the quarantine.
	assert.Assert(t, 1 < noRetryThreshold && noRetryThreshold < quarantineThreshold)
	// A quarantined request may run as a trial before its entry expires (trialDelay < suspectTTL).
	// An entry whose crashes are all refuted expires before one with crashes that count
	// (refutedTTL < suspectTTL).
	assert.Assert(t, trialDelay < suspectTTL && refutedTTL < suspectTTL)
	// A record holds more crashes than a quarantine takes, and one response can refute all of them.
	assert.Assert(t, quarantineThreshold < maxCrashes && maxCrashes < maxRefuted)
	assert.Assert(t, maxInitialRecords < maxEntries)
}

// The refusal of a quarantined request must carry the time until a trial and the number of crashes;
// any other verdict refuses nothing.
func TestQuarantinedNamesTheTimeOfATrial(t *testing.T) {
	assert.NilError(t, Verdict{}.Err())
	err := Verdict{Quarantined: true, Crashes: 3, RetryAfter: 42 * time.Second}.Err()
	var refusal *result.Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, result.CallNotRunQuarantined)
	assert.Equal(t, refusal.RetryAfter, 42*time.Second)
	assert.Equal(t, refusal.Crashes, 3)
}
