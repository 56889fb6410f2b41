package callmux

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// The times for which a peer is waited for hang together; each row says which must be below
// which, and why.
func TestTimesHangTogether(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper time.Duration
	}{
		{"a lost call looks for a new connection several times", 4 * fencePoll, fenceTimeout},
		{"a fence outlasts a dial that failed just before", dialRetry, fenceTimeout},
		{"a fence has time for a dial and its question", dialTimeout, fenceTimeout},
		{"a dial is given up before the kernel sends its opening packet again", dialTimeout, time.Second},
		{"a dial ends by its own bound, not by that of the network", dialTimeout, wire.DialTimeout},
		{"the greeting has time after the slowest dial", 2 * dialTimeout, openTimeout},
		{"the accepting side does not give up a greeting first", openTimeout, peer.GreetingTimeout + 1},
		{"two lost heartbeats end no session", 2 * DefaultTiming.KeepAlive, DefaultTiming.Silence},
		{"a frame that cannot be sent does not outlast the silence", DefaultTiming.Write, DefaultTiming.Silence},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %s is not below %s", row.why, row.lower, row.upper)
	}
}

// The sizes of pieces and windows hang together as well.
func TestSizesHangTogether(t *testing.T) {
	for _, row := range []struct {
		why          string
		lower, upper int
	}{
		{"a body that goes along fits into one piece", openingBodyBytes, chunkBytes},
		{"a window holds several pieces", 4 * chunkBytes, windowBytes},
		{"a window holds what earlier releases send at once", BufferedBodyBytes, windowBytes},
		{"more is granted before the window is used up", grantAfterBytes, windowBytes},
		{"the least in flight is less than the window", minInFlight, windowBytes},
		{"a frame with a piece is within the bound of frames", chunkBytes, wire.MaxFrameBytes},
		{"no piece is empty", 1, minInFlight / inFlightPieces},
	} {
		assert.Check(t, row.lower < row.upper, "%s: %d is not below %d", row.why, row.lower, row.upper)
	}
}

// A peer answers, is pinged, stalls and answers again.
func TestStallSteps(t *testing.T) {
	now := time.Unix(1000, 0)
	bounds := Stall{Quiet: 250 * time.Millisecond, Answer: 400 * time.Millisecond}
	ago := func(millis int) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for name, row := range map[string]struct {
		peer quietPeer
		step stallStep
	}{
		"answers":                      {quietPeer{receivedAt: ago(250), waiting: true}, stepNone},
		"is quiet":                     {quietPeer{receivedAt: ago(251), waiting: true}, stepPing},
		"is quiet, nobody waits":       {quietPeer{receivedAt: ago(60_000)}, stepNone},
		"its answer is awaited":        {quietPeer{receivedAt: ago(700), pingedAt: ago(400), waiting: true}, stepNone},
		"its answer took too long":     {quietPeer{receivedAt: ago(700), pingedAt: ago(401), waiting: true}, stepStall},
		"too long, the calls are over": {quietPeer{receivedAt: ago(700), pingedAt: ago(401)}, stepStall},
		"is stalled":                   {quietPeer{receivedAt: ago(2000), pingedAt: ago(1500), waiting: true, stalled: true}, stepNone},
		"answers after a stall":        {quietPeer{receivedAt: ago(1), waiting: true, stalled: true}, stepRecover},
		"was pinged and answered":      {quietPeer{receivedAt: ago(100), waiting: true}, stepNone},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, nextStallStep(row.peer, bounds, now), row.step)
		})
	}
}
