// Package objectstore emulates the platform's metadata store. It supports kinds of objects with
// revisions, status and finalizers, conditional writes, paginated lists, watches with a history, rate
// limits, and faults that are injected at run time. A Server owns its listeners and keeps all objects
// in memory; Close ends it.
package objectstore

import (
	"bytes"
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

// Limits of the server.
const (
	// maxWait is the maximum time that a watch waits for changes.
	maxWait      = 30 * time.Second
	maxBodyBytes = 2 << 20
)

// Options configure a Server.
type Options struct {
	// Address is the listen address; "127.0.0.1:0" picks a free port.
	Address string
	// ReadsPerSecond and WritesPerSecond limit the rates of all callers together. Calls above a limit
	// are answered with 429; 0 disables the limit.
	ReadsPerSecond, WritesPerSecond float64
	// Seed is the random seed of the faults.
	Seed uint64
	// WithoutEra omits the era header from all answers.
	WithoutEra bool
	// Disrupted is called when a disruption of the store begins or ends; nil if nobody wants to know.
	Disrupted func(Disruption)
}

// Server is an emulated metadata store. Create it with Start and end it with Close.
type Server struct {
	table    *table
	listener net.Listener
	http     *http.Server
	reads    *rate.Limiter
	writes   *rate.Limiter
	// withoutEra is Options.WithoutEra.
	withoutEra bool
	traffic    traffic
	disrupted  func(Disruption)

	// mutex protects everything below.
	mutex  sync.Mutex
	faults Faults
	random *rand.Rand
	// watchCancels holds a channel for each listen address; closing it ends the watches that wait there.
	watchCancels map[string]chan struct{}
	// texts holds the texts that stand for placeholders in specs (PutText).
	texts map[string]string
	// reported is the newest revision in an answer to a list or watch, by kind.
	reported map[string]uint64
}

// Start opens the listener and starts serving in the background.
func Start(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, result.Wrap(result.SettingsBadAddress, err, "listening on %s", options.Address)
	}
	server := &Server{
		table: newTable(), listener: listener, withoutEra: options.WithoutEra,
		reads: newLimiter(options.ReadsPerSecond), writes: newLimiter(options.WritesPerSecond),
		disrupted: options.Disrupted,
		random:    rand.New(rand.NewPCG(options.Seed, 1)), watchCancels: map[string]chan struct{}{}, reported: map[string]uint64{}, texts: map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.PathObjects, server.serve)
	server.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.http.Serve(listener) }()
	return server, nil
}

// ListenAlso serves at an additional address, so that faults can be restricted to it. It returns the
// address.
func (s *Server) ListenAlso(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", result.Wrap(result.SettingsBadAddress, err, "listening on %s", address)
	}
	go func() { _ = s.http.Serve(listener) }()
	return listener.Addr().String(), nil
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(int(perSecond), 1))
}

// Address returns the address of the first listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and all watches.
func (s *Server) Close() { _ = s.http.Close() }

// Objects returns the objects of a kind, regardless of the faults.
func (s *Server) Objects(kind string) []platform.Object { return s.table.list(kind, "").Items }

// PutSpec writes an object's spec as an operator would, regardless of the faults.
func (s *Server) PutSpec(kind, name string, value any) error {
	spec, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.table.mutate(kind, name, 0, func(current platform.Object, _ bool) (platform.Object, bool) {
		current.Spec = spec
		return current, true
	})
	return nil
}

// PutText writes a text as an object's spec, which may be none that encoding/json accepts, such as one that is nested
// too deep.
func (s *Server) PutText(kind, name, text string) error {
	placeholder := "text of " + kind + "/" + name
	s.mutex.Lock()
	s.texts[placeholder] = text
	s.mutex.Unlock()
	return s.PutSpec(kind, name, placeholder)
}

// ReportedRevision returns the newest revision in an answer to a list or watch of a kind.
func (s *Server) ReportedRevision(kind string) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.reported[kind]
}

// answerAtRevision answers a list or watch of a kind and records the revision as reported.
func (s *Server) answerAtRevision(w http.ResponseWriter, kind string, revision uint64, value any) {
	s.writeJSON(s.throttled(w), value)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reported[kind] = max(s.reported[kind], revision)
}

