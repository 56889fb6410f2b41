package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
)

// The durations must keep these relations; each row states which one must be below which, and why.
func TestRelationsOfTimes(t *testing.T) {
	// heartbeat is the heartbeat interval of the users' instances (heartbeat-ms).
	const heartbeat = 1500 * time.Millisecond
	// longestSpread is the longest measured time between the failures of the calls of one ended
	// process.
	const longestSpread = 5300 * time.Microsecond
	// queueTime is the default of the setting calls.queue_time.
	const queueTime = 250 * time.Millisecond
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"one late heartbeat does not free the address", 2 * heartbeat, presenceTimeout},
		{"an instance loses its address before it counts as silent", presenceTimeout, heartbeatTimeout},
		{"a silent instance is dropped after it is marked as down", heartbeatTimeout, silentInstanceTTL},
		{"a delayed heartbeat cannot bring back an instance that left", silentInstanceTTL, departure.TTL},
		{"an instance gets its answer within the second for which it waits", departure.StoreTimeout, time.Second},
		{"silence is detected soon after it begins", checkInterval, heartbeatTimeout / 10},
		{"the polls cover the failures of all calls of one crash", longestSpread, maxCrashPolls * crashPollInterval},
		{"polls delay a broken call for a short time only", maxCrashPolls * crashPollInterval, crashProbeTimeout},
		{"a probe that a call waits for is shorter than a dial", crashProbeTimeout, backendDialTimeout},
		{"probes of an instance do not overlap", backendDialTimeout, minProbeInterval},
		{"calls given up before a crash still count when it is detected", maxCrashPolls*crashPollInterval + crashProbeTimeout, recentCallWindow},
		{"a usual keep-alive time is above its margin", keepAliveMargin, backendIdleTimeout},
		{"a lowered bound applies for longer than a connection is kept idle", backendIdleTimeout, idleBoundTTL},
		{"an attempt is remembered for as long as it may wait", admission.BackgroundFactor * queueTime, attemptTTL},
		{"a caller's key outlasts its attempts", attemptTTL, idempotencyKeyTTL},
		{"an instance that restarts after a cold crash is paced cautiously", heartbeatTimeout, cautiousPaceDuration},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// The counts must keep the relations that their comments state.
func TestRelationsOfCounts(t *testing.T) {
	assert.Assert(t, downAfterFailures > 1, "one lost connection marks an instance as down")
	assert.Assert(t, probeAfterBrokenCalls > 1, "one broken call causes a probe")
	assert.Assert(t, maxRecentCalls > DefaultSlots, "calls in flight at a crash are dropped")
	assert.Assert(t, unconfiguredColdRate > 0 && unconfiguredColdRate < 4.5, "a cold instance gets more calls without a configuration than with one")
	assert.Assert(t, maxShortBodyBytes < 4<<20, "a body counts as short that is above the limit of the caller's daemon")
}
