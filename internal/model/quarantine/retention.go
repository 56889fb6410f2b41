package quarantine

import (
	"cmp"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// What is remembered, and for how long.
const (
	// refutedMemory is how long refuted crashes are remembered, so that a record of them that was
	// still under way does not count again. It is also the interval of sweeps. It is longer than
	// records take from daemon to daemon, and below memory.
	refutedMemory = time.Minute
	// maxEntries bounds the entries, at about 300 bytes each (estimated) 1.2 MB.
	maxEntries = 4096
)

// entryOf returns the entry of a key, a new one where there is none; the caller holds mutex.
func (r *Registry) entryOf(key fingerprint.Key, head fingerprint.Head) *entry {
	known, ok := r.entries[key]
	if ok {
		return known
	}
	if len(r.entries) >= maxEntries {
		r.evict()
	}
	known = &entry{Record: Record{Key: key, Head: head}}
	r.entries[key] = known
	return known
}

// recount updates heads and suspected after the crashes of an entry changed; the caller holds
// mutex.
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

// sweep forgets entries older than memory or refutedMemory; the caller holds mutex.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < refutedMemory {
		return
	}
	r.sweptAt = now
	for _, known := range r.entries {
		keep := memory
		if len(known.Crashes) == 0 {
			keep = refutedMemory
		}
		if now.Sub(known.lastAt) > keep {
			r.remove(known)
		}
	}
}

// evict forgets one entry of the caller that has the most, so that no caller can make the
// registry forget the entries of others: the one with the fewest crashes, of those the oldest.
// mutex is held.
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

// owner is the caller that an entry counts for: that of its oldest crash.
func (e *entry) owner() string {
	if len(e.Crashes) == 0 {
		return ""
	}
	return e.Crashes[0].Caller
}
