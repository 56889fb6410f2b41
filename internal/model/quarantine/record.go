package quarantine

import (
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
)

// Crash is the crash of an instance with a request in flight.
type Crash struct {
	// ID is unique to the crash of the instance.
	ID uint64
	// Caller is the service of the machine where the request started.
	Caller string
}

// Record holds the crashes recorded under one key. It is not safe for concurrent use.
type Record struct {
	Key     fingerprint.Key
	Head    fingerprint.Head
	Crashes []Crash
	// Refuted holds the ids of crashes after which an instance answered such a request.
	Refuted []uint64
	// Trials is the number of requests that ran as trials.
	Trials uint32
	// Age is the time since the newest crash.
	Age time.Duration
	// Stored is true once the Store holds the crashes.
	Stored bool
	// Local is true if this daemon observed the newest crash itself. It is not sent to other
	// daemons.
	Local bool
}

// Limits of one record. maxCrashes is above quarantineThreshold, so that the crashes of several
// calling services fit into a record. maxRefuted is above maxCrashes, so that one response can
// refute every crash of a full record.
const (
	maxCrashes = 12
	maxRefuted = 24
)

// Count returns the number of distinct crashes that are not refuted.
func (r *Record) Count() int {
	distinct := 0
	for index, crash := range r.Crashes {
		if !slices.ContainsFunc(r.Crashes[:index], func(earlier Crash) bool { return earlier.ID == crash.ID }) {
			distinct++
		}
	}
	return distinct
}

// involves reports whether the caller had a request in flight in one of the crashes.
func (r *Record) involves(caller string) bool {
	return slices.ContainsFunc(r.Crashes, func(crash Crash) bool { return crash.Caller == caller })
}

// add adds a crash and reports whether the record changed. In a full record, a crash of a caller
// without a recorded crash replaces the oldest one.
func (r *Record) add(crash Crash) bool {
	if slices.Contains(r.Refuted, crash.ID) || slices.Contains(r.Crashes, crash) {
		return false
	}
	if len(r.Crashes) >= maxCrashes {
		if r.involves(crash.Caller) {
			return false
		}
		r.Crashes = slices.Delete(r.Crashes, 0, 1)
	}
	r.Crashes = append(r.Crashes, crash)
	return true
}

// refute removes a crash permanently and reports whether the record changed.
func (r *Record) refute(id uint64) bool {
	if slices.Contains(r.Refuted, id) {
		return false
	}
	r.Refuted = append(r.Refuted, id)
	if len(r.Refuted) > maxRefuted {
		r.Refuted = slices.Delete(r.Refuted, 0, len(r.Refuted)-maxRefuted)
	}
	r.Crashes = slices.DeleteFunc(r.Crashes, func(crash Crash) bool { return crash.ID == id })
	return true
}

// Merge adds the crashes, refuted crashes and trials of another record with the same key, and
// reports whether the record changed.
func (r *Record) Merge(other Record) (changed bool) {
	for _, id := range other.Refuted {
		changed = r.refute(id) || changed
	}
	for _, crash := range other.Crashes {
		changed = r.add(crash) || changed
	}
	if other.Trials > r.Trials {
		r.Trials, changed = other.Trials, true
	}
	return changed
}

// clone returns a deep copy.
func (r *Record) clone() Record {
	copied := *r
	copied.Crashes = slices.Clone(r.Crashes)
	copied.Refuted = slices.Clone(r.Refuted)
	return copied
}
