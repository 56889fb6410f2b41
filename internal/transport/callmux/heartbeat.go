package callmux

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Heartbeat is the content of an empty frame: what is in force at its sender, and how recently that
// was confirmed.
type Heartbeat struct {
	// Revision is the configuration in force at the sender, 0 before the first.
	Revision uint64
	// Orders is the revision of the operators' orders in force at the sender, 0
	// before the first and where there are none.
	Orders uint64
	// Confirmed is a time by this daemon's clock: nothing newer than Revision and
	// Orders had been accepted before it. It is zero when that is not known.
	Confirmed time.Time
}

// receiveHeartbeat applies an empty frame. A peer that has received no heartbeat of this side yet is
// answered at once, since it cannot bound an age before (echoes).
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

// heartbeat returns an empty frame, which is a sign of life.
func (s *session) heartbeat() *lapisv1.CallFrame {
	frame := &lapisv1.CallFrame{}
	if s.timing.Local == nil {
		return frame
	}
	local := s.timing.Local()
	frame.Revision = local.Revision
	frame.OrdersRevision = local.Orders
	frame.Freshness = s.echoes.next(local, boottime.Now())
	return frame
}

// keepAlive sends heartbeats until the session ends, so that silence means loss, and early ones
// where the peer lacks their content.
func (s *session) keepAlive() {
	ticker := time.NewTicker(s.timing.KeepAlive)
	defer ticker.Stop()
	if s.timing.Local != nil {
		s.notify(s.heartbeat())
	}
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		case gain := <-s.early:
			if s.timing.Local == nil || !s.echoes.lacks(s.timing.Local(), gain) {
				continue
			}
			ticker.Reset(s.timing.KeepAlive)
		}
		s.notify(s.heartbeat())
	}
}
