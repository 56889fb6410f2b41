package quarantine

import (
	"context"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Suspects that are not repeated any more must outlast all daemons, and refuted ones must not
// come back out of the store.

// Store keeps records where they outlast all daemons. An error means that it is not known
// whether anything was done; doing it again does no harm. It is safe for concurrent use.
type Store interface {
	// Load returns all records. They may be some seconds old.
	Load(ctx context.Context) ([]Record, error)
	// Save merges a record into the stored one.
	Save(ctx context.Context, record Record) error
	// Remove deletes the record of a key; one that is not there is no error.
	Remove(ctx context.Context, key fingerprint.Key) error
	// Try counts one more trial of a record. It succeeds for one daemon only, and for
	// none where the record has more trials already or is not there.
	Try(ctx context.Context, key fingerprint.Key, trials uint32) (granted bool, err error)
}

// noteStoredBy records whether the store has a merged record; updated is true where that changed
// the entry. It reports whether the entry's crashes are known as stored only now.
func (e *entry) noteStoredBy(record Record, updated bool) (newlyStored bool) {
	stored := record.Stored && len(record.Crashes) >= len(e.Crashes)
	newlyStored = stored && !e.Stored
	changed := updated || newlyStored
	e.Stored = stored || (e.Stored && !changed)
	e.inStore = e.inStore || record.Stored
	return newlyStored
}

// Unstored returns the records of suspects that are not repeated any more and that the store
// lacks.
func (r *Registry) Unstored() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var records []Record
	for _, known := range r.entries {
		if !known.Stored && !MayRepeat(known.Count()) {
			records = append(records, known.record(now))
		}
	}
	return records
}

// NoteStored records that the store has a record, unless it changed meanwhile.
func (r *Registry) NoteStored(record Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.entries[record.Key]
	if !ok {
		return
	}
	known.inStore = true
	if len(known.Crashes) <= len(record.Crashes) {
		known.Stored = true
	}
}

// TakeRemovals returns the keys that this daemon refuted and the store still has, each of
// them once: one whose removal fails is not returned again.
func (r *Registry) TakeRemovals() (keys []fingerprint.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, known := range r.entries {
		if known.removalDue && len(known.Crashes) == 0 {
			keys = append(keys, key)
		}
		known.removalDue = false
	}
	return keys
}
