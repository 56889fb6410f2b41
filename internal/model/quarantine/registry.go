package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// maxInitialRecords limits the records sent over a new connection. At about 300 bytes a record,
// that is 150 KB; it is far below maxEntries to bound the size of that message.
const maxInitialRecords = 512

// InFlight describes a request that an instance was processing when it crashed.
type InFlight struct {
	Head fingerprint.Head
	// Keys holds the keys of the request, one for each level that is known.
	Keys []fingerprint.Key
	// Caller is the calling service.
	Caller string
}

// Registry holds the suspects known to a daemon. It is safe for concurrent use.
type Registry struct {
	now func() time.Time
	// suspectCount is the number of suspects; it can be read without the mutex.
	suspectCount atomic.Int64

	// mutex guards the fields below.
	mutex   sync.Mutex
	entries map[fingerprint.Key]*entry
	// suspectsByHead counts the suspects with each head.
	suspectsByHead map[fingerprint.Head]int
	// sweptAt is the time of the last sweep of the entries.
	sweptAt time.Time
}

// entry is a record that holds the time of its newest crash instead of its age. It is guarded by
// Registry.mutex.
type entry struct {
	Record
	lastCrashAt time.Time
	// inHeads is true while the entry is included in Registry.suspectsByHead.
	inHeads bool
	// inStore is true once the Store was known to hold the key, and removalDue while this daemon
	// has to remove the key from the Store.
	inStore, removalDue bool
}

// NewRegistry returns an empty registry; now is its clock.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, entries: map[fingerprint.Key]*entry{}, suspectsByHead: map[fingerprint.Head]int{}}
}

// Suspected reports whether any suspect has the head of the line; if not, callers can skip Count
// and Evaluate. Without any suspect, the usual case, it computes no hash: a call without a body
// then costs 89 ns and 1 allocation instead of 953 ns and 10 (BenchmarkNothingSuspected).
func (r *Registry) Suspected(line fingerprint.RequestLine) bool {
	if r.suspectCount.Load() == 0 {
		return false
	}
	head := fingerprint.HeadOf(line)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.suspectsByHead[head] > 0
}

// Count returns the highest number of crashes recorded under one of the keys.
func (r *Registry) Count(keys []fingerprint.Key) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count(keys)
}

func (r *Registry) count(keys []fingerprint.Key) int {
	maxCount := 0
	for _, key := range keys {
		if suspect, ok := r.entries[key]; ok {
			maxCount = max(maxCount, suspect.Count())
		}
	}
	return maxCount
}

// Evaluate returns the verdict on a request of a caller. The request is quarantined if one of its
// keys has enough crashes and the caller had a request in flight in at least one of them. The
// second condition keeps a caller from quarantining the requests of others by sending them itself.
func (r *Registry) Evaluate(keys []fingerprint.Key, caller string) Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, key := range keys {
		suspect, ok := r.entries[key]
		if !ok || now.Sub(suspect.lastCrashAt) > suspectTTL || stateOf(suspect.Count()) != stateQuarantined || !suspect.involves(caller) {
			continue
		}
		verdict := Verdict{Quarantined: true, Key: key, Crashes: suspect.Count(), Trials: suspect.Trials}
		verdict.RetryAfter, verdict.TrialDue = nextRun(now.Sub(suspect.lastCrashAt), suspect.Trials)
		return verdict
	}
	return Verdict{}
}

// Crashed records the crash of an instance with its requests in flight; id must be unique to the
// crash. It returns the records that changed.
func (r *Registry) Crashed(id uint64, inFlight []InFlight) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.sweep(now)
	maxCount := 0
	for _, request := range inFlight {
		maxCount = max(maxCount, r.count(request.Keys))
	}
	for _, request := range inFlight {
		if !isSuspected(r.count(request.Keys), maxCount) {
			continue
		}
		for _, key := range request.Keys {
			changed = r.addCrash(changed, key, request.Head, Crash{ID: id, Caller: request.Caller}, now)
		}
	}
	return changed
}

