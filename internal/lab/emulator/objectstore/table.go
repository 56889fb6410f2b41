package objectstore

import (
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"

	"github.com/lapisvane/lapisvane/platform"
)

// maxPageItems is the maximum number of objects in one page of a list.
const maxPageItems = 500

// historyEntry is one change in the history.
type historyEntry struct {
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
	history  []historyEntry
	// compactedRevision is the revision up to which the history was dropped.
	compactedRevision uint64
	changed           chan struct{}
	// era increases by one with each restore from a backup.
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

// mutate changes an object. change receives the current object and whether it exists, and returns the
// new object, or false to leave it unchanged. The write conflicts if expected is neither 0 nor the
// revision of the current object.
func (t *table) mutate(kind, name string, expected uint64, change func(platform.Object, bool) (platform.Object, bool)) writeResult {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, exists := t.kinds[kind][name]
	if expected != 0 && exists && current.Metadata.Revision != expected {
		return writeResult{object: current, conflict: true}
	}
	next, accepted := change(current, exists)
	if !accepted {
		return writeResult{object: current, conflict: exists, missing: !exists}
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

// put stores an object and appends it to the history. An object that is being deleted and has no
// finalizers is removed instead. The caller holds mutex.
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
	t.history = append(t.history, historyEntry{revision: t.revision, kind: kind, event: platform.Event{Object: object, Deleted: removed}})
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
	return t.mutate(kind, name, object.Metadata.Revision, func(current platform.Object, exists bool) (platform.Object, bool) {
		current.Spec = object.Spec
		current.Metadata.Finalizers = object.Metadata.Finalizers
		return current, exists
	})
}

func (t *table) replaceStatus(kind, name string, object platform.Object) writeResult {
	return t.mutate(kind, name, object.Metadata.Revision, func(current platform.Object, exists bool) (platform.Object, bool) {
		current.Status = object.Status
		return current, exists
	})
}

func (t *table) remove(kind, name string, expected uint64) writeResult {
	return t.mutate(kind, name, expected, func(current platform.Object, exists bool) (platform.Object, bool) {
		current.Metadata.Deleting = true
		return current, exists
	})
}

func (t *table) get(kind, name string) (platform.Object, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	object, ok := t.kinds[kind][name]
	return object, ok
}

// list returns a page of the objects of a kind whose names sort after the given name.
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
	if len(page.Items) > maxPageItems {
		page.Items = page.Items[:maxPageItems]
		page.More = true
	}
	return page
}

// changesSince returns the changes of a kind after a revision, and a channel that is closed with the
// next change. compacted is true if the history no longer covers the revision.
func (t *table) changesSince(kind string, after uint64) (changes platform.Changes, changed <-chan struct{}, compacted bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	changes = platform.Changes{Events: []platform.Event{}, Revision: t.revision}
	if after < t.compactedRevision || after > t.revision {
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
	t.compactedRevision = t.revision
	close(t.changed)
	t.changed = make(chan struct{})
}

// Backup is a copy of the contents and the history of a store.
type Backup struct {
	revision, compactedRevision uint64
	kinds                       map[string]map[string]platform.Object
	history                     []historyEntry
}

func (t *table) backup() *Backup {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	kinds := make(map[string]map[string]platform.Object, len(t.kinds))
	for kind, objects := range t.kinds {
		kinds[kind] = maps.Clone(objects)
	}
	return &Backup{revision: t.revision, compactedRevision: t.compactedRevision, kinds: kinds, history: slices.Clone(t.history)}
}

// restore replaces the contents by those of a backup, which must not be used again.
func (t *table) restore(backup *Backup) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.revision, t.compactedRevision, t.kinds, t.history = backup.revision, backup.compactedRevision, backup.kinds, backup.history
	t.era++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *table) currentEra() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.era
}
