package fleet

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// heartbeatInterval is the interval of the regular heartbeats, as the tests' daemons have it.
const heartbeatInterval = time.Second

// The times of the fleet hang together; each row says which must be below which, and why.
func TestTimes(t *testing.T) {
	applyBound := settings.DefaultDaemon().Platform.ApplyBound.Get()
	partOfBound := func(part float64) time.Duration { return time.Duration(part * float64(applyBound)) }
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"a first dial has all its time before it is replaced", connectTimeout, unansweredDialReplacedAfter},
		{"a dial that leads nowhere is noticed at a review", reviewInterval, unansweredDialReplacedAfter},
		{"a lost daemon is dialed more than once before it is replaced", reconnectMin + reconnectMax + connectTimeout, lostLinkReplacedAfter},
		{"a daemon that is not there is dialed less and less often", reconnectMin, reconnectMax},
		{"a link that fails at once is dialed no more often than a daemon that is not there", reconnectMax, stableAfter + 1},
		{"instances of a lost daemon are known until its link is replaced", lostLinkReplacedAfter, endpointsForgottenAfter},
		{"instances that left are remembered for longer than those that are lost", endpointsForgottenAfter, withdrawnMemory},
		{"a corrected directory entry is read before a displaced one is dialed", directoryInterval + directoryInterval/jitterParts, displacedRecheck},
		{"others have answered before this daemon polls the source", zoneWait + answerWait, partOfBound(configsource.EarliestPart)},
		{"the own zone has a version before another zone is asked twice", answerWait, zoneWait},
		{"bytes cost more between regions than between zones", regionGain, otherRegionGain},
		{"a failing directory is called less and less often", directoryRetryMin, directoryRetryMax},
		{"a failing directory is called more often than one that answers", directoryRetryMax, directoryInterval},
		{"a daemon that was published lists again soon", relistMin, directoryInterval},
		{"the longest interval is that of the largest fleet", directoryInterval, maxListInterval},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// The gains of early heartbeats are multiples of the intervals that they stand for.
func TestGainsFollowTheIntervals(t *testing.T) {
	bound := float64(settings.DefaultDaemon().Platform.ApplyBound.Get())
	assert.Equal(t, 4*zoneGain, time.Duration(configsource.LeadPart*bound))
	assert.Equal(t, regionGain, 2*heartbeatInterval)
	assert.Equal(t, otherRegionGain, 4*heartbeatInterval)
}

// A part of the links to a service goes to other zones, and to each other region.
func TestLinkNumbers(t *testing.T) {
	assert.Assert(t, localLinks < linksPerService)
	assert.Assert(t, regionLinks >= 2, "one of a region's daemons may be lost")
	assert.Assert(t, regionLinks < linksPerService-localLinks+1, "other regions leave the own zone its links")
}

// silentNetwork is a network in which no packet is answered.
type silentNetwork struct{ memoryNetwork }

// Dial implements wire.Network.
func (*silentNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A dial that leads nowhere is given up by its handshake's time-out, which callmux holds, and
// not by that of the link.
func TestHandshakeIsGivenUpBeforeTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialing := newTestFleet(1, peerIn("silent", "a", 0))
		dialing.config.Calls = &callmux.Client{Network: &silentNetwork{}, Maintained: true, Hello: &lapisv1.Hello{Node: "self"}}
		began := time.Now()
		_, err := dialing.connect(t.Context(), dialing.peers["silent"])
		assert.Assert(t, err != nil)
		took := time.Since(began)
		assert.Assert(t, took > 0 && took < connectTimeout, "given up after %s", took)
	})
}
