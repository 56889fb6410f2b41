package callmux

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// rememberedFrames is how many of the own frames an echo may name; the peer
// echoes the newest, so that more than a few are never on their way.
const rememberedFrames = 8

// Heartbeat is what the empty frames tell of their sender.
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

// Control receives what concerns the daemons themselves. Its functions may be nil.
type Control struct {
	// Frame receives the frames that are not empty.
	Frame func(*lapisv1.CallFrame)
	// Heartbeat receives what the empty frames tell.
	Heartbeat func(Heartbeat)
}

// echoes relate the empty frames of both sides of a session, so that an age
// that the peer states can be bounded without comparing clocks.
type echoes struct {
	mutex sync.Mutex
	// sequence numbers the frames sent; sentAt is when the last of them were made.
	sequence uint64
	sentAt   [rememberedFrames]time.Time
	// heard is the newest sequence received, at heardAt.
	heard   uint64
	heardAt time.Time
	// peer is the newest that the peer told.
	peer Heartbeat
}

// make returns what the next empty frame tells of this daemon.
func (e *echoes) make(local Heartbeat, now time.Time) *lapisv1.Freshness {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.sequence++
	e.sentAt[e.sequence%rememberedFrames] = now
	freshness := &lapisv1.Freshness{Sequence: e.sequence, Echo: e.heard}
	if e.heard > 0 {
		freshness.HeldMicros = uint64(now.Sub(e.heardAt).Microseconds())
	}
	if !local.Confirmed.IsZero() {
		freshness.Confirmed = true
		// Rounded up: an age may be overstated, never understated.
		freshness.AgeMicros = uint64(now.Sub(local.Confirmed).Microseconds()) + 1
	}
	return freshness
}

// take returns what a frame tells. The frame was made no earlier than this
// daemon's frame that it echoes, and the time that the peer held that one; the
// confirmation is older than that by the stated age. However long the frame was
// on its way, it therefore does not look fresher than it is.
func (e *echoes) take(frame *lapisv1.CallFrame, now time.Time) Heartbeat {
	told := frame.GetFreshness()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	heartbeat := Heartbeat{Revision: frame.GetRevision(), Orders: frame.GetOrdersRevision()}
	if told.GetSequence() > e.heard {
		e.heard = told.GetSequence()
		e.heardAt = now
	}
	echoed := told.GetEcho() > 0 && told.GetEcho() <= e.sequence && e.sequence-told.GetEcho() < rememberedFrames
	if told.GetConfirmed() && echoed {
		made := e.sentAt[told.GetEcho()%rememberedFrames].Add(time.Duration(told.GetHeldMicros()) * time.Microsecond)
		heartbeat.Confirmed = made.Add(-time.Duration(told.GetAgeMicros()) * time.Microsecond)
	}
	e.peer = heartbeat
	return heartbeat
}

// lacks reports whether the peer would learn from a heartbeat now: of a newer
// revision of either kind, or of a confirmation that is newer by more than gain.
func (e *echoes) lacks(local Heartbeat, gain time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	newer := local.Revision > e.peer.Revision || local.Orders > e.peer.Orders
	return newer || local.Confirmed.Sub(e.peer.Confirmed) > gain
}

// heardAlive takes in an empty frame. A peer that has not heard of this side yet
// is answered at once, because it cannot use ages before.
func (s *session) heardAlive(frame *lapisv1.CallFrame) {
	if frame.GetFreshness() == nil && frame.GetRevision() == 0 {
		return
	}
	heartbeat := s.echoes.take(frame, boottime.Now())
	if frame.GetFreshness() != nil && frame.GetFreshness().GetEcho() == 0 {
		go func() { _ = s.send(s.alive()) }()
	}
	if s.control.Heartbeat != nil {
		s.control.Heartbeat(heartbeat)
	}
}

// alive returns the empty frame that is a sign of life.
func (s *session) alive() *lapisv1.CallFrame {
	frame := &lapisv1.CallFrame{}
	if s.timing.Local == nil {
		return frame
	}
	local := s.timing.Local()
	frame.Revision = local.Revision
	frame.OrdersRevision = local.Orders
	frame.Freshness = s.echoes.make(local, boottime.Now())
	return frame
}

// keepAlive sends empty frames so that silence means loss, and ahead of time
// where the peer lacks what they tell.
func (s *session) keepAlive() {
	ticker := time.NewTicker(s.timing.KeepAlive)
	defer ticker.Stop()
	if s.timing.Local != nil {
		_ = s.send(s.alive())
	}
	for {
		select {
		case <-s.closed:
			return
		case <-ticker.C:
		case gain := <-s.beats:
			if s.timing.Local == nil || !s.echoes.lacks(s.timing.Local(), gain) {
				continue
			}
			ticker.Reset(s.timing.KeepAlive)
		}
		_ = s.send(s.alive())
	}
}

// Beat tells the peer what the empty frames tell, unless it told as much itself: a
// confirmation must be newer by gain. It does not wait.
func (l Link) Beat(gain time.Duration) {
	select {
	case l.session.beats <- gain:
	default:
	}
}
