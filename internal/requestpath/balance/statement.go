package balance

import (
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// statementTTL is how long the statement of an instance is kept after the instance was last listed. It may
// come back, because its daemon restarts or is cut off, or answer a call that is in flight. The time
// exceeds the longest delay of a heartbeat, which could announce an instance again after it left.
const statementTTL = 10 * time.Minute

// statement is what an instance last stated about itself in an answer that this daemon received. It is
// kept apart from the other observations, because it still holds after a restart of the daemon beside the
// instance. It is safe for concurrent use.
type statement struct {
	// unlistedAt is when the instance was first found missing in the endpoint list; zero while it is
	// listed. The mutex of the balancer protects it.
	unlistedAt time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	limit   callapi.RateLimit
	leaving bool
}

// record records what an answer states. That an instance leaves is never taken back.
func (s *statement) record(limit callapi.RateLimit, leaving bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.limit = limit
	s.leaving = s.leaving || leaving
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

// statements holds the statements of the instances of one service, by instance. Its size is that of the
// endpoint list, plus the instances that left within statementTTL.
type statements map[string]*statement

// list returns the statements of the listed instances, which are created if necessary, and drops those of
// instances that have not been listed for statementTTL.
func (s statements) list(endpoints []*lapisv1.Endpoint, now time.Time) map[string]*statement {
	listed := make(map[string]*statement, len(endpoints))
	s.dropExpired(now)
	for _, endpoint := range endpoints {
		instance := endpoint.GetInstance()
		known := s[instance]
		if known == nil {
			known = &statement{}
			s[instance] = known
		}
		known.unlistedAt = time.Time{}
		listed[instance] = known
	}
	for instance, known := range s {
		if listed[instance] == nil && known.unlistedAt.IsZero() {
			known.unlistedAt = now
		}
	}
	return listed
}

func (s statements) dropExpired(now time.Time) {
	for instance, known := range s {
		if !known.unlistedAt.IsZero() && now.Sub(known.unlistedAt) >= statementTTL {
			delete(s, instance)
		}
	}
}

// RecordStatement records what the instance states about itself in an answer.
func (t *Target) RecordStatement(limit callapi.RateLimit, leaving bool) {
	t.statement.record(limit, leaving)
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
