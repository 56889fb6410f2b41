package quarantine

import (
	"cmp"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Retention of entries.
const (
	// refutedTTL is the retention of entries without crashes that count, and the interval
	// between sweeps. It is longer than records take to spread between daemons, so that a record
	// still on its way does not count a refuted crash again, and shorter than suspectTTL.
	refutedTTL = time.Minute
	// maxEntries limits the entries: 1.2 MB at an estimated 300 bytes each.
	maxEntries = 4096
)

// getOrCreateEntry returns the entry of a key and creates it if there is none. The caller must hold
// mutex.
func (r *Registry) getOrCreateEntry(key fingerprint.Key, head fingerprint.Head) *entry {
	suspect, ok := r.entries[key]
	if ok {
		return suspect
	}
	if len(r.entries) >= maxEntries {
		r.evict()
	}
	suspect = &entry{Record: Record{Key: key, Head: head}}
	r.entries[key] = suspect
	return suspect
}

// updateIndex updates suspectsByHead and suspectCount after the crashes of an entry changed. The
// caller must hold mutex.
func (r *Registry) updateIndex(suspect *entry) {
	suspected := len(suspect.Crashes) > 0
	if suspected == suspect.inHeads {
		return
	}
	suspect.inHeads = suspected
	if suspected {
		r.suspectsByHead[suspect.Head]++
		r.suspectCount.Add(1)
		return
	}
	r.suspectCount.Add(-1)
	if r.suspectsByHead[suspect.Head]--; r.suspectsByHead[suspect.Head] <= 0 {
		delete(r.suspectsByHead, suspect.Head)
	}
}

// remove deletes an entry. The caller must hold mutex.
func (r *Registry) remove(suspect *entry) {
	suspect.Crashes = nil
	r.updateIndex(suspect)
	delete(r.entries, suspect.Key)
}

// sweep deletes the entries whose retention has passed: suspectTTL for entries with crashes, refutedTTL
// for the others. It does so at most once per refutedTTL. The caller must hold mutex.
func (r *Registry) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < refutedTTL {
		return
	}
	r.sweptAt = now
	for _, suspect := range r.entries {
		keep := suspectTTL
		if len(suspect.Crashes) == 0 {
			keep = refutedTTL
		}
		if now.Sub(suspect.lastCrashAt) > keep {
			r.remove(suspect)
		}
	}
}

// evict deletes one entry of the caller that owns the most entries, so that no caller can evict the
// entries of others. Of these it deletes the one with the fewest crashes, and among equals the
// oldest. The caller must hold mutex.
func (r *Registry) evict() {
	sizes := map[string]int{}
	for _, suspect := range r.entries {
		sizes[suspect.owner()]++
	}
	var worst *entry
	for _, suspect := range r.entries {
		if worst == nil || cmp.Or(
			cmp.Compare(sizes[suspect.owner()], sizes[worst.owner()]),
			cmp.Compare(worst.Count(), suspect.Count()),
			worst.lastCrashAt.Compare(suspect.lastCrashAt),
		) > 0 {
			worst = suspect
		}
	}
	if worst != nil {
		r.remove(worst)
	}
}

// owner returns the caller that an entry is attributed to: that of its oldest crash.
func (e *entry) owner() string {
	if len(e.Crashes) == 0 {
		return ""
	}
	return e.Crashes[0].Caller
}
