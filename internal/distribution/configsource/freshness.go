package configsource

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Versions are the revisions that a daemon has in force, 0 for none.
type Versions struct {
	Configuration uint64
	// Orders is the revision of the operators' orders.
	Orders uint64
}

// Freshness records how recently what is in force was confirmed to be the newest,
// by this daemon's own polls of the source or by another daemon's heartbeat. One
// confirmation covers the configuration and the orders. It is safe for concurrent use.
type Freshness struct {
	// WithOrders is true where operators give orders. Where they do not, the orders of a
	// confirmation are ignored; where they do, a confirmation without orders is. It must
	// not be changed once the rest is used.
	WithOrders bool

	// mutex protects everything below.
	mutex    sync.Mutex
	versions Versions
	// confirmed is the newest time before which nothing newer than versions was accepted.
	confirmed time.Time
	// pending are confirmations of versions that are not in force here yet, in order of the
	// configuration's revision.
	pending []confirmation
}

// maxPending bounds the confirmations that wait for their versions. It must be
// larger than 1: with only the newest one kept, many daemons poll at once while versions follow each
// other quickly.
const maxPending = 16

// confirmation states that nothing newer than versions had been accepted before at.
type confirmation struct {
	versions Versions
	at       time.Time
}

// Confirm records that nothing newer than versions had been accepted before at, and reports
// whether what is in force is confirmed by it to be fresher than was known.
//
// Conditions, in this order. A confirmation without orders is ignored where operators give
// orders, and so is one of older orders than those in force. One of versions that are not in
// force here yet counts once they are. One that is older than the newest known is ignored.
//
// Reason: a confirmation of an older configuration holds for a newer one too, because
// revisions only grow. One of older orders does not: an order may be given and withdrawn in
// between, so that equal orders at two times prove nothing of the time between.
func (f *Freshness) Confirm(versions Versions, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.WithOrders {
		versions.Orders = 0
	}
	stated := confirmation{versions, at}
	switch {
	case f.WithOrders && versions.Orders == 0, stated.overtakenBy(f.versions):
		return false
	case !stated.covers(f.versions):
		f.keepPending(stated)
		return false
	case !at.After(f.confirmed):
		return false
	}
	f.confirmed = at
	return true
}

// covers reports whether a confirmation holds for what is in force.
func (c confirmation) covers(inForce Versions) bool {
	return c.versions.Configuration <= inForce.Configuration && c.versions.Orders == inForce.Orders
}

// overtakenBy reports whether a confirmation is of older orders than those in force.
func (c confirmation) overtakenBy(inForce Versions) bool {
	return c.versions.Orders < inForce.Orders
}

// Advance records that a revision of the configuration is in force. What confirmed the
// one before still holds, because the new one was accepted later.
func (f *Freshness) Advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Configuration = max(f.versions.Configuration, revision)
	f.applyPending()
}

// AdvanceOrders records that a revision of the orders is in force, as Advance does.
func (f *Freshness) AdvanceOrders(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Orders = max(f.versions.Orders, revision)
	f.applyPending()
}

// applyPending applies the confirmations whose versions are in force by now, and drops those
// that are overtaken; mutex is held.
func (f *Freshness) applyPending() {
	f.pending = slices.DeleteFunc(f.pending, func(kept confirmation) bool {
		if kept.covers(f.versions) && kept.at.After(f.confirmed) {
			f.confirmed = kept.at
		}
		return kept.covers(f.versions) || kept.overtakenBy(f.versions)
	})
}

// keepPending keeps a confirmation unless another one kept covers it; mutex is held.
func (f *Freshness) keepPending(stated confirmation) {
	for index, kept := range f.pending {
		if kept.versions.Orders != stated.versions.Orders {
			continue
		}
		if kept.versions.Configuration > stated.versions.Configuration {
			// A confirmation of an older revision covers more, so that stated is kept too.
			break
		}
		if !stated.at.After(kept.at) {
			return
		}
		if kept.versions == stated.versions {
			f.pending[index] = stated
			return
		}
	}
	if len(f.pending) == maxPending {
		f.pending = f.pending[1:]
	}
	f.pending = append(f.pending, stated)
	slices.SortFunc(f.pending, func(a, b confirmation) int {
		return cmp.Or(cmp.Compare(a.versions.Configuration, b.versions.Configuration), cmp.Compare(a.versions.Orders, b.versions.Orders))
	})
}

// Behind reports whether another daemon has confirmed a newer configuration than the one in force
// here, which is then on its way.
func (f *Freshness) Behind() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.pending, func(kept confirmation) bool {
		return kept.versions.Configuration > f.versions.Configuration
	})
}

// InForce returns what is in force and the time of its newest confirmation, zero before the
// first.
func (f *Freshness) InForce() (versions Versions, confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.versions, f.confirmed
}

// Confirmed returns the time of the newest confirmation, zero before the first.
func (f *Freshness) Confirmed() time.Time {
	_, confirmed := f.InForce()
	return confirmed
}
