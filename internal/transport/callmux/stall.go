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
	// Quiet is the time without any frame after which the peer is asked for a
	// sign of life, and Answer how long it may take.
	Quiet, Answer time.Duration
	// Changed is called when the connection to an address stalls or comes back.
	Changed func(address string, stalled bool)
}

// WatchStalls checks the sessions until ctx ends.
func (c *Client) WatchStalls(ctx context.Context, bounds Stall) {
	for sleep.For(ctx, bounds.Check) {
		for address, current := range c.sessions() {
			if changed, stalled := current.checkStall(bounds, time.Now()); changed {
				bounds.Changed(address, stalled)
			}
		}
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

// checkStall asks a quiet peer for a sign of life, and judges the answer. The
// stall of a session ends with its next frame.
func (s *session) checkStall(bounds Stall, now time.Time) (changed, stalled bool) {
	heard := s.began.Add(time.Duration(s.heard.Load()))
	s.mutex.Lock()
	waiting := len(s.streams) > 0
	asked := s.asked
	was := s.stalled != nil && isDone(s.stalled)
	if heard.After(asked) {
		s.asked = time.Time{}
		asked = time.Time{}
	}
	s.mutex.Unlock()
	switch {
	case was && asked.IsZero():
		s.setStalled(false)
		return true, false
	case asked.IsZero() && waiting && now.Sub(heard) > bounds.Quiet:
		s.mutex.Lock()
		s.asked = now
		s.mutex.Unlock()
		go func() { _ = s.send(&lapisv1.CallFrame{Ping: true}) }()
	case !asked.IsZero() && !was && now.Sub(asked) > bounds.Answer:
		s.setStalled(true)
		return true, true
	}
	return false, was
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

func isDone(channel chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
