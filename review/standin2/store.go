package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	CreatedAt  uint64   `json:"created-at,omitempty"`
	Finalizers []string `json:"finalizers,omitempty"`
	Deleting   bool     `json:"deleting,omitempty"`
}

type event struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
}

type historyEntry struct {
	kind     string
	revision uint64
	event    event
}

// store is the platform's metadata store: objects by kind and name, one revision counter, watches.
type store struct {
	mutex    sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	history  []historyEntry
	changed  chan struct{}
	address  string
	// down makes the store answer every call with 503.
	down atomic.Bool
}

func startStore(address string) *store {
	listener, err := net.Listen("tcp", address)
	check(err)
	s := &store{kinds: map[string]map[string]object{}, changed: make(chan struct{}), address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }()
	return s
}

// putLocked stores an object under a new revision. The caller holds mutex.
func (s *store) putLocked(kind string, o object, gone bool) object {
	s.revision++
	if o.Metadata.CreatedAt == 0 {
		o.Metadata.CreatedAt = s.revision
	}
	o.Metadata.Revision = s.revision
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	if gone {
		delete(s.kinds[kind], o.Metadata.Name)
	} else {
		s.kinds[kind][o.Metadata.Name] = o
	}
	s.history = append(s.history, historyEntry{kind, s.revision, event{o, gone}})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// operatorPut writes a spec as the operator does.
func (s *store) operatorPut(kind, name string, spec any) {
	content, err := json.Marshal(spec)
	check(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current := s.kinds[kind][name]
	current.Metadata.Name, current.Spec = name, content
	s.putLocked(kind, current, false)
}

func answerJSON(w http.ResponseWriter, status int, value any) {
	content, err := json.Marshal(value)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name, part := path[0], "", ""
	if len(path) > 1 {
		name = path[1]
	}
	if len(path) > 2 {
		part = path[2]
	}
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name, part)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	query := r.URL.Query()
	if name != "" {
		s.mutex.Lock()
		found, ok := s.kinds[kind][name]
		s.mutex.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answerJSON(w, http.StatusOK, found)
		return
	}
	if query.Get("watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	items := []object{}
	for _, o := range s.kinds[kind] {
		if o.Metadata.Name > query.Get("after") {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mutex.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := len(items) > 500
	if more {
		items = items[:500]
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mutex.Lock()
		events := []event{}
		for _, entry := range s.history {
			if entry.kind == kind && entry.revision > from {
				events = append(events, entry.event)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || expired {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name, part string) {
	var sent object
	body, _ := io.ReadAll(r.Body)
	if len(body) > 0 && json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Method == http.MethodPost {
		name = sent.Metadata.Name
	}
	expected := sent.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseUint(text, 10, 64)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	current, exists := s.kinds[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		answerJSON(w, http.StatusConflict, current)
		return
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
		return
	case exists && expected != 0 && expected != current.Metadata.Revision:
		answerJSON(w, http.StatusConflict, current)
		return
	}
	switch {
	case r.Method == http.MethodPost:
		sent.Metadata = metadata{Name: name, Finalizers: sent.Metadata.Finalizers}
		current = s.putLocked(kind, sent, false)
	case r.Method == http.MethodPut && part == "status":
		current.Status = sent.Status
		current = s.putLocked(kind, current, false)
	case r.Method == http.MethodPut:
		current.Spec, current.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
		current = s.putLocked(kind, current, false)
	case r.Method == http.MethodDelete && len(current.Metadata.Finalizers) > 0:
		current.Metadata.Deleting = true
		current = s.putLocked(kind, current, false)
	case r.Method == http.MethodDelete:
		current = s.putLocked(kind, current, true)
	}
	answerJSON(w, http.StatusOK, current)
}
