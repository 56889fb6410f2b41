package quarantine

import (
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/fingerprint"
)

// Ending is the end of an instance that had a request.
type Ending struct {
	// ID is unique for each end of an instance.
	ID uint64
	// Caller is the service of the machine where the request started.
	Caller string
}

// Record is what is known of one suspect.
type Record struct {
	Key     fingerprint.Key
	Head    fingerprint.Head
	Endings []Ending
	// Refuted are the endings after which an instance answered such a request.
	Refuted []uint64
	// Trials counts how often one was let through to see.
	Trials uint32
	// Age is the time since the newest ending.
	Age time.Duration
	// Stored is true once the platform's store has the endings.
	Stored bool
	// Here is true where this daemon is the one beside the instance that ended last. It is
	// not told to others.
	Here bool
}

// Bounds of one record. Three endings decide; more are kept so that callers of several
// services are each found among them.
const (
	maxEndings = 12
	maxRefuted = 24
)

// Count returns the number of instances that ended, those refuted left out.
func (r *Record) Count() int {
	distinct := 0
	for index, ending := range r.Endings {
		if !slices.ContainsFunc(r.Endings[:index], func(earlier Ending) bool { return earlier.ID == ending.ID }) {
			distinct++
		}
	}
	return distinct
}

// from reports whether a request of the caller was in flight in one of the endings.
func (r *Record) from(caller string) bool {
	return slices.ContainsFunc(r.Endings, func(ending Ending) bool { return ending.Caller == caller })
}

// add takes in an ending; it reports whether that is news.
func (r *Record) add(ending Ending) bool {
	if slices.Contains(r.Refuted, ending.ID) || slices.Contains(r.Endings, ending) || len(r.Endings) >= maxEndings {
		return false
	}
	r.Endings = append(r.Endings, ending)
	return true
}

// refute takes in that an ending shows nothing; it reports whether that is news.
func (r *Record) refute(id uint64) bool {
	if slices.Contains(r.Refuted, id) {
		return false
	}
	r.Refuted = append(r.Refuted, id)
	if len(r.Refuted) > maxRefuted {
		r.Refuted = slices.Delete(r.Refuted, 0, len(r.Refuted)-maxRefuted)
	}
	r.Endings = slices.DeleteFunc(r.Endings, func(ending Ending) bool { return ending.ID == id })
	return true
}

// Merge takes in what another daemon or the store knows; it reports whether that is news.
func (r *Record) Merge(other Record) (news bool) {
	for _, id := range other.Refuted {
		news = r.refute(id) || news
	}
	for _, ending := range other.Endings {
		news = r.add(ending) || news
	}
	if other.Trials > r.Trials {
		r.Trials, news = other.Trials, true
	}
	return news
}

// clone returns a copy that shares nothing.
func (r *Record) clone() Record {
	copied := *r
	copied.Endings = slices.Clone(r.Endings)
	copied.Refuted = slices.Clone(r.Refuted)
	return copied
}
