package callmux

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// The intervals and timeouts must be ordered as listed; why is the reason for each relation.
func TestTimesHangTogether(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"a fence checks for a new connection several times", 4 * fencePollInterval, fenceTimeout},
		{"a fence outlasts a remembered dial failure", dialFailureTTL, fenceTimeout},
		{"a fence has time for a dial and a round trip", dialTimeout, fenceTimeout},
		{"a dial is abandoned before the kernel retransmits the SYN", dialTimeout, time.Second},
		{"a dial ends by its own timeout, not by that of the network", dialTimeout, wire.DialTimeout},
		{"there is time for the greeting after the slowest dial", 2 * dialTimeout, openTimeout},
		{"the accepting side does not time out a greeting first", openTimeout, peer.GreetingTimeout + 1},
		{"a session survives two lost heartbeats", 2 * DefaultTiming.HeartbeatInterval, DefaultTiming.SilenceTimeout},
		{"a blocked write does not outlast the silence timeout", DefaultTiming.WriteTimeout, DefaultTiming.SilenceTimeout},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// The sizes of chunks and windows must be ordered as listed; why is the reason for each relation.
func TestSizesHangTogether(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper int
	}{
		{"a body sent with the opening fits into one chunk", maxOpeningBodyBytes, maxChunkBytes},
		{"a window holds several chunks", 4 * maxChunkBytes, windowBytes},
		{"a window holds a body that earlier releases send without credit", MaxBufferedBodyBytes, windowBytes},
		{"credit is granted before the window is used up", grantThresholdBytes, windowBytes},
		{"the lower limit of bytes in flight is below the window", minInFlightBytes, windowBytes},
		{"a frame with a chunk is within the frame size limit", maxChunkBytes, wire.MaxFrameBytes},
		{"chunks are not empty", 1, minInFlightBytes / inFlightChunks},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %d is not below %d", row.why, row.lower, row.upper)
	}
}

// nextStallStep pings a quiet peer, marks it as stalled if the ping times out, and lets it recover.
func TestStallSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	bounds := Stall{PingAfter: 250 * time.Millisecond, PingTimeout: 400 * time.Millisecond}
	ago := func(millis int) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for name, row := range map[string]struct {
		peer peerActivity
		step stallStep
	}{
		"responds":                           {peerActivity{receivedAt: ago(250), hasCalls: true}, stepNone},
		"is quiet":                           {peerActivity{receivedAt: ago(251), hasCalls: true}, stepPing},
		"is quiet without calls":             {peerActivity{receivedAt: ago(60_000)}, stepNone},
		"the ping has not timed out":         {peerActivity{receivedAt: ago(700), pingedAt: ago(400), hasCalls: true}, stepNone},
		"the ping timed out":                 {peerActivity{receivedAt: ago(700), pingedAt: ago(401), hasCalls: true}, stepStall},
		"the ping timed out after the calls": {peerActivity{receivedAt: ago(700), pingedAt: ago(401)}, stepStall},
		"is stalled":                         {peerActivity{receivedAt: ago(2000), pingedAt: ago(1500), hasCalls: true, stalled: true}, stepNone},
		"responds after a stall":             {peerActivity{receivedAt: ago(1), hasCalls: true, stalled: true}, stepRecover},
		"was pinged and answered":            {peerActivity{receivedAt: ago(100), hasCalls: true}, stepNone},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, nextStallStep(row.peer, bounds, now), row.step)
		})
	}
}
