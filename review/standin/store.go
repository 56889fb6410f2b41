package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata is the store's metadata of an object.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  uint64   `json:"created-at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
}

// storedEvent is an event in the history of the store.
type storedEvent struct {
	event
	kind     string
	revision uint64
}

// store is a stand-in of the platform's metadata store (PROTOCOL.md). Each daemon gets an address of its
// own, so that the calls of a daemon can be told from those of others.
type store struct {
	mutex    sync.Mutex
	changed  chan struct{}
	revision uint64
	objects  map[string]map[string]object
	history  []storedEvent
	// down is true while every call is refused with 503, which means that nothing was done.
	down bool
	// lastMemberCall is the time of the last call for the daemons' own kinds, by caller, and memberCalls
	// their number since the beginning of the outage.
	lastMemberCall map[string]time.Time
	memberCalls    map[string]int
}

func newStore() *store {
	return &store{
		changed: make(chan struct{}), revision: 100, objects: map[string]map[string]object{},
		lastMemberCall: map[string]time.Time{}, memberCalls: map[string]int{},
	}
}

// serve serves the store for one caller and returns its address.
func (s *store) serve(caller string) string {
	listener := must(net.Listen("tcp", "127.0.0.1:0"))
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(caller, w, r) })
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String()
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	clear(s.memberCalls)
	s.wake()
}

// wake wakes the waiting watches; the caller holds mutex.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	written := s.objects[kind][name]
	written.Metadata.Name = name
	written.Spec = must(json.Marshal(spec))
	s.write(kind, written)
}

// write stores an object at the next revision; the caller holds mutex.
func (s *store) write(kind string, written object) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	if written.Metadata.CreatedAt == 0 {
		written.Metadata.CreatedAt = s.revision
	}
	written.Metadata.Revision = s.revision
	s.objects[kind][written.Metadata.Name] = written
	s.history = append(s.history, storedEvent{event: event{Object: written}, kind: kind, revision: s.revision})
	s.wake()
	return written
}

func (s *store) handle(caller string, w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mutex.Lock()
	if strings.HasPrefix(kind, "lapisvane-members") {
		s.lastMemberCall[caller] = time.Now()
		s.memberCalls[caller]++
	}
	down := s.down
	s.mutex.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost || r.Method == http.MethodPut:
		s.change(w, r, kind, name)
	default:
		s.remove(w, kind, name)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if found, ok := s.objects[kind][name]; ok {
		answer(w, http.StatusOK, found)
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	items := []object{}
	for name, found := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, found)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": false, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []event{}
		for _, stored := range s.history {
			if stored.kind == kind && stored.revision > after {
				events = append(events, stored.event)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		ended := len(events) > 0
		if !ended {
			select {
			case <-changed:
				continue
			case <-end:
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
		return
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if json.NewDecoder(r.Body).Decode(&sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, status := strings.CutSuffix(name, "/status")
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	present, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != present.Metadata.Revision:
		answer(w, http.StatusConflict, present)
		return
	case r.Method == http.MethodPut && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	present.Metadata.Name = name
	if status {
		present.Status = sent.Status
	} else {
		present.Spec, present.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	answer(w, http.StatusOK, s.write(kind, present))
}

func (s *store) remove(w http.ResponseWriter, kind, name string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	removed, exists := s.objects[kind][name]
	if !exists {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	removed.Metadata.Revision = s.revision
	s.history = append(s.history, storedEvent{event: event{Object: removed, Gone: true}, kind: kind, revision: s.revision})
	s.wake()
	answer(w, http.StatusOK, removed)
}

// madeMemberCalls reports whether each of the callers has made at least count calls for the daemons' own
// members since the beginning of the outage.
func (s *store) madeMemberCalls(callers []string, count int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, caller := range callers {
		if s.memberCalls[caller] < count {
			return false
		}
	}
	return true
}
