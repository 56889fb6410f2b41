package callmux

import "context"

// Each direction of a stream has a flow control window. The receiver grants credit as its reader
// consumes bytes, and the sender waits for credit. On slow links the sender limits the bytes in flight
// further (inflight.go).

// Window and body sizes in bytes.
const (
	// MaxBufferedBodyBytes is the largest body that the caller's daemon buffers, so that the call can
	// be retried.
	MaxBufferedBodyBytes = 64 << 10
	// maxOpeningBodyBytes is the largest body that is sent together with the opening frame, before the
	// call is admitted. Longer bodies of refused calls would fill the links of overloaded daemons:
	// under overload, with links of 10 Mbit/s, the share of worth fell to 0.11 within 14 s with 64 KiB,
	// and to 0.53 with 4 KiB.
	maxOpeningBodyBytes = 4 << 10
	// windowBytes is the flow control window of one direction of a stream. It must not be below
	// MaxBufferedBodyBytes, which earlier releases send without waiting for credit.
	windowBytes = 256 << 10
	// grantThresholdBytes is the number of consumed bytes after which more credit is granted. It is
	// half of the window, so that the sender can continue while the grant is in transit.
	grantThresholdBytes = windowBytes / 2
	// maxChunkBytes is the largest part of a body in one frame. It is far below windowBytes, so that
	// frames of other calls are interleaved.
	maxChunkBytes = 16 << 10
)

// addCredit adds the credit in a grant from the peer.
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

// returnCredit gives back reserved credit that was not used.
func (s *stream) returnCredit(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit += bytes
	s.unacknowledged -= bytes
}

// grant returns the credit to send to the peer now, 0 for none. The caller holds mutex.
func (s *stream) grant() int {
	due := 0
	if s.grantOnRead && !s.ended {
		due = windowBytes
	}
	s.grantOnRead = false
	if s.consumed >= s.session.ackThreshold() {
		due += s.consumed
		s.consumed = 0
	}
	s.receiveCredit += due
	return due
}

// waitCredit waits until bytes may be sent, then reserves up to want bytes of credit.
func (s *stream) waitCredit(ctx context.Context, want int) (int, error) {
	for {
		s.mutex.Lock()
		if s.failure != nil {
			s.mutex.Unlock()
			return 0, s.failure
		}
		if reserved := s.sendable(want); reserved > 0 {
			s.credit -= reserved
			s.unacknowledged += reserved
			s.mutex.Unlock()
			return reserved, nil
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

// sendable returns the number of body bytes that may be sent now, at most want. The caller holds
// mutex.
func (s *stream) sendable(want int) int {
	return max(min(want, s.credit, s.session.maxInFlight-s.unacknowledged), 0)
}
