// Package objectstore is a stand-in for the platform's metadata store: kinds of
// objects with revisions, status and finalizers, conditional writes, lists in
// pages, watches with a history, rates, and faults that are switched on at run time. A Server owns
// its listeners and all objects, in memory; Close ends it.
package objectstore

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/platform"
)

// Bounds of the stand-in.
const (
	// maxWait bounds the wait of a watch.
	maxWait      = 30 * time.Second
	maxBodyBytes = 2 << 20
)

// Options configure a Server.
type Options struct {
	// Address is where to listen; "127.0.0.1:0" picks a port.
	Address string
	// ReadsPerSecond and WritesPerSecond bound all callers together, who get 429 beyond; 0 for no
	// bound.
	ReadsPerSecond, WritesPerSecond float64
	// Seed seeds the faults' randomness.
	Seed uint64
	// WithoutEra leaves the era out of all answers.
	WithoutEra bool
}

// Server is the stand-in. Create it with Start and end it with Close.
type Server struct {
	table    *table
	listener net.Listener
	http     *http.Server
	reads    *rate.Limiter
	writes   *rate.Limiter
	// withoutEra is that of the Options.
	withoutEra bool
	traffic    traffic

	// mutex protects everything below.
	mutex  sync.Mutex
	faults Faults
	random *rand.Rand
	// cuts are closed and replaced to end the watches that wait at an address.
	cuts map[string]chan struct{}
	// reported gives by kind the newest revision that a list or watch was answered with.
	reported map[string]uint64
}

// Start opens the listener and serves in the background.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadAddress, err, "listening on %s", options.Address)
	}
	server := &Server{
		table: newTable(), listener: listener, withoutEra: options.WithoutEra,
		reads: limiter(options.ReadsPerSecond), writes: limiter(options.WritesPerSecond),
		random: rand.New(rand.NewPCG(options.Seed, 1)), cuts: map[string]chan struct{}{}, reported: map[string]uint64{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathObjects, server.serve)
	server.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// ListenAlso serves at another address too, so that faults may strike there only.
// It returns the address.
func (s *Server) ListenAlso(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", result.Wrap(result.SettingsBadAddress, err, "listening on %s", address)
	}
	go func() { _ = s.http.Serve(listener) }()
	return listener.Addr().String(), nil
}

func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Address returns where the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all watches.
func (s *Server) Close() { _ = s.http.Close() }

// Objects returns the objects of a kind, whatever the faults.
func (s *Server) Objects(kind string) []platform.Object { return s.table.list(kind, "").Items }

// PutSpec writes an object's spec as an operator does, whatever the faults.
func (s *Server) PutSpec(kind, name string, value any) error {
	spec, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.table.mutate(kind, name, 0, func(present platform.Object, _ bool) (platform.Object, bool) {
		present.Spec = spec
		return present, true
	})
	return nil
}

// ReportedRevision returns the newest revision that a list or watch of a kind was answered with.
func (s *Server) ReportedRevision(kind string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reported[kind]
}

// answerAt answers a list or watch of a kind at a revision.
func (s *Server) answerAt(w http.ResponseWriter, kind string, at uint64, value any) {
	answer(w, value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported[kind] = max(s.reported[kind], at)
}

// Remove deletes an object as an operator does, whatever the faults.
func (s *Server) Remove(kind, name string) { s.table.remove(kind, name, 0) }

// KeepCopy returns a copy of what the store holds, for ComeBack.
func (s *Server) KeepCopy() *Copy { return s.table.copy() }

// ComeBack replaces what the store holds by a copy of itself, which can be used once: what was written
// since is gone, revisions go back, and the era rises by one. Watches that wait end without an
// answer.
func (s *Server) ComeBack(held *Copy) {
	s.table.comeBack(held)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.reported)
	s.cutWatches(Faults{Reset: true})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.traffic.count(r.Method, time.Now())
	if !s.withoutEra {
		w.Header().Set(platform.HeaderStoreEra, strconv.FormatUint(s.table.currentEra(), 10))
	}
	disturbed := s.disturb(localAddress(r))
	if !s.admit(w, r, disturbed) {
		return
	}
	kind, name, part := splitPath(r.URL.Path)
	if r.Method == http.MethodGet {
		s.read(w, r, disturbed, kind, name)
		return
	}
	s.write(w, r, disturbed, kind, name, part)
}

// read answers GET: one object, a list, or a watch.
func (s *Server) read(w http.ResponseWriter, r *http.Request, disturbed disturbance, kind, name string) {
	if name != "" {
		object, ok := s.table.get(kind, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, object)
		return
	}
	query := r.URL.Query()
	if watch := query.Get("watch"); watch != "" {
		s.watch(w, r, disturbed, kind, watch)
		return
	}
	page := s.table.list(kind, query.Get("after"))
	s.answerAt(w, kind, page.Revision, page)
}

// watch answers with the changes of a kind after a revision, once there are any or the wait is over.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, disturbed disturbance, kind, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		changes, changed, compacted := s.table.since(kind, after)
		frozen := s.disturb(disturbed.address).faults.FreezeWatches
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0 && !frozen:
			s.answerAt(w, kind, changes.Revision, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if frozen {
				changes = platform.Changes{Events: []platform.Event{}, Revision: after}
			}
			s.answerAt(w, kind, changes.Revision, changes)
			return
		case <-disturbed.cut:
			hangUp(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write performs a change, which the faults may delay and leave unanswered.
func (s *Server) write(w http.ResponseWriter, r *http.Request, disturbed disturbance, kind, name, part string) {
	var object platform.Object
	if r.Method != http.MethodDelete {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || json.Unmarshal(body, &object) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if kind == platform.KindConfig {
		// The operator's alone.
		w.WriteHeader(http.StatusForbidden)
		return
	}
	expected, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	perform := func() writeResult { return s.perform(r.Method, kind, name, part, object, expected) }
	if disturbed.lose {
		if disturbed.late > 0 {
			time.AfterFunc(disturbed.late, func() { perform() })
		} else {
			perform()
		}
		<-r.Context().Done()
		return
	}
	outcome := perform()
	switch {
	case outcome.missing:
		w.WriteHeader(http.StatusNotFound)
	case outcome.conflict:
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(outcome.object)
	default:
		answer(w, outcome.object)
	}
}

func (s *Server) perform(method, kind, name, part string, object platform.Object, expected uint64) writeResult {
	if object.Metadata.Revision == 0 {
		object.Metadata.Revision = expected
	}
	switch {
	case method == http.MethodPost:
		return s.table.create(kind, object)
	case method == http.MethodDelete:
		return s.table.remove(kind, name, expected)
	case part == "status":
		return s.table.replaceStatus(kind, name, object)
	default:
		return s.table.replaceSpec(kind, name, object)
	}
}

func localAddress(r *http.Request) string {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return ""
	}
	return local.String()
}

// splitPath splits /objects/KIND/NAME/PART.
func splitPath(path string) (kind, name, part string) {
	pieces := strings.SplitN(strings.TrimPrefix(path, platform.PathObjects), "/", 3)
	pieces = append(pieces, "", "")
	return pieces[0], pieces[1], pieces[2]
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// hangUp closes the connection without an answer.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
