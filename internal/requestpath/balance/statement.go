package balance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// statementTTL is how long a statement of an instance is kept that is in no endpoint list any more. The
// instance may come back: its daemon restarts or is cut off. The time exceeds the longest delay of a
// heartbeat, which could announce an instance again after it left.
const statementTTL = 10 * time.Minute

// statement is what an instance last stated about itself in an answer that this daemon received. It is
// kept apart from the other observations, because it still holds after a restart of the daemon beside the
// instance. It is safe for concurrent use.
type statement struct {
	// mutex protects everything below.
	mutex   sync.Mutex
	limit   callapi.RateLimit
	leaving bool
	// receivedAt is when the latest statement was received.
	receivedAt time.Time
}

// record records what an answer states. That an instance leaves is never taken back.
func (s *statement) record(limit callapi.RateLimit, leaving bool, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.leaving = s.leaving || leaving
	s.receivedAt = now
}

// load returns the stated limit and whether the instance leaves; nil states neither.
func (s *statement) load() (limit callapi.RateLimit, leaving bool) {
	if s == nil {
		return callapi.RateLimit{}, false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.limit, s.leaving
}

// needed reports whether the statement of an instance that is in no endpoint list is kept.
func (s *statement) needed(now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return (s.limit.Stated || s.leaving) && now.Sub(s.receivedAt) < statementTTL
}

// statements holds the statements of the instances of one service, by instance. Its size is that of the
// endpoint list, plus the instances that left within statementTTL and stated something.
type statements map[string]*statement

// of returns the statement of an instance, which is created if necessary.
func (s statements) of(instance string) *statement {
	known := s[instance]
	if known == nil {
		known = &statement{}
		s[instance] = known
	}
	return known
}

// prune removes the statements of instances that are not listed and whose statement is not needed.
func (s statements) prune(listed map[string]bool, now time.Time) {
	for instance, known := range s {
		if !listed[instance] && !known.needed(now) {
			delete(s, instance)
		}
	}
}

// RecordStatement records what the instance states about itself in an answer.
func (t *Target) RecordStatement(limit callapi.RateLimit, leaving bool, now time.Time) {
	t.statement.record(limit, leaving, now)
}

// StatedLimit returns the rate limit that the instance stated in the last answer.
func (t *Target) StatedLimit() callapi.RateLimit {
	limit, _ := t.statement.load()
	return limit
}

// leaving reports whether the instance has stated that it is about to leave.
func (t *Target) leaving() bool {
	_, leaving := t.statement.load()
	return leaving
}
