package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// maxKnown bounds the records that a new connection starts with. It is far below maxEntries; at
// about 300 bytes a record it is 150 KB.
const maxKnown = 512

// InFlight is a request that an instance was running when it crashed.
type InFlight struct {
	Head fingerprint.Head
	// Keys are those of the request, at each level that is known.
	Keys []fingerprint.Key
	// Caller is the calling service.
	Caller string
}

// Registry is what a daemon knows of suspects. It is safe for concurrent use.
type Registry struct {
	now func() time.Time
	// suspected is the number of suspects, to be read without mutex.
	suspected atomic.Int64

	// mutex protects everything below.
	mutex   sync.Mutex
	entries map[fingerprint.Key]*entry
	// heads counts the suspects with each head.
	heads map[fingerprint.Head]int
	// sweptAt is when the entries were last swept.
	sweptAt time.Time
}

// entry is a record with the time of its newest crash in place of its age; Registry.mutex
// protects it.
type entry struct {
	Record
	lastAt time.Time
	// counted is true while the entry is in Registry.heads.
	counted bool
	// inStore is true once the store had the key, and removalDue while this daemon has to
	// remove it there.
	inStore, removalDue bool
}

// NewRegistry returns an empty registry; now is its clock.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, entries: map[fingerprint.Key]*entry{}, heads: map[fingerprint.Head]int{}}
}

// Suspected reports whether any request with the head of the line is a suspect; where none is,
// Count and Evaluate need not be called. While there is no suspect at all, which is usual,
// nothing is hashed: a call without a body then costs 89 ns and 1 allocation in place of 953 ns and
// 10 (BenchmarkNothingSuspected).
func (r *Registry) Suspected(line fingerprint.Line) bool {
	if r.suspected.Load() == 0 {
		return false
	}
	head := fingerprint.HeadOf(line)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.heads[head] > 0
}

// Count returns the number of instances that crashed under a request with the keys.
func (r *Registry) Count(keys []fingerprint.Key) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.count(keys)
}

func (r *Registry) count(keys []fingerprint.Key) int {
	most := 0
	for _, key := range keys {
		if known, ok := r.entries[key]; ok {
			most = max(most, known.Count())
		}
	}
	return most
}

// Evaluate decides on a request of a caller. It is quarantined when enough instances crashed
// under one of its keys, at least one of them with a request of the same caller in flight: so no
// caller can get the requests of others quarantined by sending them itself.
func (r *Registry) Evaluate(keys []fingerprint.Key, caller string) Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, key := range keys {
		known, ok := r.entries[key]
		if !ok || now.Sub(known.lastAt) > memory || stateOf(known.Count()) != stateQuarantined || !known.involves(caller) {
			continue
		}
		verdict := Verdict{Quarantined: true, Key: key, Crashes: known.Count(), Trials: known.Trials}
		verdict.RetryAfter, verdict.TrialDue = nextRun(now.Sub(known.lastAt), known.Trials)
		return verdict
	}
	return Verdict{}
}

// Crashed records that an instance crashed with requests in flight; id is unique to the crash.
// It returns the records that changed.
func (r *Registry) Crashed(id uint64, inFlight []InFlight) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.sweep(now)
	most := 0
	for _, request := range inFlight {
		most = max(most, r.count(request.Keys))
	}
	for _, request := range inFlight {
		if !isSuspected(r.count(request.Keys), most) {
			continue
		}
		for _, key := range request.Keys {
			changed = r.suspect(changed, key, request.Head, Crash{ID: id, Caller: request.Caller}, now)
		}
	}
	return changed
}

// suspect adds a crash to the record of a key and the record to changed; the caller holds
// mutex.
func (r *Registry) suspect(changed []Record, key fingerprint.Key, head fingerprint.Head, crash Crash, now time.Time) []Record {
	known := r.entryOf(key, head)
	if !known.add(crash) {
		return changed
	}
	known.lastAt = now
	known.Stored, known.Local = false, true
	r.recount(known)
	changed = slices.DeleteFunc(changed, func(record Record) bool { return record.Key == key })
	return append(changed, known.record(now))
}

// Answered records that an instance answered a request with the keys, which refutes the
// crashes under them. It returns the records that changed.
func (r *Registry) Answered(keys []fingerprint.Key) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, key := range keys {
		known, ok := r.entries[key]
		if !ok || len(known.Crashes) == 0 {
			continue
		}
		for _, crash := range slices.Clone(known.Crashes) {
			known.refute(crash.ID)
		}
		known.Stored = false
		known.removalDue = known.inStore
		r.recount(known)
		changed = append(changed, known.record(now))
	}
	return changed
}

// NoteTrial records that one request with the key ran as a trial, or may have; trials is their
// number with it. It returns the record if it changed.
func (r *Registry) NoteTrial(key fingerprint.Key, trials uint32) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.entries[key]
	if !ok || trials <= known.Trials {
		return nil
	}
	known.Trials = trials
	return []Record{known.record(r.now())}
}

// Merge adds what another daemon or the store knows and returns the records that changed.
func (r *Registry) Merge(records []Record) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.sweep(now)
	for _, record := range records {
		if record.Age > memory {
			continue
		}
		known := r.entryOf(record.Key, record.Head)
		updated := known.mergeFrom(record, now)
		r.recount(known)
		if updated {
			changed = append(changed, known.record(now))
		}
	}
	return changed
}

// mergeFrom merges a record of another daemon or the store; it reports whether the entry must
// be passed on.
func (e *entry) mergeFrom(record Record, now time.Time) (updated bool) {
	updated = e.Merge(record)
	if at := now.Add(-record.Age); at.After(e.lastAt) {
		e.lastAt = at
	}
	if updated {
		e.Local = false
	}
	return e.noteStoredBy(record, updated) || updated
}

// ForgetStored records that the store may have lost what was written to it lately, and may hold
// what was removed: each record counts as not stored, and each that is refuted is to be removed
// again.
func (r *Registry) ForgetStored() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.entries {
		known.Stored = false
		known.removalDue = known.inStore && len(known.Crashes) == 0
	}
}

// Known returns the records for a daemon that has just been connected to: at most maxKnown,
// those with most crashes first.
func (r *Registry) Known() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	records := make([]Record, 0, len(r.entries))
	for _, known := range r.entries {
		records = append(records, known.record(now))
	}
	slices.SortFunc(records, func(one, other Record) int {
		return cmp.Or(cmp.Compare(other.Count(), one.Count()), cmp.Compare(one.Age, other.Age), slices.Compare(one.Key[:], other.Key[:]))
	})
	return records[:min(len(records), maxKnown)]
}

// Sizes returns the number of suspects, and of those that are quarantined.
func (r *Registry) Sizes() (suspects, quarantined int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.entries {
		current := stateOf(known.Count())
		if current != stateRefuted {
			suspects++
		}
		if current == stateQuarantined {
			quarantined++
		}
	}
	return suspects, quarantined
}

// record returns a copy of an entry's record as it stands now.
func (e *entry) record(now time.Time) Record {
	record := e.clone()
	record.Age = max(now.Sub(e.lastAt), 0)
	return record
}