// Remove deletes an object as an operator would, regardless of the faults.
func (s *Server) Remove(kind, name string) { s.table.remove(kind, name, 0) }

// TakeBackup returns a backup of the store, to be passed to Restore.
func (s *Server) TakeBackup() *Backup { return s.table.backup() }

// Restore restores the store from a backup, which can be used only once. Later writes are lost,
// revisions go back, and the era increases by one. Waiting watches end without an answer.
func (s *Server) Restore(backup *Backup) {
	s.table.restore(backup)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.reported)
	s.endWatches(Faults{Reset: true})
	s.notifyDisruption(Outage)
	s.notifyDisruption(s.faults.disruption())
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.traffic.count(r.Method, time.Now())
	if !s.withoutEra {
		w.Header().Set(platform.HeaderStoreEra, strconv.FormatUint(s.table.currentEra(), 10))
	}
	injected := s.injectFaults(localAddress(r))
	if !s.admit(w, r, injected) {
		return
	}
	kind, name, part := splitPath(r.URL.Path)
	if r.Method == http.MethodGet {
		s.read(w, r, injected, kind, name)
		return
	}
	s.write(w, r, injected, kind, name, part)
}

// read handles GET, which reads one object, a list or a watch.
func (s *Server) read(w http.ResponseWriter, r *http.Request, injected injectedFaults, kind, name string) {
	if name != "" {
		object, ok := s.table.get(kind, name)
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.writeJSON(w, object)
		return
	}
	query := r.URL.Query()
	if watch := query.Get("watch"); watch != "" {
		s.watch(w, r, injected, kind, watch)
		return
	}
	page := s.table.list(kind, query.Get("after"))
	s.answerAtRevision(w, kind, page.Revision, page)
}

// watch answers with the changes of a kind after a revision, as soon as there are any or the wait time
// has passed.
func (s *Server) watch(w http.ResponseWriter, r *http.Request, injected injectedFaults, kind, from string) {
	after, err := strconv.ParseUint(from, 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timer.Stop()
	for {
		changes, changed, compacted := s.table.changesSince(kind, after)
		frozen := s.injectFaults(injected.address).faults.FreezeWatches
		switch {
		case compacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(changes.Events) > 0 && !frozen:
			s.answerAtRevision(w, kind, changes.Revision, changes)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			if frozen {
				changes = platform.Changes{Events: []platform.Event{}, Revision: after}
			}
			s.answerAtRevision(w, kind, changes.Revision, changes)
			return
		case <-injected.watchEnd:
			closeConnection(w)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write performs a change. The faults may delay it and suppress the answer.
func (s *Server) write(w http.ResponseWriter, r *http.Request, injected injectedFaults, kind, name, part string) {
	var object platform.Object
	if r.Method != http.MethodDelete {
		body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
		if err != nil || json.Unmarshal(body, &object) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if kind == platform.KindConfig {
		// Only the operator writes the configuration, through PutSpec.
		w.WriteHeader(http.StatusForbidden)
		return
	}
	expected, _ := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	perform := func() writeResult { return s.perform(r.Method, kind, name, part, object, expected) }
	if injected.dropAnswer {
		if injected.writeDelay > 0 {
			time.AfterFunc(injected.writeDelay, func() { perform() })
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
		_, _ = w.Write(s.encode(outcome.object))
	default:
		s.writeJSON(w, outcome.object)
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

// splitPath splits a path of the form /objects/KIND/NAME/PART.
func splitPath(path string) (kind, name, part string) {
	pieces := strings.SplitN(strings.TrimPrefix(path, platform.PathObjects), "/", 3)
	pieces = append(pieces, "", "")
	return pieces[0], pieces[1], pieces[2]
}

func (s *Server) writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(s.encode(value))
}

// encode encodes an answer, with texts in place of their placeholders.
func (s *Server) encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // Each answer consists of objects that were decoded, or encoded before.
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for placeholder, text := range s.texts {
		encoded = bytes.ReplaceAll(encoded, []byte(strconv.Quote(placeholder)), []byte(text))
	}
	return encoded
}

// closeConnection closes the connection without an answer.
func closeConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}
