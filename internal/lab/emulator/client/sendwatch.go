package client

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// sendTracker detects that the HTTP library resends a request. The library does so for a request
// without a body if a reused connection ends before the first byte of the answer. The earlier send then
// counts as unanswered.
type sendTracker struct {
	ledger *promise.Ledger
	id     string

	// mutex protects sentAt, the time at which the request was last sent completely; zero before that.
	mutex  sync.Mutex
	sentAt time.Time
}

// trace returns the HTTP client hooks that track the request.
func (s *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: func(written httptrace.WroteRequestInfo) {
		s.recordUnanswered("the connection ended and the HTTP library resent the request")
		if written.Err == nil {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.sentAt = time.Now()
		}
	}}
}

// recordUnanswered records that the last complete send, if any, received no answer.
func (s *sendTracker) recordUnanswered(cause string) {
	s.mutex.Lock()
	sentAt := s.sentAt
	s.sentAt = time.Time{}
	s.mutex.Unlock()
	if sentAt.IsZero() {
		return
	}
	s.ledger.Unanswered(promise.Unanswered{Request: s.id, SentAt: sentAt, EndedAt: time.Now(), Cause: cause})
}
