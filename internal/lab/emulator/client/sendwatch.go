package client

import (
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// sendWatch notes how often the HTTP library sends a request: by itself it sends one without a body
// again when a kept connection ends before the first byte of an answer. The first time it went
// unanswered.
type sendWatch struct {
	ledger *promise.Ledger
	id     string

	// mutex protects sentAt, when the request was last sent whole; zero before.
	mutex  sync.Mutex
	sentAt time.Time
}

// trace returns the hooks for the HTTP library.
func (s *sendWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{WroteRequest: func(written httptrace.WroteRequestInfo) {
		s.unanswered("its connection ended, and it was sent again")
		if written.Err == nil {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			s.sentAt = time.Now()
		}
	}}
}

// unanswered records that the last send, if there was one, got no answer.
func (s *sendWatch) unanswered(how string) {
	s.mutex.Lock()
	sentAt := s.sentAt
	s.sentAt = time.Time{}
	s.mutex.Unlock()
	if sentAt.IsZero() {
		return
	}
	s.ledger.Unanswered(promise.Unanswered{Request: s.id, SentAt: sentAt, EndedAt: time.Now(), Cause: how})
}
