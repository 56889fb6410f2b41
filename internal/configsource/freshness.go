package configsource

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Freshness records how recently the configuration in force was confirmed to be
// the newest one, by this daemon's own question to the source or by another
// daemon's word. It is safe for concurrent use.
type Freshness struct {
	// mutex protects everything below.
	mutex    sync.Mutex
	revision uint64
	// confirmed is such that nothing above revision had been accepted before it.
	confirmed time.Time
	// awaited say the same of revisions that are not in force here yet, in order of
	// revision.
	awaited []confirmation
}

// maxAwaited bounds the confirmations that wait for their revision. In a storm of
// versions a daemon is behind by a few.
const maxAwaited = 16

// confirmation states that nothing above revision had been accepted before at.
type confirmation struct {
	revision uint64
	at       time.Time
}

// Confirm takes in that nothing above revision had been accepted before at. Where
// revision is not in force here yet, that counts from when it is. It reports whether
// what is in force is confirmed by it to be fresher than was known.
func (f *Freshness) Confirm(revision uint64, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if revision > f.revision {
		f.await(confirmation{revision, at})
		return false
	}
	if !at.After(f.confirmed) {
		return false
	}
	f.confirmed = at
	return true
}

// Advance notes that a revision is in force. What confirmed the one before still
// holds, because the new one was accepted later.
func (f *Freshness) Advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.revision = max(f.revision, revision)
	for len(f.awaited) > 0 && f.awaited[0].revision <= f.revision {
		if f.awaited[0].at.After(f.confirmed) {
			f.confirmed = f.awaited[0].at
		}
		f.awaited = f.awaited[1:]
	}
}

// await keeps a confirmation unless one that is kept says more; mutex is held.
func (f *Freshness) await(told confirmation) {
	for index, kept := range f.awaited {
		if kept.revision > told.revision {
			// One of an older revision that is as late would say more.
			break
		}
		if !told.at.After(kept.at) {
			return
		}
		if kept.revision == told.revision {
			f.awaited[index] = told
			return
		}
	}
	if len(f.awaited) == maxAwaited {
		f.awaited = f.awaited[1:]
	}
	f.awaited = append(f.awaited, told)
	slices.SortFunc(f.awaited, func(a, b confirmation) int { return cmp.Compare(a.revision, b.revision) })
}

// InForce returns the revision in force and its newest confirmation, zero before
// the first.
func (f *Freshness) InForce() (revision uint64, confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.revision, f.confirmed
}

// Confirmed returns the newest confirmation of what is in force, zero before the
// first.
func (f *Freshness) Confirmed() time.Time {
	_, confirmed := f.InForce()
	return confirmed
}
