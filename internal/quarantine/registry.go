package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/fingerprint"
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
	// maxTold bounds the records that a new connection starts with.
	maxTold = 512
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

// Suspected reports whether any request with the head is a suspect; when not, no other
// question about it needs to be asked.
func (b *Registry) Suspected(head fingerprint.Head) bool {
	if b.suspected.Load() == 0 {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.heads[head] > 0
}

// Empty reports whether there is no suspect at all.
func (b *Registry) Empty() bool { return b.suspected.Load() == 0 }

// Crashed takes in that an instance ended with requests in flight. It returns the records that
// changed. Where some of them are known to have ended several instances, only those with
// the most are suspected: the others ran beside them.
func (b *Registry) Crashed(id uint64, had []InFlight) (changed []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.sweep(now)
	most := 0
	for _, request := range had {
		most = max(most, b.count(request.Keys))
	}
	for _, request := range had {
		if most >= repeatBelow && b.count(request.Keys) < most {
			continue
		}
		for _, key := range request.Keys {
			changed = b.suspect(changed, key, request.Head, Crash{ID: id, Caller: request.Caller}, now)
		}
	}
	return changed
}

// suspect adds a crash to the record of a key and the record to changed; the caller holds
// mutex.
func (b *Registry) suspect(changed []Record, key fingerprint.Key, head fingerprint.Head, crash Crash, now time.Time) []Record {
	known := b.entryOf(key, head)
	if !known.add(crash) {
		return changed
	}
	known.lastAt = now
	known.Stored, known.Here = false, true
	b.recount(known)
	changed = slices.DeleteFunc(changed, func(record Record) bool { return record.Key == key })
	return append(changed, b.recordOf(known, now))
}

// Answered takes in that an instance answered a request with the keys: what ended others is
// not this. It returns the records that changed.
func (b *Registry) Answered(keys []fingerprint.Key) (changed []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for _, key := range keys {
		known, ok := b.entries[key]
		if !ok || len(known.Crashes) == 0 {
			continue
		}
		for _, crash := range slices.Clone(known.Crashes) {
			known.refute(crash.ID)
		}
		known.Stored = false
		known.clearedHere = known.inStore
		b.recount(known)
		changed = append(changed, b.recordOf(known, now))
	}
	return changed
}

// Merge takes in what another daemon or the store knows and returns what was news, as it
// stands now.
func (b *Registry) Merge(records []Record) (changed []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	b.sweep(now)
	for _, record := range records {
		if record.Age > memory {
			continue
		}
		known := b.entryOf(record.Key, record.Head)
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
		b.recount(known)
		if news {
			changed = append(changed, b.recordOf(known, now))
		}
	}
	return changed
}

// Count returns the number of instances that ended under a request with the keys.
func (b *Registry) Count(keys []fingerprint.Key) int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.count(keys)
}

func (b *Registry) count(keys []fingerprint.Key) int {
	most := 0
	for _, key := range keys {
		if known, ok := b.entries[key]; ok {
			most = max(most, known.Count())
		}
	}
	return most
}

// MayRepeat reports whether a daemon may send a request with the keys to another instance by
// itself.
func (b *Registry) MayRepeat(keys []fingerprint.Key) bool { return MayRepeat(b.Count(keys)) }

// MayRepeat reports whether a daemon may send a request to another instance by itself after
// so many instances ended under what it asks for.
func MayRepeat(ended int) bool { return ended < repeatBelow }

// Judge decides on a request of a caller. It is held back when enough instances ended
// under what it asks for, and one of them had it from the same caller: nobody can have the
// requests of others held back by sending them himself.
func (b *Registry) Judge(keys []fingerprint.Key, caller string) Verdict {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	for _, key := range keys {
		known, ok := b.entries[key]
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

// Tried notes that one request with the key was let through.
func (b *Registry) Tried(key fingerprint.Key, trials uint32) (changed []Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, ok := b.entries[key]
	if !ok || trials <= known.Trials {
		return nil
	}
	known.Trials = trials
	return []Record{b.recordOf(known, b.now())}
}

// Told returns what a daemon that has just been connected to is told: the suspects, those
// under which most instances ended first.
func (b *Registry) Told() []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	records := make([]Record, 0, len(b.entries))
	for _, known := range b.entries {
		records = append(records, b.recordOf(known, now))
	}
	slices.SortFunc(records, func(one, other Record) int {
		return cmp.Or(cmp.Compare(other.Count(), one.Count()), cmp.Compare(one.Age, other.Age), slices.Compare(one.Key[:], other.Key[:]))
	})
	return records[:min(len(records), maxTold)]
}

// Unstored returns what the store lacks: suspects that are not repeated any more, which must
// outlast all daemons.
func (b *Registry) Unstored() []Record {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	var records []Record
	for _, known := range b.entries {
		if !known.Stored && known.Count() >= repeatBelow {
			records = append(records, b.recordOf(known, now))
		}
	}
	return records
}

// Store notes that the store has a record, unless it changed meanwhile.
func (b *Registry) Store(record Record) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known, ok := b.entries[record.Key]
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
func (b *Registry) Cleared() (keys []fingerprint.Key) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for key, known := range b.entries {
		if known.clearedHere && len(known.Crashes) == 0 {
			keys = append(keys, key)
		}
		known.clearedHere = false
	}
	return keys
}

// Sizes returns the number of suspects, and of those held back.
func (b *Registry) Sizes() (suspects, held int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, known := range b.entries {
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
func (b *Registry) entryOf(key fingerprint.Key, head fingerprint.Head) *entry {
	known, ok := b.entries[key]
	if ok {
		return known
	}
	if len(b.entries) >= maxSuspects {
		b.evict()
	}
	known = &entry{Record: Record{Key: key, Head: head}}
	b.entries[key] = known
	return known
}

// recount follows whether an entry is a suspect; the caller holds mutex.
func (b *Registry) recount(known *entry) {
	suspected := len(known.Crashes) > 0
	if suspected == known.counted {
		return
	}
	known.counted = suspected
	if suspected {
		b.heads[known.Head]++
		b.suspected.Add(1)
		return
	}
	b.suspected.Add(-1)
	if b.heads[known.Head]--; b.heads[known.Head] <= 0 {
		delete(b.heads, known.Head)
	}
}

// remove forgets an entry; the caller holds mutex.
func (b *Registry) remove(known *entry) {
	known.Crashes = nil
	b.recount(known)
	delete(b.entries, known.Key)
}

// sweep forgets what is old; the caller holds mutex.
func (b *Registry) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < clearedMemory {
		return
	}
	b.sweptAt = now
	for _, known := range b.entries {
		keep := memory
		if len(known.Crashes) == 0 {
			keep = clearedMemory
		}
		if now.Sub(known.lastAt) > keep {
			b.remove(known)
		}
	}
}

// evict forgets one entry of the caller that has the most, so that none can make the registry
// forget what others did: the one with the fewest crashes, of those the oldest. The caller
// holds mutex.
func (b *Registry) evict() {
	sizes := map[string]int{}
	for _, known := range b.entries {
		sizes[known.owner()]++
	}
	var worst *entry
	for _, known := range b.entries {
		if worst == nil || cmp.Or(
			cmp.Compare(sizes[known.owner()], sizes[worst.owner()]),
			cmp.Compare(worst.Count(), known.Count()),
			worst.lastAt.Compare(known.lastAt),
		) > 0 {
			worst = known
		}
	}
	if worst != nil {
		b.remove(worst)
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
func (b *Registry) recordOf(known *entry, now time.Time) Record {
	record := known.clone()
	record.Age = max(now.Sub(known.lastAt), 0)
	return record
}
