package callmux

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Stall configures the detection of peers that stop responding while calls to them are in flight.
// A stalled peer keeps its connection, since closing it would end those calls, but gets no new calls
// until it recovers.
type Stall struct {
	// CheckInterval is the interval of the checks.
	CheckInterval time.Duration
	// PingAfter is the time without a received frame after which a peer with calls in flight is pinged.
	// PingTimeout is the timeout for the next frame after a ping. Their sum must be below
	// Timing.SilenceTimeout, otherwise the connection is closed first.
	PingAfter, PingTimeout time.Duration
	// Changed is called when the peer at an address stalls or recovers.
	Changed func(address string, stalled bool)
}

// WatchStalls checks all sessions for stalled peers until ctx ends.
func (c *Client) WatchStalls(ctx context.Context, bounds Stall) {
	checkedAt := time.Now()
	for sleep.For(ctx, bounds.CheckInterval) {
		now := time.Now()
		paused := ownPause(now.Sub(checkedAt), bounds)
		checkedAt = now
		for address, current := range c.sessions() {
			current.excusePause(paused)
			if changed, stalled := current.checkStall(bounds, now); changed {
				bounds.Changed(address, stalled)
			}
		}
	}
}

// ownPause returns the time for which this process was paused between two checks, during which it
// could not receive an answer. Delays below one check interval count as 0.
func ownPause(elapsed time.Duration, bounds Stall) time.Duration {
	if late := elapsed - bounds.CheckInterval; late >= bounds.CheckInterval {
		return late
	}
	return 0
}

// excusePause extends the timeout of an unanswered ping by the time for which this process was
// paused.
func (s *session) excusePause(paused time.Duration) {
	receivedAt := s.receivedAt()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.pingedAt.IsZero() && !receivedAt.After(s.pingedAt) {
		s.pingedAt = s.pingedAt.Add(paused)
	}
}

// sessions returns the open sessions by address.
func (c *Client) sessions() map[string]*session {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	sessions := make(map[string]*session, len(c.peers))
	for address, link := range c.peers {
		if !link.mutex.TryLock() {
			continue
		}
		if link.session != nil && !link.session.isClosed() {
			sessions[address] = link.session
		}
		link.mutex.Unlock()
	}
	return sessions
}

// stallStep is the action for a peer at one check.
type stallStep int

const (
	// stepNone means no action: the peer responds, or its ping has not timed out.
	stepNone stallStep = iota
	// stepPing pings the peer.
	stepPing
	// stepStall marks the peer as stalled.
	stepStall
	// stepRecover marks the peer as responsive again.
	stepRecover
)

// peerActivity is the state of a peer on which nextStallStep decides.
type peerActivity struct {
	// receivedAt is the arrival time of the newest frame. pingedAt is the time of the last unanswered
	// ping, or zero if there is none.
	receivedAt, pingedAt time.Time
	// hasCalls is true while calls are in flight. stalled is true while the peer is marked as stalled.
	hasCalls, stalled bool
}

// nextStallStep returns the next step for a peer. A quiet peer with calls in flight is pinged, is
// marked as stalled if the ping times out, and recovers with the next frame. A peer without calls is
// not pinged.
func nextStallStep(peer peerActivity, bounds Stall, now time.Time) stallStep {
	awaited := !peer.pingedAt.IsZero()
	switch {
	case peer.stalled && !awaited:
		return stepRecover
	case !awaited && peer.hasCalls && now.Sub(peer.receivedAt) > bounds.PingAfter:
		return stepPing
	case awaited && !peer.stalled && now.Sub(peer.pingedAt) > bounds.PingTimeout:
		return stepStall
	default:
		return stepNone
	}
}

// checkStall performs the next step. It reports whether the stalled state changed, and the current
// state.
func (s *session) checkStall(bounds Stall, now time.Time) (changed, stalled bool) {
	peer := s.activity()
	switch nextStallStep(peer, bounds, now) {
	case stepPing:
		s.mutex.Lock()
		s.pingedAt = now
		s.mutex.Unlock()
		// In the background, since the write blocks while the peer does not read.
		go s.notify(&lapisv1.CallFrame{Ping: true})
	case stepStall:
		s.setStalled(true)
		return true, true
	case stepRecover:
		s.setStalled(false)
		return true, false
	}
	return false, peer.stalled
}

// activity returns the state of the peer for nextStallStep. Any frame received after a ping counts as
// its answer.
func (s *session) activity() peerActivity {
	receivedAt := s.receivedAt()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if receivedAt.After(s.pingedAt) {
		s.pingedAt = time.Time{}
	}
	return peerActivity{receivedAt: receivedAt, pingedAt: s.pingedAt, hasCalls: len(s.streams) > 0, stalled: isDone(s.stalled)}
}

// setStalled closes the channel returned by stall, or replaces it by an open one.
func (s *session) setStalled(stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stalled {
		close(s.stalled)
		return
	}
	s.stalled = make(chan struct{})
}

// stall returns a channel that is closed when the peer is marked as stalled.
func (s *session) stall() <-chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stalled
}

// isDone reports whether a channel is closed.
func isDone(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
