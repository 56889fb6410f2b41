package objectstore

import (
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Writes that are done late are done after lateMin and up to lateSpread more.
const (
	lateMin    = 50 * time.Millisecond
	lateSpread = 200 * time.Millisecond
)

// Faults are the disturbances that can be switched on. The zero value is a healthy store.
type Faults struct {
	// Down answers every call with 503; nothing is done.
	Down bool
	// Silent answers nothing until the caller gives up; nothing is done.
	Silent bool
	// Reset closes the connection of every call; nothing is done.
	Reset bool
	// Delay slows every answer.
	Delay time.Duration
	// LoseWrites is the share of the writes that are done and not answered;
	// with Late they are done only a moment later.
	LoseWrites float64
	Late       bool
	// FreezeWatches has watches report no changes.
	FreezeWatches bool
	// Only are the addresses, as ListenAlso returned them, at which the faults are in force; empty
	// for everywhere.
	Only map[string]bool
}

// unavailable reports whether calls are not served.
func (f Faults) unavailable() bool { return f.Down || f.Silent || f.Reset }

// at returns the faults in force at an address.
func (f Faults) at(address string) Faults {
	if len(f.Only) > 0 && !f.Only[address] {
		return Faults{}
	}
	return f
}

// SetFaults replaces the faults in force. Watches that wait end when the store goes down.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	if faults.Down || faults.Reset || faults.Silent {
		s.cutWatches(faults)
	}
}

// CompactHistory drops the history of changes and cuts the watches.
func (s *Server) CompactHistory() {
	s.table.compactHistory()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutWatches(Faults{Reset: true})
}

// cutWatches ends the waiting watches where the faults make the store unavailable; the caller holds
// mutex.
func (s *Server) cutWatches(faults Faults) {
	for address, cut := range s.cuts {
		if faults.at(address).unavailable() {
			close(cut)
			delete(s.cuts, address)
		}
	}
}

// disturbance is what the faults do to one call.
type disturbance struct {
	faults  Faults
	lose    bool
	late    time.Duration
	cut     <-chan struct{}
	address string
}

// disturb returns what the faults do to a call at an address.
func (s *Server) disturb(address string) disturbance {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cuts[address] == nil {
		s.cuts[address] = make(chan struct{})
	}
	faults := s.faults.at(address)
	disturbed := disturbance{faults: faults, cut: s.cuts[address], address: address}
	disturbed.lose = s.random.Float64() < faults.LoseWrites
	if faults.Late {
		disturbed.late = lateMin + time.Duration(s.random.Float64()*float64(lateSpread))
	}
	return disturbed
}

// admit applies the faults that keep a call from being done, and the rates.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, disturbed disturbance) bool {
	faults := disturbed.faults
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return false
	case faults.Reset:
		hangUp(w)
		return false
	case faults.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	limit := s.writes
	if r.Method == http.MethodGet {
		limit = s.reads
	}
	if r.URL.Query().Get("stale") == "" && !limit.Allow() {
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	return sleep.For(r.Context(), faults.Delay)
}
