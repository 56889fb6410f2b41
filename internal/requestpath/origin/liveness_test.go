package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Broken connections, however many, do not mark an instance as down that accepts new ones; one
// probe decides that. An instance that then refuses a connection is down.
func TestReachability(t *testing.T) {
	const broke, answered, refused, timedOut, later = 'b', 'a', 'r', 's', 'l'
	for name, row := range map[string]struct {
		events string
		probes int
		cause  downCause
	}{
		"one broken call":                    {"b", 0, ""},
		"broken calls, responses between":    {"bbabbabba", 0, ""},
		"broken calls far apart":             {"bblbblbb", 0, ""},
		"many broken calls at once":          {"bbbbbbbb", 1, ""},
		"many broken calls over time":        {"bbblbbblbbb", 3, ""},
		"many broken calls, one refusal":     {"bbbr", 1, downCallsBroken},
		"one broken call, one refusal":       {"br", 0, downCallsBroken},
		"one broken call, one later refusal": {"blr", 0, ""},
		"one broken call, one timeout":       {"bs", 0, ""},
		"several timeouts":                   {"sss", 0, downUnreachable},
		"several refusals":                   {"rrr", 0, downUnreachable},
		"refusals, responses between":        {"rrarra", 0, ""},
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
				case refused, timedOut:
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

// Each result of a call gives one kind of evidence about the instance that was called.
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

// An instance crashed if all its calls broke off and its port refuses connections; the port is
// probed only after all calls broke off.
func TestNextCrashCheck(t *testing.T) {
	for name, row := range map[string]struct {
		seen crashEvidence
		want crashCheck
	}{
		"no evidence":                         {crashEvidence{}, crashPoll},
		"calls in flight":                     {crashEvidence{polls: 1, inFlight: 2}, crashPoll},
		"calls in flight at the last poll":    {crashEvidence{polls: maxCrashPolls, inFlight: 1}, crashExcluded},
		"all calls broke off":                 {crashEvidence{polls: 1}, crashProbe},
		"all broke off at the last poll":      {crashEvidence{polls: maxCrashPolls}, crashProbe},
		"another call found the crash":        {crashEvidence{polls: 1, inFlight: 2, crashReported: true}, crashProbe},
		"another process has the address":     {crashEvidence{polls: 1, inFlight: 2, takenOver: true}, crashProbe},
		"the port refuses":                    {crashEvidence{polls: 1, probed: true, refused: true}, crashConfirmed},
		"the port accepts":                    {crashEvidence{polls: 1, probed: true}, crashExcluded},
		"found by another call, port accepts": {crashEvidence{polls: 1, crashReported: true, probed: true}, crashExcluded},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, nextCrashCheck(row.seen), row.want) })
	}
}

// A call that ended without a response counts as in flight for recentCallWindow, including its end.
func TestWasInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Assert(t, wasInFlight(now, now))
	assert.Assert(t, wasInFlight(now.Add(-recentCallWindow), now))
	assert.Assert(t, !wasInFlight(now.Add(-recentCallWindow-1), now))
}

// An instance is present, then silent, then expired, by the age of its latest heartbeat.
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
