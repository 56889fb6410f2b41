package callmux

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// sentHistory is the number of sent heartbeats whose send time is kept. The peer echoes the newest
// one it received, so only a few are ever in flight.
const sentHistory = 8

// maxStatedMicros is the longest time that a peer may state, in microseconds. A longer one is a negative number
// of an earlier version.
const maxStatedMicros = uint64(24 * time.Hour / time.Microsecond)

// echoes matches sent heartbeats with the peer's echoes of them, so that an age sent by the peer can
// be converted to local time without comparing clocks.
type echoes struct {
	mutex sync.Mutex
	// sequence is the number of the newest sent heartbeat. sentAt holds the creation times of the last
	// ones, indexed by sequence modulo sentHistory.
	sequence uint64
	sentAt   [sentHistory]time.Time
	// received is the newest sequence received from the peer, at receivedAt.
	received   uint64
	receivedAt time.Time
	// peer is the newest heartbeat received.
	peer Heartbeat
}

// next returns the Freshness message for the next outgoing heartbeat.
func (e *echoes) next(local Heartbeat, now time.Time) *lapisv1.Freshness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	e.sentAt[e.sequence%sentHistory] = now
	freshness := &lapisv1.Freshness{Sequence: e.sequence, Echo: e.received}
	if e.received > 0 {
		freshness.HeldMicros = uint64(max(now.Sub(e.receivedAt), 0).Microseconds())
	}
	// A confirmation later than now has no age that could be stated: the clock lags behind a suspension.
	if !local.Confirmed.IsZero() && !local.Confirmed.After(now) {
		freshness.Confirmed = true
		// Rounded up: an age may be overstated but never understated.
		freshness.AgeMicros = uint64(now.Sub(local.Confirmed).Microseconds()) + 1
	}
	return freshness
}

// receive converts a received frame to a Heartbeat. The lower bound of the frame's creation time is
// the send time of the echoed heartbeat plus the time the peer held it; the confirmation time is that
// bound minus the age in the frame. The age is thus never understated, whatever the network delay.
// The bound is not later than the arrival, so that no confirmation is, whatever times the peer states:
// a daemon that believed one of the future would not poll until then, and pass it on.
func (e *echoes) receive(frame *lapisv1.CallFrame, now time.Time) Heartbeat {
	freshness := frame.GetFreshness()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	heartbeat := Heartbeat{Revision: frame.GetRevision(), Orders: frame.GetOrdersRevision()}
	if freshness.GetSequence() > e.received {
		e.received = freshness.GetSequence()
		e.receivedAt = now
	}
	echoed := freshness.GetEcho() > 0 && freshness.GetEcho() <= e.sequence && e.sequence-freshness.GetEcho() < sentHistory
	if freshness.GetConfirmed() && echoed {
		heartbeat.Confirmed, heartbeat.Ahead = confirmedAt(freshness, e.sentAt[freshness.GetEcho()%sentHistory], now)
	}
	e.peer = heartbeat
	return heartbeat
}

// confirmedAt returns the confirmation time of a message that echoes a heartbeat sent at echoSentAt and arrives
// now; zero if an age is not valid. ahead is true if the stated times are not possible.
func confirmedAt(freshness *lapisv1.Freshness, echoSentAt, now time.Time) (confirmed time.Time, ahead bool) {
	held, age := freshness.GetHeldMicros(), freshness.GetAgeMicros()
	if max(held, age) > maxStatedMicros {
		return time.Time{}, true
	}
	createdAt := echoSentAt.Add(time.Duration(held) * time.Microsecond)
	if ahead = createdAt.After(now); ahead {
		createdAt = now
	}
	return createdAt.Add(-time.Duration(age) * time.Microsecond), ahead
}

// peerRevision returns the configuration revision in the peer's last heartbeat.
func (e *echoes) peerRevision() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.peer.Revision
}

// peerOutdated reports whether local has a newer revision of either kind than the peer's last
// heartbeat, or a confirmation that is newer by more than gain.
func (e *echoes) peerOutdated(local Heartbeat, gain time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	newer := local.Revision > e.peer.Revision || local.Orders > e.peer.Orders
	return newer || local.Confirmed.Sub(e.peer.Confirmed) > gain
}
