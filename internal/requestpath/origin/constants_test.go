package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// The times of an origin hang together; each row says which must be below which, and why.
func TestRelationsOfTimes(t *testing.T) {
	// heartbeat is the interval of the users' instances (heartbeat-ms).
	const heartbeat = 1500 * time.Millisecond
	// longestSpread is the longest time in which the calls of an ended process broke.
	const longestSpread = 5300 * time.Microsecond
	// queueTime is the default of the setting calls.queue_time.
	const queueTime = 250 * time.Millisecond
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"one late heartbeat does not give the address away", 2 * heartbeat, presenceTimeout},
		{"an instance that gave its address away is not silent yet", presenceTimeout, heartbeatTimeout},
		{"a silent instance is dropped after it is taken as down", heartbeatTimeout, silentInstanceTTL},
		{"a heartbeat cannot bring an instance back that left", silentInstanceTTL, withdrawnTTL},
		{"silence is seen soon after it begins", checkInterval, heartbeatTimeout / 10},
		{"calls of one crash are seen to break together", longestSpread, maxCrashPolls * crashPollInterval},
		{"a broken call is not held up by polls for long", maxCrashPolls * crashPollInterval, crashProbeTimeout},
		{"a probe that a call waits for is the shorter one", crashProbeTimeout, backendDialTimeout},
		{"probes of an instance do not overlap", backendDialTimeout, minProbeInterval},
		{"calls given up before a crash still count when it is found", maxCrashPolls*crashPollInterval + crashProbeTimeout, recentCallWindow},
		{"a stated time less its margin is some time", keepAliveMargin, backendIdleTimeout},
		{"a lowered bound holds for longer than a connection is kept idle", backendIdleTimeout, idleBoundTTL},
		{"an attempt is remembered for as long as it may wait", admission.BackgroundFactor * queueTime, attemptTTL},
		{"a caller's key outlasts its attempts", attemptTTL, idempotencyKeyTTL},
		{"an instance that comes back after a cold crash is paced cautiously", heartbeatTimeout, cautiousPaceDuration},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// What the counts must be, as their comments say.
func TestRelationsOfCounts(t *testing.T) {
	assert.Assert(t, downAfterFailures > 1, "one lost connection takes an instance down")
	assert.Assert(t, probeAfterBrokenCalls > 1, "one broken call has an instance probed")
	assert.Assert(t, maxRecentCalls > DefaultSlots, "a crash forgets calls that it had")
	assert.Assert(t, unconfiguredColdRate > 0 && unconfiguredColdRate < 4.5, "an unknown instance gets more than a known one")
	assert.Assert(t, maxShortBodyBytes < 4<<20, "bodies are long that the caller's daemon takes as short")
}
