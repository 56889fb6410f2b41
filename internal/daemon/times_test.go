package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
)

// The times of a daemon hang together; each row says which must be below which, and why.
func TestTimesHangTogether(t *testing.T) {
	defaults := settings.DefaultDaemon()
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"one lost frame ends no connection", 2 * platformPeerTiming.KeepAlive, platformPeerTiming.Silence},
		{"a lost daemon is noticed within the contact time", platformPeerTiming.Silence, defaults.Platform.Contact.Get()},
		{"a frame that cannot be sent does not outlast the silence", platformPeerTiming.Write, platformPeerTiming.Silence},
		{"a daemon that stands still is lost by its silence", platformPeerTiming.Silence - platformPeerTiming.KeepAlive, platformPeerTiming.Write},
		{"a stall is seen between two checks", stallCheck, stallQuiet},
		{"a stalled daemon is suspect before its connection is lost", stallQuiet + stallAnswer, platformPeerTiming.Silence},
		{"instances stop before callers are refused", instancesDrain, callersDrain},
		{"the last answers are waited for over several counts", inFlightPoll, answersDrain},
		{"answers of cut calls get longer than ordinary ones", answersDrain, cutAnswers},
		{"the tree's refusals last over several counts", inFlightPoll, leaveNotice},
		{"the store is asked again before others store the record", saveRetryMin, othersSave},
		{"records of others are in the store when it is read again", othersSave + othersSpread, loadAgain + 1},
		{"the process ends within the stop limit", time.Duration(callsPart*float64(defaults.StopLimit.Get())) + cutAnswers, defaults.StopLimit.Get()},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}
