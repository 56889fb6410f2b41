package quarantine

import (
	"context"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// The Store keeps suspects that are no longer retried across a restart of all daemons. Refuted
// records must be removed from it, so that Load does not restore them.

// Store persists records across restarts of all daemons. An error leaves unknown whether the
// operation took effect; repeating it is safe. It is safe for concurrent use.
type Store interface {
	// Load returns all records. They may be stale by a few seconds.
	Load(ctx context.Context) ([]Record, error)
	// Save merges a record into the stored one.
	Save(ctx context.Context, record Record) error
	// Remove deletes the record of a key. A missing record is not an error.
	Remove(ctx context.Context, key fingerprint.Key) error
	// ClaimTrial claims a trial for the key of a record; trials is the number of trials that the caller
	// knows of. The claim is granted to one daemon only, and not if the record has more trials or does
	// not exist. A granted trial is added to the record.
	ClaimTrial(ctx context.Context, key fingerprint.Key, trials uint32) (granted bool, err error)
}

// updateStored updates Stored and inStore after a record was merged into the entry; updated is true
// if the merge changed the entry. It reports whether the crashes became known as stored by this
// record.
func (e *entry) updateStored(record Record, updated bool) (newlyStored bool) {
	stored := record.Stored && len(record.Crashes) >= len(e.Crashes)
	newlyStored = stored && !e.Stored
	changed := updated || newlyStored
	e.Stored = stored || (e.Stored && !changed)
	e.inStore = e.inStore || record.Stored
	return newlyStored
}

// Unstored returns the records of suspects that are no longer retried and that are not stored.
func (r *Registry) Unstored() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var records []Record
	for _, suspect := range r.entries {
		if !suspect.Stored && !MayRetry(suspect.Count()) {
			records = append(records, suspect.record(now))
		}
	}
	return records
}

// MarkStored marks a record as stored, unless it changed in the meantime.
func (r *Registry) MarkStored(record Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	suspect, ok := r.entries[record.Key]
	if !ok {
		return
	}
	suspect.inStore = true
	if len(suspect.Crashes) <= len(record.Crashes) {
		suspect.Stored = true
	}
}

// TakeRemovals returns the keys that this daemon refuted and that the Store still holds. Each key
// is returned once, also if its removal fails.
func (r *Registry) TakeRemovals() (keys []fingerprint.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, suspect := range r.entries {
		if suspect.removalDue && len(suspect.Crashes) == 0 {
			keys = append(keys, key)
		}
		suspect.removalDue = false
	}
	return keys
}
