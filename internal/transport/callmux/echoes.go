package callmux

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// rememberedFrames is how many of the heartbeats sent an echo may refer to. The peer echoes the
// newest, so no more than a few are ever on their way.
const rememberedFrames = 8

// echoes relate the heartbeats of both sides of a session, so that an age
// that the peer sends can be bounded without comparing clocks.
type echoes struct {
	mutex sync.Mutex
	// sequence numbers the heartbeats sent; sentAt is when the last of them were made.
	sequence uint64
	sentAt   [rememberedFrames]time.Time
	// received is the newest sequence received, at receivedAt.
	received   uint64
	receivedAt time.Time
	// peer is the newest heartbeat of the peer.
	peer Heartbeat
}

// next returns the freshness that the next heartbeat carries.
func (e *echoes) next(local Heartbeat, now time.Time) *lapisv1.Freshness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	e.sentAt[e.sequence%rememberedFrames] = now
	freshness := &lapisv1.Freshness{Sequence: e.sequence, Echo: e.received}
	if e.received > 0 {
		freshness.HeldMicros = uint64(now.Sub(e.receivedAt).Microseconds())
	}
	if !local.Confirmed.IsZero() {
		freshness.Confirmed = true
		// Rounded up: an age may be overstated, never understated.
		freshness.AgeMicros = uint64(now.Sub(local.Confirmed).Microseconds()) + 1
	}
	return freshness
}

// receive returns the heartbeat in a frame. The frame was made no earlier than when the frame that
// it echoes was sent, plus the time for which the peer held that one; the confirmation is older by
// the age in the frame. So it does not look fresher than it is, however long the frame took.
func (e *echoes) receive(frame *lapisv1.CallFrame, now time.Time) Heartbeat {
	freshness := frame.GetFreshness()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	heartbeat := Heartbeat{Revision: frame.GetRevision(), Orders: frame.GetOrdersRevision()}
	if freshness.GetSequence() > e.received {
		e.received = freshness.GetSequence()
		e.receivedAt = now
	}
	echoed := freshness.GetEcho() > 0 && freshness.GetEcho() <= e.sequence && e.sequence-freshness.GetEcho() < rememberedFrames
	if freshness.GetConfirmed() && echoed {
		made := e.sentAt[freshness.GetEcho()%rememberedFrames].Add(time.Duration(freshness.GetHeldMicros()) * time.Microsecond)
		heartbeat.Confirmed = made.Add(-time.Duration(freshness.GetAgeMicros()) * time.Microsecond)
	}
	e.peer = heartbeat
	return heartbeat
}

// lacks reports whether the peer lacks a newer revision of either kind, or a confirmation that is
// newer by more than gain.
func (e *echoes) lacks(local Heartbeat, gain time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	newer := local.Revision > e.peer.Revision || local.Orders > e.peer.Orders
	return newer || local.Confirmed.Sub(e.peer.Confirmed) > gain
}
