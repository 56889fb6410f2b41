package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
)

// The intervals and timeouts must be ordered as listed; why is the reason for each relation.
func TestTimesHangTogether(t *testing.T) {
	defaults := settings.DefaultDaemon()
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"a connection survives one lost frame", 2 * platformPeerTiming.HeartbeatInterval, platformPeerTiming.SilenceTimeout},
		{"a lost daemon is detected within the contact time", platformPeerTiming.SilenceTimeout, defaults.Platform.Contact.Get()},
		{"a blocked write does not outlast the silence timeout", platformPeerTiming.WriteTimeout, platformPeerTiming.SilenceTimeout},
		{"the silence timeout detects a frozen daemon before the write timeout", platformPeerTiming.SilenceTimeout - platformPeerTiming.HeartbeatInterval, platformPeerTiming.WriteTimeout},
		{"the checks are more frequent than the pings", stallCheckInterval, stallPingAfter},
		{"a daemon is marked as stalled before its connection is closed", stallPingAfter + stallPingTimeout, platformPeerTiming.SilenceTimeout},
		{"instances stop before callers are refused", instanceDrainTime, callerDrainTime},
		{"the wait for the last answers spans several polls", inFlightPollInterval, answerDrainTime},
		{"answers of cut calls get more time than ordinary ones", answerDrainTime, cutAnswerTimeout},
		{"the refusals in a tree span several polls", inFlightPollInterval, refusalTime},
		{"a failed save is retried before others store the record", saveRetryMin, remoteSaveDelay},
		{"records of others are stored before the second load", remoteSaveDelay + remoteSaveJitter, secondLoadDelay + 1},
		{"the process ends within the stop limit", time.Duration(callTimeShare*float64(defaults.StopLimit.Get())) + cutAnswerTimeout, defaults.StopLimit.Get()},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}
