package callmux

import (
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// aliveFrame is the empty frame that a side makes at a time.
func aliveFrame(side *echoes, local Heartbeat, now time.Time) *lapisv1.CallFrame {
	return &lapisv1.CallFrame{Revision: local.Revision, OrdersRevision: local.Orders, Freshness: side.next(local, now)}
}

// Before a peer has received a heartbeat of this side, its ages cannot be bounded.
func TestAgesCountOnceFramesWentBothWays(t *testing.T) {
	start := time.Now()
	var near, far echoes
	sent := Heartbeat{Revision: 3, Confirmed: start}
	first := near.receive(aliveFrame(&far, sent, start.Add(time.Second)), start.Add(time.Second))
	assert.Assert(t, first.Confirmed.IsZero())
	assert.Equal(t, first.Revision, uint64(3))

	far.receive(aliveFrame(&near, Heartbeat{}, start.Add(2*time.Second)), start.Add(2*time.Second))
	second := near.receive(aliveFrame(&far, sent, start.Add(3*time.Second)), start.Add(3*time.Second))
	assert.Assert(t, !second.Confirmed.After(start) && second.Confirmed.After(start.Add(-time.Millisecond)), "%s", second.Confirmed.Sub(start))
}

// Whatever holds frames up on the way, and however the clocks of the two sides
// differ, a confirmation never looks fresher than it is.
func TestHeldUpFramesDoNotLookFresher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		offset := time.Duration(rapid.Int64Range(-1e12, 1e12).Draw(t, "offset of the far clock"))
		delay := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, name))
		}
		var near, far echoes
		now := start
		var nearArrives, farArrives time.Time
		for range rapid.IntRange(1, 20).Draw(t, "rounds") {
			now = now.Add(delay("pause"))
			toFar := aliveFrame(&near, Heartbeat{}, now)
			farArrives = later(farArrives, now.Add(delay("way there")))
			far.receive(toFar, farArrives.Add(offset))

			made := later(now, farArrives).Add(delay("held"))
			confirmed := made.Add(-delay("age"))
			toNear := aliveFrame(&far, Heartbeat{Revision: 3, Confirmed: confirmed.Add(offset)}, made.Add(offset))
			nearArrives = later(nearArrives, made.Add(delay("way back")))
			now = later(now, nearArrives)
			heard := near.receive(toNear, nearArrives)
			assert.Assert(t, !heard.Confirmed.After(confirmed), "looks fresher by %s", heard.Confirmed.Sub(confirmed))
		}
	})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Nothing is sent ahead of time that the peer has sent itself.
func TestPeerThatKnowsGetsNoEarlyHeartbeat(t *testing.T) {
	const gain = 100 * time.Millisecond
	start := time.Now()
	var near, far echoes
	local := Heartbeat{Revision: 3, Orders: 2, Confirmed: start}
	assert.Assert(t, near.lacks(local, gain))
	far.receive(aliveFrame(&near, local, start), start)
	near.receive(aliveFrame(&far, local, start.Add(time.Millisecond)), start.Add(time.Millisecond))
	assert.Assert(t, !near.lacks(local, gain))
	assert.Assert(t, near.lacks(Heartbeat{Revision: 4, Confirmed: start}, gain))
	assert.Assert(t, near.lacks(Heartbeat{Revision: 3, Orders: 4, Confirmed: start}, gain))
	assert.Assert(t, near.lacks(Heartbeat{Revision: 3, Confirmed: start.Add(time.Second)}, gain))
}

// The empty frames of a session bring the sender's revisions, that of orders also where
// no configuration is in force.
func TestHeartbeatCarriesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		local := func() Heartbeat { return Heartbeat{Orders: 12} }
		sender := newSession(wire.NewConn(near, nil), 1, Timing{KeepAlive: time.Second, Silence: time.Hour, Write: time.Hour, Local: local})
		receiver := newSession(wire.NewConn(far, nil), 1, Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Hour})
		var heard atomic.Uint64
		receiver.control.Heartbeat = func(heartbeat Heartbeat) { heard.Store(heartbeat.Orders) }
		go func() { _ = receiver.receive(nil) }()
		go func() { _ = sender.receive(nil) }()
		go sender.keepAlive()
		time.Sleep(time.Minute)
		assert.Equal(t, heard.Load(), uint64(12))
		sender.close(net.ErrClosed)
		receiver.close(net.ErrClosed)
	})
}
