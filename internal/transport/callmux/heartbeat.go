package callmux

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Heartbeat is the state that a frame without a body carries: the revisions in force at the sender
// and the time at which they were last confirmed to be the newest.
type Heartbeat struct {
	// Revision is the configuration revision in force at the sender, or 0 if it has none yet.
	Revision uint64
	// Orders is the revision of the operators' orders in force at the sender, or 0 if it has none.
	Orders uint64
	// Confirmed is a time on this daemon's clock at which Revision and Orders were still the newest
	// accepted ones. It is zero if unknown.
	Confirmed time.Time
	// Ahead is true if the sender stated times by which its confirmation would be later than this
	// daemon's clock. Set on receipt.
	Ahead bool
}

// receiveHeartbeat processes a frame without a body. If the peer has not received a heartbeat from
// this side yet, one is sent immediately, since the peer needs an echo to bound ages (echoes).
func (s *session) receiveHeartbeat(frame *lapisv1.CallFrame) {
	if frame.GetFreshness() == nil && frame.GetRevision() == 0 {
		return
	}
	received := s.echoes.receive(frame, boottime.Now())
	if frame.GetFreshness() != nil && frame.GetFreshness().GetEcho() == 0 {
		go func() { s.notify(s.heartbeat()) }()
	}
	if s.control.Heartbeat != nil {
		s.control.Heartbeat(received)
	}
}

// heartbeat returns the frame for the next heartbeat.
func (s *session) heartbeat() *lapisv1.CallFrame {
	frame := &lapisv1.CallFrame{}
	if s.timing.LocalState == nil {
		return frame
	}
	local := s.timing.LocalState()
	frame.Revision = local.Revision
	frame.OrdersRevision = local.Orders
	// The exact clock: the first heartbeats after a suspension would else state an age without it, and other
	// daemons would take an old confirmation for a new one.
	frame.Freshness = s.echoes.next(local, boottime.Exact())
	return frame
}

// keepAlive sends heartbeats at HeartbeatInterval until the session ends, and early ones on
// request if the peer's state is outdated.
func (s *session) keepAlive() {
	ticker := time.NewTicker(s.timing.HeartbeatInterval)
	defer ticker.Stop()
	if s.timing.LocalState != nil {
		s.notify(s.heartbeat())
	}
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		case gain := <-s.early:
			if s.timing.LocalState == nil || !s.echoes.peerOutdated(s.timing.LocalState(), gain) {
				continue
			}
			ticker.Reset(s.timing.HeartbeatInterval)
		}
		s.notify(s.heartbeat())
	}
}
