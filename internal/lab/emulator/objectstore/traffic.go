package objectstore

import (
	"net/http"
	"sync"
	"time"
)

// Traffic is the number of read and write calls within one second.
type Traffic struct{ Reads, Writes int }

// traffic counts the calls of each second. It is safe for concurrent use; the zero value is ready to
// use.
type traffic struct {
	// mutex protects seconds, the traffic by Unix time in seconds.
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

// PeakRates returns the maximum number of reads and of writes in any second since a time. The two maxima
// may be from different seconds. Refused calls are included.
func (s *Server) PeakRates(from time.Time) Traffic {
	s.traffic.mutex.Lock()
	defer s.traffic.mutex.Unlock()
	peak := Traffic{}
	for number, second := range s.traffic.seconds {
		if number >= from.Unix() {
			peak.Reads, peak.Writes = max(peak.Reads, second.Reads), max(peak.Writes, second.Writes)
		}
	}
	return peak
}
