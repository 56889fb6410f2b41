package quarantine

import (
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func TestStateFollowsTheCrashes(t *testing.T) {
	wanted := []state{stateRefuted, stateSuspect, stateNotRepeated, stateQuarantined, stateQuarantined}
	for crashes, state := range wanted {
		assert.Equal(t, stateOf(crashes), state)
		assert.Equal(t, MayRepeat(crashes), crashes < 2)
	}
}

// A quarantined request may run as a trial a minute after the last crash, and without a trial
// left once its suspect is forgotten.
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

// Of requests that were in flight together, only those with the most earlier crashes are
// suspected once there are two of those.
func TestSuspectedOfACrash(t *testing.T) {
	for name, row := range map[string]struct {
		crashes, most int
		suspected     bool
	}{
		"nobody has crashed before":        {0, 0, true},
		"another has crashed once":         {0, 1, true},
		"another has crashed twice":        {1, 2, false},
		"this one has crashed twice":       {2, 2, true},
		"another has crashed more often":   {2, 3, false},
		"this one has crashed most of all": {5, 5, true},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, isSuspected(row.crashes, row.most), row.suspected)
		})
	}
}

// The constants of the rule hang together; each line fails when one of its two sides is moved
// past the other.
func TestConstantsHangTogether(t *testing.T) {
	// One repeat comes before the quarantine, and a request is not quarantined unrepeated.
	assert.Assert(t, 1 < notRepeatedAt && notRepeatedAt < quarantineAt)
	// A trial comes before the suspect is forgotten, and refuted crashes are forgotten first.
	assert.Assert(t, trialAfter < memory && refutedMemory < memory)
	// A record holds the crashes that decide, and an answer refutes all of them.
	assert.Assert(t, quarantineAt < maxCrashes && maxCrashes < maxRefuted)
	assert.Assert(t, maxKnown < maxEntries)
}

// The refusal of a quarantined request tells when a trial of it may run, and how many instances
// crashed; any other verdict refuses nothing.
func TestQuarantinedNamesTheTimeOfATrial(t *testing.T) {
	assert.NilError(t, Verdict{}.Refusal())
	err := Verdict{Quarantined: true, Crashes: 3, RetryAfter: 42 * time.Second}.Refusal()
	var refusal *result.Error
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.Code, result.CallNotRunQuarantined)
	assert.Equal(t, refusal.RetryAfter, 42*time.Second)
	assert.Equal(t, refusal.Crashes, 3)
}
