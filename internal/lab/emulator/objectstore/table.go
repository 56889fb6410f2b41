package objectstore

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/lapisvane/lapisvane/platform"
)

// pageItems is the largest number of objects in one answer to a list.
const pageItems = 500

// entry is one change in the history.
type entry struct {
	revision uint64
	kind     string
	event    platform.Event
}

// table holds the objects and the history of their changes.
type table struct {
	// mutex protects everything below; changed is closed and replaced with each change.
	mutex    sync.Mutex
	revision uint64
	kinds    map[string]map[string]platform.Object
	history  []entry
	// compactedAt is the revision up to which the history was dropped.
	compactedAt uint64
	changed     chan struct{}
	// era rises by one with each return from a copy.
	era uint64
}

func newTable() *table {
	return &table{kinds: map[string]map[string]platform.Object{}, changed: make(chan struct{}), era: 1}
}

// writeResult is the outcome of a write.
type writeResult struct {
	object   platform.Object
	conflict bool
	missing  bool
}

// mutate changes an object; change gets the present one, and returns the next one or false to keep
// it. The caller's revision, unless 0, must be that of the present object.
func (t *table) mutate(kind, name string, expected uint64, change func(platform.Object, bool) (platform.Object, bool)) writeResult {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	present, exists := t.kinds[kind][name]
	if expected != 0 && exists && present.Metadata.Revision != expected {
		return writeResult{object: present, conflict: true}
	}
	next, done := change(present, exists)
	if !done {
		return writeResult{object: present, conflict: exists, missing: !exists}
	}
	t.revision++
	next.Metadata.Name = name
	next.Metadata.Revision = t.revision
	if !exists {
		next.Metadata.CreatedRevision = t.revision
	}
	t.put(kind, next)
	return writeResult{object: next}
}

// put stores an object, or removes one that is deleting and has no finalizers;
// the caller holds mutex.
func (t *table) put(kind string, object platform.Object) {
	objects, ok := t.kinds[kind]
	if !ok {
		objects = map[string]platform.Object{}
		t.kinds[kind] = objects
	}
	removed := object.Metadata.Deleting && len(object.Metadata.Finalizers) == 0
	if removed {
		delete(objects, object.Metadata.Name)
	} else {
		objects[object.Metadata.Name] = object
	}
	t.history = append(t.history, entry{revision: t.revision, kind: kind, event: platform.Event{Object: object, Deleted: removed}})
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) create(kind string, object platform.Object) writeResult {
	return t.mutate(kind, object.Metadata.Name, 0, func(_ platform.Object, exists bool) (platform.Object, bool) {
		object.Metadata.Deleting = false
		return object, !exists
	})
}

func (t *table) replaceSpec(kind, name string, object platform.Object) writeResult {
	return t.mutate(kind, name, object.Metadata.Revision, func(present platform.Object, exists bool) (platform.Object, bool) {
		present.Spec = object.Spec
		present.Metadata.Finalizers = object.Metadata.Finalizers
		return present, exists
	})
}

func (t *table) replaceStatus(kind, name string, object platform.Object) writeResult {
	return t.mutate(kind, name, object.Metadata.Revision, func(present platform.Object, exists bool) (platform.Object, bool) {
		present.Status = object.Status
		return present, exists
	})
}

func (t *table) remove(kind, name string, expected uint64) writeResult {
	return t.mutate(kind, name, expected, func(present platform.Object, exists bool) (platform.Object, bool) {
		present.Metadata.Deleting = true
		return present, exists
	})
}

func (t *table) get(kind, name string) (platform.Object, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	object, ok := t.kinds[kind][name]
	return object, ok
}

// list returns a page of the objects whose names come after a name.
func (t *table) list(kind, after string) platform.Page {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	page := platform.Page{Items: []platform.Object{}, Revision: t.revision}
	for _, object := range t.kinds[kind] {
		if object.Metadata.Name > after {
			page.Items = append(page.Items, object)
		}
	}
	slices.SortFunc(page.Items, func(a, b platform.Object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	if len(page.Items) > pageItems {
		page.Items = page.Items[:pageItems]
		page.More = true
	}
	return page
}

// since returns the changes of a kind after a revision, and a channel that is closed with the next
// change; compacted is true when the history does not reach back.
func (t *table) since(kind string, after uint64) (changes platform.Changes, wait <-chan struct{}, compacted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes = platform.Changes{Events: []platform.Event{}, Revision: t.revision}
	if after < t.compactedAt || after > t.revision {
		return changes, nil, true
	}
	first := sort.Search(len(t.history), func(index int) bool { return t.history[index].revision > after })
	for _, change := range t.history[first:] {
		if change.kind == kind {
			changes.Events = append(changes.Events, change.event)
		}
	}
	return changes, t.changed, false
}

func (t *table) compactHistory() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.history = nil
	t.compactedAt = t.revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// Copy is what a store held at some time.
type Copy struct {
	revision, compactedAt uint64
	kinds                 map[string]map[string]platform.Object
	history               []entry
}

func (t *table) copy() *Copy {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kinds := make(map[string]map[string]platform.Object, len(t.kinds))
	for kind, objects := range t.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return &Copy{revision: t.revision, compactedAt: t.compactedAt, kinds: kinds, history: slices.Clone(t.history)}
}

// comeBack replaces everything by a copy, which is not used any more.
func (t *table) comeBack(held *Copy) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.revision, t.compactedAt, t.kinds, t.history = held.revision, held.compactedAt, held.kinds, held.history
	t.era++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) currentEra() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.era
}
