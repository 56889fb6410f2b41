package objectapistub

import (
	"sort"
	"strings"
	"sync"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxStoredEvents is the maximum number of events stored for watches of earlier versions. When
// it is exceeded, the older half is compacted.
const maxStoredEvents = 20000

// store is an in-memory object store.
type store struct {
	mutex   sync.Mutex
	version int64
	objects map[string]objectapi.Object
	// events holds the latest changes in order; compacted is the version up
	// to which events were dropped.
	events    []objectapi.Event
	compacted int64
	// changed is closed and replaced on each change.
	changed chan struct{}
}

func newStore() *store {
	return &store{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

func (s *store) get(key string) (objectapi.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return objectapi.Object{}, result.Errorf(result.PlatformNotFound, "%s", key)
	}
	return object, nil
}

func (s *store) put(key string, value []byte, expected int64) (int64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object := s.objects[key]
	if expected != objectapi.VersionAny && object.Version != expected {
		return 0, result.Errorf(result.PlatformConflict, "%s has version %d, not %d", key, object.Version, expected)
	}
	s.version++
	object.Key = key
	object.Version = s.version
	object.Value = value
	s.objects[key] = object
	s.record(objectapi.EventPut, object)
	return s.version, nil
}

// existing returns an object, or an error if it does not exist or does not have the expected version.
// The caller holds mutex.
func (s *store) existing(key string, expected int64) (objectapi.Object, error) {
	object, ok := s.objects[key]
	if !ok {
		return object, result.Errorf(result.PlatformNotFound, "%s", key)
	}
	if expected != objectapi.VersionAny && object.Version != expected {
		return object, result.Errorf(result.PlatformConflict, "%s has version %d, not %d", key, object.Version, expected)
	}
	return object, nil
}

func (s *store) putStatus(key string, status []byte, expected int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	object, err := s.existing(key, expected)
	if err != nil {
		return err
	}
	object.Status = status
	s.objects[key] = object
	return nil
}

func (s *store) remove(key string, expected int64) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, err := s.existing(key, expected); err != nil {
		return err
	}
	s.version++
	delete(s.objects, key)
	s.record(objectapi.EventDelete, objectapi.Object{Key: key, Version: s.version})
	return nil
}

// record appends an event; the caller holds mutex.
func (s *store) record(eventType objectapi.EventType, object objectapi.Object) {
	object.Status = nil
	s.events = append(s.events, objectapi.Event{Type: eventType, Object: object, Version: s.version})
	if len(s.events) > maxStoredEvents {
		dropped := len(s.events) - maxStoredEvents/2
		s.compacted = s.events[dropped-1].Version
		s.events = append([]objectapi.Event(nil), s.events[dropped:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops all stored events, so that watches of earlier versions fail.
func (s *store) compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.compacted = s.version
	s.events = nil
}

func (s *store) list(prefix, start string, limit int) objectapi.ListResult {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	list := objectapi.ListResult{Version: s.version, Objects: []objectapi.Object{}}
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) && key >= start {
			list.Objects = append(list.Objects, object)
		}
	}
	sort.Slice(list.Objects, func(i, j int) bool { return list.Objects[i].Key < list.Objects[j].Key })
	if limit > 0 && len(list.Objects) > limit {
		list.Objects = list.Objects[:limit]
		list.More = true
	}
	return list
}

// eventsAfter returns the events after version for the prefixes, the current
// version, and a channel that is closed on the next change.
func (s *store) eventsAfter(version int64, prefixes []string) (events []objectapi.Event, reached int64, changed <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if version < s.compacted {
		return nil, 0, nil, result.Errorf(result.PlatformCompacted, "events up to %d are gone", s.compacted)
	}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > version })
	for _, event := range s.events[first:] {
		if hasAnyPrefix(event.Object.Key, prefixes) {
			events = append(events, event)
		}
	}
	return events, s.version, s.changed, nil
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, prefix := range prefixes {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}
