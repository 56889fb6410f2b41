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

// heartbeatInterval is the interval of the regular heartbeats in these tests.
const heartbeatInterval = time.Second

// Checks the required relations between the times. Each row states a reason and the two values, of
// which the first must be lower.
func TestTimes(t *testing.T) {
	applyBound := settings.DefaultDaemon().Platform.ApplyBound.Get()
	fractionOfBound := func(part float64) time.Duration { return time.Duration(part * float64(applyBound)) }
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"the first dial can use its full timeout before another daemon is chosen", connectTimeout, dialReplaceTimeout},
		{"an unanswered dial is noticed in a review", maxReviewInterval, dialReplaceTimeout},
		{"a lost daemon is dialed more than once before it is replaced", reconnectMin + reconnectMax + connectTimeout, lostLinkReplaceTimeout},
		{"the wait between dials of an unreachable daemon grows", reconnectMin, reconnectMax},
		{"a link that fails at once is dialed no more often than an unreachable daemon", reconnectMax, minStableDuration + 1},
		{"instances of a lost daemon are kept until its link is replaced", lostLinkReplaceTimeout, endpointTTL},
		{"withdrawn instances are remembered for longer than unreachable ones", endpointTTL, withdrawnTTL},
		{"a corrected directory entry is read before a displaced daemon is dialed again", directoryInterval + directoryInterval/jitterDivisor, displacedRetryInterval},
		{"other daemons have answered before this daemon polls the source", maxZoneWait + answerTimeout, fractionOfBound(configsource.StandbyPollMinFraction)},
		{"the own zone has a version before another zone is asked a second time", answerTimeout, maxZoneWait},
		{"traffic costs more between regions than between zones", minGainInRegion, minGainAcrossRegions},
		{"the wait between calls of a failing directory grows", directoryRetryMin, directoryRetryMax},
		{"a failing directory is called more often than one that answers", directoryRetryMax, directoryInterval},
		{"a published daemon lists again soon", relistMin, directoryInterval},
		{"the longest interval is that of the largest fleet", directoryInterval, maxListInterval},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// The minimum gains of early heartbeats are multiples of the intervals that they stand for.
func TestGainsFollowTheIntervals(t *testing.T) {
	bound := float64(settings.DefaultDaemon().Platform.ApplyBound.Get())
	assert.Equal(t, 4*minGainInZone, time.Duration(configsource.ActivePollFraction*bound))
	assert.Equal(t, minGainInRegion, 2*heartbeatInterval)
	assert.Equal(t, minGainAcrossRegions, 4*heartbeatInterval)
}

// Some of the links to a service go to other zones, and some to each other region.
func TestLinkNumbers(t *testing.T) {
	assert.Assert(t, localLinksPerService < linksPerService)
	assert.Assert(t, linksPerOtherRegion >= 2, "the loss of one daemon of a region leaves no link to it")
	assert.Assert(t, linksPerOtherRegion < linksPerService-localLinksPerService+1, "links to other regions take links of the own zone")
}

// silentNetwork is a network that drops all packets.
type silentNetwork struct{ memoryNetwork }

func (*silentNetwork) Dial(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// An unanswered dial ends by callmux's handshake timeout, before connectTimeout.
func TestHandshakeIsGivenUpBeforeTheLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newTestFleet(1, peerIn("silent", "a", 0))
		fleet.config.Calls = &callmux.Client{Network: &silentNetwork{}, Maintained: true, Hello: &lapisv1.Hello{Node: "self"}}
		start := time.Now()
		_, err := fleet.connect(t.Context(), fleet.peers["silent"])
		assert.Assert(t, err != nil)
		elapsed := time.Since(start)
		assert.Assert(t, elapsed > 0 && elapsed < connectTimeout, "ended after %s", elapsed)
	})
}
