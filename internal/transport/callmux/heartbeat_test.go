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

// heartbeatFrame returns the heartbeat frame that a side creates at the time now.
func heartbeatFrame(side *echoes, local Heartbeat, now time.Time) *lapisv1.CallFrame {
	return &lapisv1.CallFrame{Revision: local.Revision, OrdersRevision: local.Orders, Freshness: side.next(local, now)}
}

// Ages in a peer's heartbeats are ignored until the peer has echoed a heartbeat of this side, since
// they cannot be bounded before.
func TestAgesCountOnceFramesWentBothWays(t *testing.T) {
	start := time.Now()
	var near, far echoes
	sent := Heartbeat{Revision: 3, Confirmed: start}
	first := near.receive(heartbeatFrame(&far, sent, start.Add(time.Second)), start.Add(time.Second))
	assert.Assert(t, first.Confirmed.IsZero())
	assert.Equal(t, first.Revision, uint64(3))

	far.receive(heartbeatFrame(&near, Heartbeat{}, start.Add(2*time.Second)), start.Add(2*time.Second))
	second := near.receive(heartbeatFrame(&far, sent, start.Add(3*time.Second)), start.Add(3*time.Second))
	assert.Assert(t, !second.Confirmed.After(start) && second.Confirmed.After(start.Add(-time.Millisecond)), "%s", second.Confirmed.Sub(start))
}

// The age of a confirmation is never understated, whatever the network delay and the offset between
// the clocks.
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
			toFar := heartbeatFrame(&near, Heartbeat{}, now)
			farArrives = laterOf(farArrives, now.Add(delay("way there")))
			far.receive(toFar, farArrives.Add(offset))

			createdAt := laterOf(now, farArrives).Add(delay("held"))
			confirmed := createdAt.Add(-delay("age"))
			toNear := heartbeatFrame(&far, Heartbeat{Revision: 3, Confirmed: confirmed.Add(offset)}, createdAt.Add(offset))
			nearArrives = laterOf(nearArrives, createdAt.Add(delay("way back")))
			now = laterOf(now, nearArrives)
			received := near.receive(toNear, nearArrives)
			assert.Assert(t, !received.Confirmed.After(confirmed), "looks fresher by %s", received.Confirmed.Sub(confirmed))
		}
	})
}

// A confirmation that is later than the clock, on a machine that has just resumed, must not reach other daemons as
// a time in the future: none of them would poll until then.
func TestConfirmationLaterThanTheClockIsNotBelieved(t *testing.T) {
	start := time.Now()
	var near, far echoes
	far.receive(heartbeatFrame(&near, Heartbeat{}, start), start)
	ahead := Heartbeat{Revision: 3, Confirmed: start.Add(3 * time.Second)}
	received := near.receive(heartbeatFrame(&far, ahead, start.Add(time.Millisecond)), start.Add(2*time.Millisecond))
	assert.Assert(t, received.Confirmed.IsZero(), "%s ahead of the clock", received.Confirmed.Sub(start))
}

// Ages that a peer states wrongly, such as a daemon of an earlier version below 0, confirm nothing later than their
// arrival.
func TestNoConfirmationIsLaterThanItsArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		var near echoes
		near.next(Heartbeat{}, start)
		arrival := start.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "round trip")))
		frame := &lapisv1.CallFrame{Revision: 3, Freshness: &lapisv1.Freshness{
			Sequence: 1, Echo: 1, Confirmed: true, HeldMicros: rapid.Uint64().Draw(t, "held"), AgeMicros: rapid.Uint64().Draw(t, "age"),
		}}
		received := near.receive(frame, arrival)
		assert.Assert(t, !received.Confirmed.After(arrival), "%s after its arrival", received.Confirmed.Sub(arrival))
	})
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// No early heartbeat is sent for state that the peer already has.
func TestPeerThatKnowsGetsNoEarlyHeartbeat(t *testing.T) {
	const gain = 100 * time.Millisecond
	start := time.Now()
	var near, far echoes
	local := Heartbeat{Revision: 3, Orders: 2, Confirmed: start}
	assert.Assert(t, near.peerOutdated(local, gain))
	far.receive(heartbeatFrame(&near, local, start), start)
	near.receive(heartbeatFrame(&far, local, start.Add(time.Millisecond)), start.Add(time.Millisecond))
	assert.Assert(t, !near.peerOutdated(local, gain))
	assert.Assert(t, near.peerOutdated(Heartbeat{Revision: 4, Confirmed: start}, gain))
	assert.Assert(t, near.peerOutdated(Heartbeat{Revision: 3, Orders: 4, Confirmed: start}, gain))
	assert.Assert(t, near.peerOutdated(Heartbeat{Revision: 3, Confirmed: start.Add(time.Second)}, gain))
}

// Heartbeats carry the revision of orders even if no configuration is in force.
func TestHeartbeatCarriesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		local := func() Heartbeat { return Heartbeat{Orders: 12} }
		sender := newSession(wire.NewConn(near, nil), 1, Timing{HeartbeatInterval: time.Second, SilenceTimeout: time.Hour, WriteTimeout: time.Hour, LocalState: local})
		receiver := newSession(wire.NewConn(far, nil), 1, Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Hour})
		var received atomic.Uint64
		receiver.control.Heartbeat = func(heartbeat Heartbeat) { received.Store(heartbeat.Orders) }
		go func() { _ = receiver.receive(nil) }()
		go func() { _ = sender.receive(nil) }()
		go sender.keepAlive()
		time.Sleep(time.Minute)
		assert.Equal(t, received.Load(), uint64(12))
		sender.close(net.ErrClosed)
		receiver.close(net.ErrClosed)
	})
}
