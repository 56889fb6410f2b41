package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Tunables of the decision.
const (
	// quarantineAt is the number of ended instances from which such requests are held back. The
	// users' rule binds from three on; fewer would hold back more of those that only ran
	// beside a guilty one.
	quarantineAt = 3
	// repeatBelow is the number of ended instances from which a daemon does not send such
	// a request to another instance by itself. One repeat saves those that only ran beside
	// a guilty one, five of six with six slots.
	repeatBelow = 2
	// memory is how long after its last crash a suspect is remembered.
	memory = time.Hour
	// clearedMemory is how long refuted crashes are remembered, so that news of them that
	// was under way does not count again.
	clearedMemory = time.Minute
	// maxSuspects bounds what is remembered; a record is about 300 bytes.
	maxSuspects = 4096
	// trialAfter is the time after the last crash when one held-back request may run, to
	// see whether it still ends its instance. maxTrials bounds them, since each may cost an
	// instance: with one visit of each of two further calling services they stay within the
	// three that the users' rule allows.
	trialAfter = time.Minute
	maxTrials  = 1
	// maxKnown bounds the records that a new connection starts with.
	maxKnown = 512
)

// InFlight is a request that an instance had when it ended.
type InFlight struct {
	Head fingerprint.Head
	// Keys are its names, at each level that is known.
	Keys   []fingerprint.Key
	Caller string
}

// Verdict is what is decided on a request.
type Verdict struct {
	// Quarantined is true when it must not reach an instance.
	Quarantined bool
	// Key names what it is held back for, Crashes is the number of instances that ended.
	Key     fingerprint.Key
	Crashes int
	// RetryAfter is the time until one may run again.
	RetryAfter time.Duration
	// TrialDue is true when one may be let through, by leave of the store.
	TrialDue bool
	Trials   uint32
}

// Registry is what a daemon knows of suspects. It is safe for concurrent use.
type Registry struct {
	now func() time.Time
	// suspected is the number of suspects, for a look without mutex.
	suspected atomic.Int64

	// mutex protects everything below.
	mutex   sync.Mutex
	entries map[fingerprint.Key]*entry
	// heads counts the suspects with each head.
	heads   map[fingerprint.Head]int
	sweptAt time.Time
}

// entry is a record with the time of its newest crash in place of its age.
type entry struct {
	Record
	lastAt time.Time
	// counted is true while the entry is in Registry.heads.
	counted bool
	// inStore is true once the store had the key, and clearedHere while this daemon has
	// to take it out there.
	inStore, clearedHere bool
}

// NewRegistry returns an empty registry.
func NewRegistry(now func() time.Time) *Registry {
	return &Registry{now: now, entries: map[fingerprint.Key]*entry{}, heads: map[fingerprint.Head]int{}}
}

// Suspected reports whether any request with the head of the line is a suspect; when not, no
// other question about it needs to be asked. While there is no suspect at all, which is the
// rule, nothing is hashed.
func (r *Registry) Suspected(line fingerprint.Line) bool {
	if r.suspected.Load() == 0 {
		return false
	}
	head := fingerprint.HeadOf(line)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.heads[head] > 0
}

// Crashed takes in that an instance ended with requests in flight. It returns the records that
// changed. Where some of them are known to have ended several instances, only those with
// the most are suspected: the others ran beside them.
func (r *Registry) Crashed(id uint64, had []InFlight) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	r.sweep(now)
	most := 0
	for _, request := range had {
		most = max(most, r.count(request.Keys))
	}
	for _, request := range had {
		if most >= repeatBelow && r.count(request.Keys) < most {
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
	known.Stored, known.Here = false, true
	r.recount(known)
	changed = slices.DeleteFunc(changed, func(record Record) bool { return record.Key == key })
	return append(changed, r.recordOf(known, now))
}

// Answered takes in that an instance answered a request with the keys: what ended others is
// not this. It returns the records that changed.
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
		known.clearedHere = known.inStore
		r.recount(known)
		changed = append(changed, r.recordOf(known, now))
	}
	return changed
}

// Merge takes in what another daemon or the store knows and returns what was news, as it
// stands now.
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
		news := known.Merge(record)
		if at := now.Add(-record.Age); at.After(known.lastAt) {
			known.lastAt = at
		}
		stored := record.Stored && len(record.Crashes) >= len(known.Crashes)
		if news {
			known.Here = false
		}
		news = news || (stored && !known.Stored)
		known.Stored = stored || (known.Stored && !news)
		known.inStore = known.inStore || record.Stored
		r.recount(known)
		if news {
			changed = append(changed, r.recordOf(known, now))
		}
	}
	return changed
}

// Count returns the number of instances that ended under a request with the keys.
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

// MayRepeat reports whether a daemon may send a request to another instance by itself after
// so many instances ended under what it asks for.
func MayRepeat(ended int) bool { return ended < repeatBelow }

