package callmux

import "context"

// Each direction of a stream has a window: the receiver grants credit as its reader takes bytes, the
// sender waits for it. On narrow links the sender keeps less on its way (inflight.go).

// Windows and sizes in bytes.
const (
	// BufferedBodyBytes is the largest body that a caller's daemon reads whole, so that the call
	// can be sent again.
	BufferedBodyBytes = 64 << 10
	// openingBodyBytes is the largest body that is sent along with the opening frame,
	// before the call is admitted. Longer bodies of refused calls would fill the
	// links of overloaded daemons: with 64 KiB the share of worth on an
	// overloaded day with links of 10 Mbit/s fell to 0.11 within 14 s, with 4 KiB to 0.53.
	openingBodyBytes = 4 << 10
	// windowBytes is what one direction of a stream may have in flight. It is not below
	// BufferedBodyBytes, which earlier releases send at once.
	windowBytes = 256 << 10
	// grantAfterBytes is the amount read after which more is granted. Half of the window, so that a
	// body flows on while the grant is under way.
	grantAfterBytes = windowBytes / 2
	// chunkBytes is the largest piece of a body in one frame. It is far below windowBytes, so that
	// frames of other calls come between.
	chunkBytes = 16 << 10
)

// addCredit adds what the peer granted.
func (s *stream) addCredit(bytes uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	granted := int(min(bytes, windowBytes))
	s.credit += granted
	if s.granted {
		s.unacknowledged = max(s.unacknowledged-granted, 0)
	}
	s.granted = true
	s.notify()
}

// returnCredit returns what was taken of the credit and not sent.
func (s *stream) returnCredit(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit += bytes
	s.unacknowledged -= bytes
}

// grant returns the credit that is due; the caller holds mutex.
func (s *stream) grant() int {
	due := 0
	if s.lazyGrant && !s.ended {
		due = windowBytes
	}
	s.lazyGrant = false
	if s.consumed >= s.session.acknowledgeAfter() {
		due += s.consumed
		s.consumed = 0
	}
	s.allowance += due
	return due
}

// waitCredit waits until bytes may be sent and takes up to want of them.
func (s *stream) waitCredit(ctx context.Context, want int) (int, error) {
	for {
		s.mutex.Lock()
		if s.failure != nil {
			s.mutex.Unlock()
			return 0, s.failure
		}
		if taken := s.spare(want); taken > 0 {
			s.credit -= taken
			s.unacknowledged += taken
			s.mutex.Unlock()
			return taken, nil
		}
		wait := s.changed
		s.mutex.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

// spare returns how much more of the body may be sent now, at most want; the caller
// holds mutex.
func (s *stream) spare(want int) int {
	return max(min(want, s.credit, s.session.inFlight-s.unacknowledged), 0)
}
