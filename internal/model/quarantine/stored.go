package quarantine

import "github.com/lapisvane/lapisvane/internal/model/fingerprint"

// What the registry knows of the platform's store: suspects that are not repeated any more must
// outlast all daemons, and refuted ones must not come back out of it.

// noteStoredBy notes what a merged record says of the store; updated is true where it
// changed the crashes. It reports whether the crashes are known as stored only now.
func (e *entry) noteStoredBy(record Record, updated bool) (newlyStored bool) {
	stored := record.Stored && len(record.Crashes) >= len(e.Crashes)
	newlyStored = stored && !e.Stored
	changed := updated || newlyStored
	e.Stored = stored || (e.Stored && !changed)
	e.inStore = e.inStore || record.Stored
	return newlyStored
}

// Unstored returns the records that the store lacks: of suspects that are not repeated any
// more.
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

// NoteStored notes that the store has a record, unless it changed meanwhile.
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
// them once.
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
