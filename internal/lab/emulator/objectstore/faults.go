package objectstore

import (
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// A delayed write takes effect after minWriteDelay plus a random part of writeDelayJitter.
const (
	minWriteDelay    = 50 * time.Millisecond
	writeDelayJitter = 200 * time.Millisecond
)

// Faults are the faults that can be injected. The zero value is a healthy store.
type Faults struct {
	// Down answers every call with 503 without performing it.
	Down bool
	// Silent leaves every call unanswered until the caller gives up, without performing it.
	Silent bool
	// Reset closes the connection of every call without performing it.
	Reset bool
	// Delay is the time by which every call is delayed.
	Delay time.Duration
	// DroppedAnswerShare is the share of writes, 0 to 1, that are performed but not answered. With
	// DelayWrites these writes, and no others, are performed after a random delay.
	DroppedAnswerShare float64
	DelayWrites        bool
	// BytesPerSecond is the rate at which each answer to a list or watch is sent, as over a thin link; 0 for no limit.
	// It is not a disruption.
	BytesPerSecond float64
	// FreezeWatches makes watches report no changes.
	FreezeWatches bool
	// Addresses are the listen addresses at which the faults apply, as ListenAlso returned them; empty
	// for all addresses.
	Addresses map[string]bool
}

// throttled returns a writer for an answer that is sent at Faults.BytesPerSecond.
func (s *Server) throttled(w http.ResponseWriter) http.ResponseWriter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.faults.BytesPerSecond <= 0 {
		return w
	}
	return &throttledWriter{ResponseWriter: w, bytesPerSecond: s.faults.BytesPerSecond}
}

// throttledWriter limits the rate of an answer.
type throttledWriter struct {
	http.ResponseWriter
	bytesPerSecond float64
}

// Write implements io.Writer.
func (t *throttledWriter) Write(content []byte) (int, error) {
	time.Sleep(time.Duration(float64(len(content)) / t.bytesPerSecond * float64(time.Second)))
	return t.ResponseWriter.Write(content)
}

// Disruption is how a store is disrupted as a whole.
type Disruption int

// The disruptions of a store.
const (
	Undisturbed Disruption = iota
	// Partial concerns some callers only, or watches.
	Partial
	// Outage concerns all callers: the store is down or slow, or loses answers.
	Outage
)

// disruption returns the disruption that the faults are.
func (f Faults) disruption() Disruption {
	switch {
	case !f.unavailable() && f.Delay == 0 && f.DroppedAnswerShare == 0 && !f.FreezeWatches:
		return Undisturbed
	case len(f.Addresses) > 0, f.FreezeWatches:
		return Partial
	default:
		return Outage
	}
}

// notifyDisruption calls Options.Disrupted.
func (s *Server) notifyDisruption(disruption Disruption) {
	if s.disrupted != nil {
		s.disrupted(disruption)
	}
}

// unavailable reports whether the store serves no calls.
func (f Faults) unavailable() bool { return f.Down || f.Silent || f.Reset }

// activeAt returns the faults that apply at a listen address.
func (f Faults) activeAt(address string) Faults {
	if len(f.Addresses) > 0 && !f.Addresses[address] {
		return Faults{}
	}
	return f
}

// SetFaults replaces the injected faults. Waiting watches end if the store becomes unavailable.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults = faults
	s.notifyDisruption(faults.disruption())
	if faults.Down || faults.Reset || faults.Silent {
		s.endWatches(faults)
	}
}

// CompactHistory drops the history of changes and ends the waiting watches.
func (s *Server) CompactHistory() {
	s.table.compactHistory()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endWatches(Faults{Reset: true})
	s.notifyDisruption(Partial)
	s.notifyDisruption(s.faults.disruption())
}

// endWatches ends the waiting watches at all addresses at which the faults make the store unavailable.
// The caller holds mutex.
func (s *Server) endWatches(faults Faults) {
	for address, end := range s.watchCancels {
		if faults.activeAt(address).unavailable() {
			close(end)
			delete(s.watchCancels, address)
		}
	}
}

// injectedFaults are the faults that apply to one call.
type injectedFaults struct {
	faults     Faults
	dropAnswer bool
	writeDelay time.Duration
	watchEnd   <-chan struct{}
	address    string
}

// injectFaults selects the faults of a call at a listen address.
func (s *Server) injectFaults(address string) injectedFaults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watchCancels[address] == nil {
		s.watchCancels[address] = make(chan struct{})
	}
	faults := s.faults.activeAt(address)
	injected := injectedFaults{faults: faults, watchEnd: s.watchCancels[address], address: address}
	injected.dropAnswer = s.random.Float64() < faults.DroppedAnswerShare
	if faults.DelayWrites {
		injected.writeDelay = minWriteDelay + time.Duration(s.random.Float64()*float64(writeDelayJitter))
	}
	return injected
}

// admit applies the rate limits and the faults that prevent a call from being performed. It reports
// whether the call is to be performed.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, injected injectedFaults) bool {
	faults := injected.faults
	switch {
	case faults.Silent:
		<-r.Context().Done()
		return false
	case faults.Reset:
		closeConnection(w)
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
