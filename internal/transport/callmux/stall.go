package callmux

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Stall bounds the time in which a peer that no longer answers is noticed while
// calls are on their way to it. Closing the connection would end all of them;
// a stalled one gets no new calls and may come back.
type Stall struct {
	// Check is the interval of the checks.
	Check time.Duration
	// Quiet is the time without any frame after which a peer with calls on their way is pinged,
	// and Answer how long its next frame may take. Together they must be below Timing.Silence, or
	// the connection is lost first.
	Quiet, Answer time.Duration
	// Changed is called when the connection to an address stalls or recovers.
	Changed func(address string, stalled bool)
}

// WatchStalls checks the sessions until ctx ends.
func (c *Client) WatchStalls(ctx context.Context, bounds Stall) {
	checkedAt := time.Now()
	for sleep.For(ctx, bounds.Check) {
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

// ownPause returns how long this process did not run between two checks, 0 where the second came
// less than a whole interval late. In that time it could not have seen an answer.
func ownPause(elapsed time.Duration, bounds Stall) time.Duration {
	if late := elapsed - bounds.Check; late >= bounds.Check {
		return late
	}
	return 0
}

// excusePause gives the peer so much more time to answer the ping that is open.
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

// stallStep is what to do about a peer at one check.
type stallStep int

const (
	// stepNone is for a peer that answers, or whose answer is still awaited.
	stepNone stallStep = iota
	// stepPing pings the peer.
	stepPing
	// stepStall marks the peer as stalled.
	stepStall
	// stepRecover marks it as answering again.
	stepRecover
)

// quietPeer is the input of a check.
type quietPeer struct {
	// receivedAt is when the newest frame came, and pingedAt when a ping was sent that was not
	// answered, zero where no answer is awaited.
	receivedAt, pingedAt time.Time
	// waiting is true while calls are on their way, and stalled while the peer is marked so.
	waiting, stalled bool
}

// nextStallStep decides on a peer: it answers, then is pinged, then stalls, and answers again with
// its next frame. A peer without calls is not pinged, since nobody waits for it.
func nextStallStep(peer quietPeer, bounds Stall, now time.Time) stallStep {
	awaited := !peer.pingedAt.IsZero()
	switch {
	case peer.stalled && !awaited:
		return stepRecover
	case !awaited && peer.waiting && now.Sub(peer.receivedAt) > bounds.Quiet:
		return stepPing
	case awaited && !peer.stalled && now.Sub(peer.pingedAt) > bounds.Answer:
		return stepStall
	default:
		return stepNone
	}
}

// checkStall takes the next step; it reports whether the stall of the session began or ended, and
// whether there is one now.
func (s *session) checkStall(bounds Stall, now time.Time) (changed, stalled bool) {
	peer := s.quietPeer()
	switch nextStallStep(peer, bounds, now) {
	case stepPing:
		s.mutex.Lock()
		s.pingedAt = now
		s.mutex.Unlock()
		// In the background: the peer may not read.
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

// quietPeer returns the state of the peer; any frame since the ping answers it.
func (s *session) quietPeer() quietPeer {
	receivedAt := s.receivedAt()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if receivedAt.After(s.pingedAt) {
		s.pingedAt = time.Time{}
	}
	return quietPeer{receivedAt: receivedAt, pingedAt: s.pingedAt, waiting: len(s.streams) > 0, stalled: isDone(s.stalled)}
}

// setStalled closes or replaces the channel that calls wait on.
func (s *session) setStalled(stalled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if stalled {
		close(s.stalled)
		return
	}
	s.stalled = make(chan struct{})
}

// stall returns a channel that is closed when the peer no longer answers.
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
