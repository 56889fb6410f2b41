package configsource

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Versions are what a daemon has in force, 0 for what it has not.
type Versions struct {
	// Configuration is the revision of the configuration.
	Configuration uint64
	// Orders is the revision of the operators' orders.
	Orders uint64
}

// Freshness records how recently what is in force was confirmed to be the newest,
// by this daemon's own questions to the source or by another daemon's word. One
// confirmation covers the configuration and the orders. It is safe for concurrent use.
type Freshness struct {
	// WithOrders is true where operators give orders. Where they do not, no word
	// about orders counts; where they do, none that leaves the orders out. It must
	// not be changed once the rest is used.
	WithOrders bool

	// mutex protects everything below.
	mutex    sync.Mutex
	versions Versions
	// confirmed is such that nothing newer than versions had been accepted before it.
	confirmed time.Time
	// awaited say the same of versions that are not in force here yet, in order of
	// the configuration's revision.
	awaited []confirmation
}

// maxAwaited bounds the confirmations that wait for their versions. In a storm of
// versions a daemon is behind by a few.
const maxAwaited = 16

// confirmation states that nothing newer than versions had been accepted before at.
type confirmation struct {
	versions Versions
	at       time.Time
}

// Confirm takes in that nothing newer than versions had been accepted before at.
// Where they are not in force here yet, that counts from when they are. Of the
// configuration the word about an older revision holds for a newer one too. Of the
// orders it does not: an order may be given and taken away, and who read them before
// and after says nothing of who read them between. Confirm reports whether what is in
// force is confirmed by it to be fresher than was known.
func (f *Freshness) Confirm(versions Versions, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.WithOrders {
		versions.Orders = 0
	}
	told := confirmation{versions, at}
	switch {
	case f.WithOrders && versions.Orders == 0, f.overtaken(told):
		return false
	case !f.holds(told):
		f.await(told)
		return false
	case !at.After(f.confirmed):
		return false
	}
	f.confirmed = at
	return true
}

// holds reports whether a confirmation is one of what is in force; mutex is held.
func (f *Freshness) holds(told confirmation) bool {
	return told.versions.Configuration <= f.versions.Configuration && told.versions.Orders == f.versions.Orders
}

// overtaken reports whether a confirmation is of older orders than those in force;
// mutex is held.
func (f *Freshness) overtaken(told confirmation) bool {
	return told.versions.Orders < f.versions.Orders
}

// Advance notes that a revision of the configuration is in force. What confirmed the
// one before still holds, because the new one was accepted later.
func (f *Freshness) Advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Configuration = max(f.versions.Configuration, revision)
	f.review()
}

// AdvanceOrders notes that a revision of the orders is in force, as Advance does.
func (f *Freshness) AdvanceOrders(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Orders = max(f.versions.Orders, revision)
	f.review()
}

// review counts the confirmations whose versions are in force by now, and drops those
// that are overtaken; mutex is held.
func (f *Freshness) review() {
	f.awaited = slices.DeleteFunc(f.awaited, func(told confirmation) bool {
		if f.holds(told) && told.at.After(f.confirmed) {
			f.confirmed = told.at
		}
		return f.holds(told) || f.overtaken(told)
	})
}

// await keeps a confirmation unless one that is kept says more; mutex is held.
func (f *Freshness) await(told confirmation) {
	for index, kept := range f.awaited {
		if kept.versions.Orders != told.versions.Orders {
			continue
		}
		if kept.versions.Configuration > told.versions.Configuration {
			// One of an older revision that is as late would say more.
			break
		}
		if !told.at.After(kept.at) {
			return
		}
		if kept.versions == told.versions {
			f.awaited[index] = told
			return
		}
	}
	if len(f.awaited) == maxAwaited {
		f.awaited = f.awaited[1:]
	}
	f.awaited = append(f.awaited, told)
	slices.SortFunc(f.awaited, func(a, b confirmation) int {
		return cmp.Or(cmp.Compare(a.versions.Configuration, b.versions.Configuration), cmp.Compare(a.versions.Orders, b.versions.Orders))
	})
}

// InForce returns what is in force and its newest confirmation, zero before the
// first.
func (f *Freshness) InForce() (versions Versions, confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.versions, f.confirmed
}

// Confirmed returns the newest confirmation of what is in force, zero before the
// first.
func (f *Freshness) Confirmed() time.Time {
	_, confirmed := f.InForce()
	return confirmed
}