// addCrash adds a crash to the record of a key, and the record to changed if it was modified. The
// caller must hold mutex.
func (r *Registry) addCrash(changed []Record, key fingerprint.Key, head fingerprint.Head, crash Crash, now time.Time) []Record {
	suspect := r.getOrCreateEntry(key, head)
	if !suspect.add(crash) {
		return changed
	}
	suspect.lastCrashAt = now
	suspect.Stored, suspect.Local = false, true
	r.updateIndex(suspect)
	changed = slices.DeleteFunc(changed, func(record Record) bool { return record.Key == key })
	return append(changed, suspect.record(now))
}

// Answered refutes all crashes under the keys of a request that an instance has answered. It
// returns the records that changed.
func (r *Registry) Answered(keys []fingerprint.Key) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, key := range keys {
		suspect, ok := r.entries[key]
		if !ok || len(suspect.Crashes) == 0 {
			continue
		}
		for _, crash := range slices.Clone(suspect.Crashes) {
			suspect.refute(crash.ID)
		}
		suspect.Stored = false
		suspect.removalDue = suspect.inStore
		r.updateIndex(suspect)
		changed = append(changed, suspect.record(now))
	}
	return changed
}

// RecordTrial records that a request with the key ran, or may have run, as a trial; trials is the
// number of trials including this one. It returns the record if it changed.
func (r *Registry) RecordTrial(key fingerprint.Key, trials uint32) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	suspect, ok := r.entries[key]
	if !ok || trials <= suspect.Trials {
		return nil
	}
	suspect.Trials = trials
	return []Record{suspect.record(r.now())}
}

// Merge merges records of another daemon or of the Store, and returns the records that changed.
func (r *Registry) Merge(records []Record) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.sweep(now)
	for _, record := range records {
		if record.Age > suspectTTL {
			continue
		}
		suspect := r.getOrCreateEntry(record.Key, record.Head)
		updated := suspect.mergeRecord(record, now)
		r.updateIndex(suspect)
		if updated {
			changed = append(changed, suspect.record(now))
		}
	}
	return changed
}

// mergeRecord merges a record of another daemon or of the Store, and reports whether the entry must
// be sent to other daemons.
func (e *entry) mergeRecord(record Record, now time.Time) (updated bool) {
	updated = e.Merge(record)
	if at := now.Add(-record.Age); at.After(e.lastCrashAt) {
		e.lastCrashAt = at
	}
	if updated {
		e.Local = false
	}
	return e.updateStored(record, updated) || updated
}

// MarkAllUnstored marks every record as not stored, and every refuted record as due for removal. It is
// for a Store that may have lost recent writes and may have restored removed records.
func (r *Registry) MarkAllUnstored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, suspect := range r.entries {
		suspect.Stored = false
		suspect.removalDue = suspect.inStore && len(suspect.Crashes) == 0
	}
}

// InitialRecords returns the records to send over a new connection to a daemon: at most
// maxInitialRecords, ordered by descending number of crashes.
func (r *Registry) InitialRecords() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	records := make([]Record, 0, len(r.entries))
	for _, suspect := range r.entries {
		records = append(records, suspect.record(now))
	}
	slices.SortFunc(records, func(one, other Record) int {
		return cmp.Or(cmp.Compare(other.Count(), one.Count()), cmp.Compare(one.Age, other.Age), slices.Compare(one.Key[:], other.Key[:]))
	})
	return records[:min(len(records), maxInitialRecords)]
}

// Sizes returns the number of suspects and how many of them are quarantined.
func (r *Registry) Sizes() (suspects, quarantined int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, suspect := range r.entries {
		current := stateOf(suspect.Count())
		if current != stateRefuted {
			suspects++
		}
		if current == stateQuarantined {
			quarantined++
		}
	}
	return suspects, quarantined
}

// record returns a copy of the entry's record with its age at now.
func (e *entry) record(now time.Time) Record {
	record := e.clone()
	record.Age = max(now.Sub(e.lastCrashAt), 0)
	return record
}
