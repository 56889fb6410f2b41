package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Connections that break do not take an instance down that accepts new ones, however
// many; that is found out by one probe. One that refuses a connection then is down.
func TestReachability(t *testing.T) {
	const broke, answered, refused, silent, later = 'b', 'a', 'r', 's', 'l'
	for name, row := range map[string]struct {
		events string
		probes int
		cause  downCause
	}{
		"one breaks":                        {"b", 0, ""},
		"some break, with answers between":  {"bbabbabba", 0, ""},
		"some break, far apart":             {"bblbblbb", 0, ""},
		"many break at once":                {"bbbbbbbb", 1, ""},
		"many break for long":               {"bbblbbblbbb", 3, ""},
		"many break, and one is refused":    {"bbbr", 1, downCallsBroken},
		"one breaks, and one is refused":    {"br", 0, downCallsBroken},
		"one breaks, one is refused later":  {"blr", 0, ""},
		"one breaks, and one is lost":       {"bs", 0, ""},
		"several are lost":                  {"sss", 0, downUnreachable},
		"several are refused":               {"rrr", 0, downUnreachable},
		"some are refused, answers between": {"rrarra", 0, ""},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			known, probes, cause := reachability{}, 0, downCause("")
			for _, event := range row.events {
				switch event {
				case broke:
					if known.recordBrokenCall(now) {
						probes++
					}
				case answered:
					known.recordAnswer()
				case refused, silent:
					if found, down := known.recordFailedConnection(event == refused, now); down {
						cause = found
					}
				case later:
					now = now.Add(2 * brokenCallWindow)
				}
			}
			assert.Equal(t, probes, row.probes)
			assert.Equal(t, cause, row.cause)
		})
	}
}

// Each end of a call says one thing of its instance.
func TestEvidenceOf(t *testing.T) {
	for code, want := range map[result.Code]evidence{
		result.CallNotRunUnreachable: evidenceNoConnection,
		result.CallUnknownOutcome:    evidenceCallBroken,
		result.CallTruncated:         evidenceCallBroken,
		result.CallDeadline:          evidenceNone,
		result.CallCancelled:         evidenceNone,
		result.CallInstanceCrashed:   evidenceNone,
		result.CallNotRunShed:        evidenceNone,
		result.CallNotRunOverloaded:  evidenceNone,
		result.CallNotRunExpired:     evidenceNone,
	} {
		assert.Equal(t, evidenceOf(result.Errorf(code, "ended")), want, "%s", code)
	}
	assert.Equal(t, evidenceOf(nil), evidenceAnswer)
}

// An instance crashed when all its calls broke off and its port refuses; whether it refuses is
// found out only once all calls broke off.
func TestNextCrashCheck(t *testing.T) {
	for name, row := range map[string]struct {
		seen crashEvidence
		want crashCheck
	}{
		"nothing is known":                 {crashEvidence{}, crashPoll},
		"calls go on":                      {crashEvidence{polls: 1, inFlight: 2}, crashPoll},
		"calls go on at the last poll":     {crashEvidence{polls: maxCrashPolls, inFlight: 1}, crashExcluded},
		"all calls broke off":              {crashEvidence{polls: 1}, crashProbe},
		"all broke off at the last poll":   {crashEvidence{polls: maxCrashPolls}, crashProbe},
		"another call found it":            {crashEvidence{polls: 1, inFlight: 2, crashReported: true}, crashProbe},
		"the port refuses":                 {crashEvidence{polls: 1, probed: true, refused: true}, crashConfirmed},
		"the port accepts":                 {crashEvidence{polls: 1, probed: true}, crashExcluded},
		"found by another, it accepts now": {crashEvidence{polls: 1, crashReported: true, probed: true}, crashExcluded},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, nextCrashCheck(row.seen), row.want) })
	}
}

// A call that ended without an answer lately counts as in flight, up to the bound.
func TestWasInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, wasInFlight(now, now))
	assert.Assert(t, wasInFlight(now.Add(-recentCallWindow), now))
	assert.Assert(t, !wasInFlight(now.Add(-recentCallWindow-1), now))
}

// An instance is present, then silent, then forgotten, by the age of its newest heartbeat.
func TestHeartbeatAges(t *testing.T) {
	for age, want := range map[time.Duration][3]bool{
		0:                     {true, false, false},
		presenceTimeout - 1:   {true, false, false},
		presenceTimeout:       {false, false, false},
		heartbeatTimeout:      {false, false, false},
		heartbeatTimeout + 1:  {false, true, false},
		silentInstanceTTL:     {false, true, false},
		silentInstanceTTL + 1: {false, true, true},
	} {
		assert.Equal(t, [3]bool{isPresent(age), isSilent(age), isExpired(age)}, want, "%s", age)
	}
}