// Judge decides on a request of a caller. It is held back when enough instances ended
// under what it asks for, and one of them had it from the same caller: nobody can have the
// requests of others held back by sending them himself.
func (r *Registry) Judge(keys []fingerprint.Key, caller string) Verdict {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, key := range keys {
		known, ok := r.entries[key]
		if !ok || now.Sub(known.lastAt) > memory || known.Count() < quarantineAt || !known.from(caller) {
			continue
		}
		return known.verdict(now)
	}
	return Verdict{}
}

// verdict is that on a request which is held back.
func (e *entry) verdict(now time.Time) Verdict {
	verdict := Verdict{Quarantined: true, Key: e.Key, Crashes: e.Count(), Trials: e.Trials}
	again := e.lastAt.Add(memory)
	if e.Trials < maxTrials {
		again = e.lastAt.Add(trialAfter)
		verdict.TrialDue = !now.Before(again)
	}
	verdict.RetryAfter = max(again.Sub(now), 0)
	return verdict
}

// NoteTried notes that one request with the key was let through.
func (r *Registry) NoteTried(key fingerprint.Key, trials uint32) (changed []Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, ok := r.entries[key]
	if !ok || trials <= known.Trials {
		return nil
	}
	known.Trials = trials
	return []Record{r.recordOf(known, r.now())}
}

// Known returns what a daemon that has just been connected to is told: the suspects, those
// under which most instances ended first.
func (r *Registry) Known() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	records := make([]Record, 0, len(r.entries))
	for _, known := range r.entries {
		records = append(records, r.recordOf(known, now))
	}
	slices.SortFunc(records, func(one, other Record) int {
		return cmp.Or(cmp.Compare(other.Count(), one.Count()), cmp.Compare(one.Age, other.Age), slices.Compare(one.Key[:], other.Key[:]))
	})
	return records[:min(len(records), maxKnown)]
}

// Unstored returns what the store lacks: suspects that are not repeated any more, which must
// outlast all daemons.
func (r *Registry) Unstored() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var records []Record
	for _, known := range r.entries {
		if !known.Stored && known.Count() >= repeatBelow {
			records = append(records, r.recordOf(known, now))
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

// Cleared returns the keys that this daemon cleared and the store still has; it is asked to
// take them out once.
func (r *Registry) Cleared() (keys []fingerprint.Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for key, known := range r.entries {
		if known.clearedHere && len(known.Crashes) == 0 {
			keys = append(keys, key)
		}
		known.clearedHere = false
	}
	return keys
}

// Sizes returns the number of suspects, and of those held back.
func (r *Registry) Sizes() (suspects, held int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, known := range r.entries {
		count := known.Count()
		if count > 0 {
			suspects++
		}
		if count >= quarantineAt {
			held++
		}
	}
	return suspects, held
}

// entryOf returns the entry of a key, a new one where there is none; the caller holds mutex.
func (r *Registry) entryOf(key fingerprint.Key, head fingerprint.Head) *entry {
	known, ok := r.entries[key]
	if ok {
		return known
	}
	if len(r.entries) >= maxSuspects {
		r.evict()
	}
	known = &entry{Record: Record{Key: key, Head: head}}
	r.entries[key] = known
	return known
}

// recount follows whether an entry is a suspect; the caller holds mutex.
func (r *Registry) recount(known *entry) {
	suspected := len(known.Crashes) > 0
	if suspected == known.counted {
		return
	}
	known.counted = suspected
	if suspected {
		r.heads[known.Head]++
		r.suspected.Add(1)
		return
	}
	r.suspected.Add(-1)
	if r.heads[known.Head]--; r.heads[known.Head] <= 0 {
		delete(r.heads, known.Head)
	}
}

// remove forgets an entry; the caller holds mutex.
func (r *Registry) remove(known *entry) {
	known.Crashes = nil
	r.recount(known)
	delete(r.entries, known.Key)
}

// sweep forgets what is old; the caller holds mutex.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < clearedMemory {
		return
	}
	r.sweptAt = now
	for _, known := range r.entries {
		keep := memory
		if len(known.Crashes) == 0 {
			keep = clearedMemory
		}
		if now.Sub(known.lastAt) > keep {
			r.remove(known)
		}
	}
}

// evict forgets one entry of the caller that has the most, so that none can make the registry
// forget what others did: the one with the fewest crashes, of those the oldest. The caller
// holds mutex.
func (r *Registry) evict() {
	sizes := map[string]int{}
	for _, known := range r.entries {
		sizes[known.owner()]++
	}
	var worst *entry
	for _, known := range r.entries {
		if worst == nil || cmp.Or(
			cmp.Compare(sizes[known.owner()], sizes[worst.owner()]),
			cmp.Compare(worst.Count(), known.Count()),
			worst.lastAt.Compare(known.lastAt),
		) > 0 {
			worst = known
		}
	}
	if worst != nil {
		r.remove(worst)
	}
}

// owner is the caller that an entry counts for.
func (e *entry) owner() string {
	if len(e.Crashes) == 0 {
		return ""
	}
	return e.Crashes[0].Caller
}

// recordOf returns an entry's record; the caller holds mutex.
func (r *Registry) recordOf(known *entry, now time.Time) Record {
	record := known.clone()
	record.Age = max(now.Sub(known.lastAt), 0)
	return record
}
