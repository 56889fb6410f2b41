// Package objectapistub is a stand-in for the platform: an object API with
// versions, compare-and-swap, watches and compaction, and a machine list that
// shows changes after a delay, served over HTTP/JSON. Faults can be set while it
// runs. It deliberately shares no HTTP code with the daemon's servers.
package objectapistub

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Limits of the stand-in.
const (
	// defaultWatchCap is the maximum number of concurrent watches if Options.WatchCap is 0.
	defaultWatchCap  = 40
	bookmarkInterval = time.Second
	maxBodyBytes     = 32 << 20
)

// Faults are the faults that can be set at run time. The zero value is a healthy
// platform.
type Faults struct {
	// Down answers every request with 503 and ends running watches.
	Down bool `json:"down"`
	// DelayMillis is the delay of every answer, in milliseconds.
	DelayMillis int `json:"delay_millis"`
	// LoseAnswerPercent is the percentage of writes that take effect but are not
	// answered.
	LoseAnswerPercent int `json:"lose_answer_percent"`
	// EventDelayMillis is the delay of watch events, in milliseconds.
	EventDelayMillis int `json:"event_delay_millis"`
	// ReverseEvents sends the events of one burst in reverse order.
	ReverseEvents bool `json:"cross_events"`
	// FreezeMachines stops updates of the machine list.
	FreezeMachines bool `json:"freeze_machines"`
}

// Server is the stand-in for the platform. Create it with Start and end it with
// Close.
type Server struct {
	store    *store
	machines *machineList
	listener net.Listener
	http     *http.Server
	token    string
	watchCap int

	mutex  sync.Mutex
	faults Faults
	random *rand.Rand
	// watchesBroken is closed when running watches must end.
	watchesBroken chan struct{}

	watchers       atomic.Int64
	peakWatchers   atomic.Int64
	requests       atomic.Int64
	refusedWatches atomic.Int64
}

// Options configure a Server.
type Options struct {
	// Address is the listen address; with "127.0.0.1:0" the system chooses a port.
	Address string
	// Token is the bearer token that clients must send; "" for none.
	Token string
	// WatchCap is the maximum number of concurrent watches; 0 for the default.
	WatchCap int
	// MachineLag is the delay until the machine list shows a change.
	MachineLag time.Duration
	// Seed is the seed for the random choice of lost answers.
	Seed uint64
}

// Start opens the listener and serves requests in the background.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadAddress, err, "listening on %s", options.Address)
	}
	server := &Server{
		store:         newStore(),
		machines:      newMachineList(options.MachineLag),
		listener:      listener,
		token:         options.Token,
		watchCap:      options.WatchCap,
		random:        rand.New(rand.NewPCG(options.Seed, 1)),
		watchesBroken: make(chan struct{}),
	}
	if server.watchCap == 0 {
		server.watchCap = defaultWatchCap
	}
	server.http = &http.Server{Handler: server.routes(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and ends all watches.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults replaces the current faults.
func (s *Server) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.Down && !s.faults.Down {
		close(s.watchesBroken)
		s.watchesBroken = make(chan struct{})
	}
	s.faults = faults
	s.machines.setFrozen(faults.FreezeMachines)
}

// Compact drops all stored events, so that clients of older watches must list again.
func (s *Server) Compact() { s.store.compact() }

// SetMachine adds or changes a machine; the list shows it after its lag.
func (s *Server) SetMachine(machine objectapi.Machine) { s.machines.set(machine) }

// RemoveMachine removes a machine; the list shows it after its lag.
func (s *Server) RemoveMachine(node string) { s.machines.remove(node) }

// Load counts the requests and watches that the stand-in served.
type Load struct {
	Requests, RefusedWatches, PeakWatchers int64
}

// Load returns the totals since the start.
func (s *Server) Load() Load {
	return Load{
		Requests:       s.requests.Load(),
		RefusedWatches: s.refusedWatches.Load(),
		PeakWatchers:   s.peakWatchers.Load(),
	}
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/object", s.admit(s.serveGet))
	mux.HandleFunc("PUT /v1/object", s.admit(s.servePut))
	mux.HandleFunc("DELETE /v1/object", s.admit(s.serveDelete))
	mux.HandleFunc("PUT /v1/status", s.admit(s.servePutStatus))
	mux.HandleFunc("GET /v1/list", s.admit(s.serveList))
	mux.HandleFunc("GET /v1/watch", s.admit(s.serveWatch))
	mux.HandleFunc("GET /v1/machines", s.admit(s.serveMachines))
	mux.HandleFunc("PUT /lab/faults", s.serveFaults)
	return mux
}

// admit counts a request, checks the token and applies the faults Down and
// DelayMillis.
func (s *Server) admit(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		faults := s.currentFaults()
		if faults.Down {
			http.Error(w, "the store is down", http.StatusServiceUnavailable)
			return
		}
		if s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token {
			http.Error(w, "unknown token", http.StatusUnauthorized)
			return
		}
		if !sleep.For(r.Context(), time.Duration(faults.DelayMillis)*time.Millisecond) {
			return
		}
		next(w, r)
	}
}

