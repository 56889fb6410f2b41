package objectstore

import (
	"net/http"
	"sync"
	"time"
)

// Traffic is the number of calls within one second.
type Traffic struct{ Reads, Writes int }

// traffic counts calls by the second. It is safe for concurrent use; the zero value is ready.
type traffic struct {
	// mutex protects seconds, by their number since 1970.
	mutex   sync.Mutex
	seconds map[int64]Traffic
}

func (t *traffic) count(method string, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.seconds == nil {
		t.seconds = map[int64]Traffic{}
	}
	second := t.seconds[at.Unix()]
	if method == http.MethodGet {
		second.Reads++
	} else {
		second.Writes++
	}
	t.seconds[at.Unix()] = second
}

// Busiest returns the most reads and the most writes of any second from a time on; the two may be of
// different seconds. Refused calls count too.
func (s *Server) Busiest(from time.Time) Traffic {
	s.traffic.mutex.Lock()
	defer s.traffic.mutex.Unlock()
	most := Traffic{}
	for number, second := range s.traffic.seconds {
		if number >= from.Unix() {
			most.Reads, most.Writes = max(most.Reads, second.Reads), max(most.Writes, second.Writes)
		}
	}
	return most
}