func (s *Server) currentFaults() Faults {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults
}

// losesAnswer reports whether the answer to a write is lost, which it draws at random.
func (s *Server) losesAnswer() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(100) < s.faults.LoseAnswerPercent
}

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := s.store.get(r.URL.Query().Get("key"))
	writeAnswer(w, object, err)
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	writeAnswer(w, s.store.list(query.Get("prefix"), query.Get("start"), limit), nil)
}

func (s *Server) serveMachines(w http.ResponseWriter, r *http.Request) {
	machines := s.machines.list(r.URL.Query().Get("zone"))
	encoded, err := json.Marshal(machines)
	tag := fmt.Sprintf("\"%x\"", xxhash.Sum64(encoded))
	if err == nil && r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("ETag", tag)
	writeAnswer(w, machines, err)
}

// write reads the parameters that all writes share, applies the write and answers it unless the
// fault LoseAnswerPercent drops the answer.
func (s *Server) write(w http.ResponseWriter, r *http.Request, apply func(key string, body []byte, expected int64) (int64, error)) {
	expected, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return
	}
	version, err := apply(r.URL.Query().Get("key"), body, expected)
	if err == nil && s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, map[string]int64{"version": version}, err)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) { s.write(w, r, s.store.put) }

func (s *Server) servePutStatus(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(key string, body []byte, expected int64) (int64, error) {
		return expected, s.store.putStatus(key, body, expected)
	})
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, func(key string, _ []byte, expected int64) (int64, error) {
		return 0, s.store.remove(key, expected)
	})
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	watchers := s.watchers.Add(1)
	defer s.watchers.Add(-1)
	if watchers > int64(s.watchCap) {
		s.refusedWatches.Add(1)
		http.Error(w, "too many watches", http.StatusTooManyRequests)
		return
	}
	for peak := s.peakWatchers.Load(); watchers > peak && !s.peakWatchers.CompareAndSwap(peak, watchers); {
		peak = s.peakWatchers.Load()
	}
	version, err := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		http.Error(w, "bad version", http.StatusBadRequest)
		return
	}
	s.stream(w, r, version)
}

// stream sends events until the client disconnects, the store compacts past the version of the
// watch, or the fault Down is set.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, version int64) {
	prefixes := r.URL.Query()["prefix"]
	s.mutex.Lock()
	broken := s.watchesBroken
	s.mutex.Unlock()
	encoder := json.NewEncoder(w)
	bookmark := time.NewTicker(bookmarkInterval)
	defer bookmark.Stop()
	started := false
	for {
		events, reached, changed, err := s.store.eventsAfter(version, prefixes)
		if err != nil {
			if !started {
				writeAnswer(w, nil, err)
			}
			return
		}
		if !s.sendEvents(r.Context(), encoder, events) {
			return
		}
		if !started {
			started = true
			_ = encoder.Encode(objectapi.Event{Type: objectapi.EventBookmark, Version: reached})
		}
		version = reached
		_ = http.NewResponseController(w).Flush()
		select {
		case <-changed:
		case <-bookmark.C:
			_ = encoder.Encode(objectapi.Event{Type: objectapi.EventBookmark, Version: version})
		case <-broken:
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) sendEvents(ctx context.Context, encoder *json.Encoder, events []objectapi.Event) bool {
	faults := s.currentFaults()
	if len(events) > 0 && !sleep.For(ctx, time.Duration(faults.EventDelayMillis)*time.Millisecond) {
		return false
	}
	for index := range events {
		event := events[index]
		if faults.ReverseEvents {
			event = events[len(events)-1-index]
		}
		if err := encoder.Encode(event); err != nil {
			return false
		}
	}
	return true
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func writeAnswer(w http.ResponseWriter, value any, err error) {
	if err == nil {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
		return
	}
	code, _ := result.CodeOf(err)
	switch code {
	case result.PlatformNotFound:
		http.Error(w, err.Error(), http.StatusNotFound)
	case result.PlatformConflict:
		http.Error(w, err.Error(), http.StatusConflict)
	case result.PlatformCompacted:
		http.Error(w, err.Error(), http.StatusGone)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
