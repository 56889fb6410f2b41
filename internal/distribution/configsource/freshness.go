package configsource

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Versions holds the revisions that a daemon has in force, 0 for none.
type Versions struct {
	Configuration uint64
	// Orders is the revision of the operators' orders.
	Orders uint64
}

// Freshness records the time at which the versions in force were last confirmed to be the newest,
// by this daemon's own polls or by a heartbeat of another daemon. One confirmation covers the
// configuration and the orders. It is safe for concurrent use.
type Freshness struct {
	// WithOrders is true on sites with orders. If it is false, the orders of a confirmation are
	// ignored; if it is true, confirmations without orders are ignored. It must not be changed
	// after first use.
	WithOrders bool

	// mutex protects everything below.
	mutex    sync.Mutex
	versions Versions
	// confirmed is the latest time before which no version newer than versions was accepted.
	confirmed time.Time
	// pending holds the confirmations of versions that are not in force here yet, sorted by
	// configuration revision.
	pending []confirmation
}

// maxPending limits the number of pending confirmations. It must be larger than 1: if only the
// newest one is kept, many daemons poll at the same time while versions change in quick succession.
const maxPending = 16

// confirmation states that no version newer than versions had been accepted before at.
type confirmation struct {
	versions Versions
	at       time.Time
}

// Confirm records that no version newer than versions had been accepted before at. It reports
// whether this advances the confirmation time of the versions in force.
//
// The rules apply in this order. On sites with orders, a confirmation without orders, or of orders
// older than those in force, is ignored. A confirmation of versions that are not in force here yet
// is kept until they are. A confirmation that is not newer than the latest known one is ignored.
//
// A confirmation of an older configuration also holds for a newer one, because revisions only
// increase. A confirmation of older orders does not: an order may be given and withdrawn in
// between, so that equal orders at two times say nothing about the time between them.
func (f *Freshness) Confirm(versions Versions, at time.Time) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.WithOrders {
		versions.Orders = 0
	}
	incoming := confirmation{versions, at}
	switch {
	case f.WithOrders && versions.Orders == 0, incoming.supersededBy(f.versions):
		return false
	case !incoming.covers(f.versions):
		f.keepPending(incoming)
		return false
	case !at.After(f.confirmed):
		return false
	}
	f.confirmed = at
	return true
}

// covers reports whether the confirmation applies to the versions in force.
func (c confirmation) covers(inForce Versions) bool {
	return c.versions.Configuration <= inForce.Configuration && c.versions.Orders == inForce.Orders
}

// supersededBy reports whether the confirmation is about orders older than those in force.
func (c confirmation) supersededBy(inForce Versions) bool {
	return c.versions.Orders < inForce.Orders
}

// Advance records that a configuration revision is in force. The confirmation of the previous
// revision remains valid, because the new one was accepted later.
func (f *Freshness) Advance(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Configuration = max(f.versions.Configuration, revision)
	f.applyPending()
}

// AdvanceOrders records that a revision of the orders is in force, like Advance.
func (f *Freshness) AdvanceOrders(revision uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.versions.Orders = max(f.versions.Orders, revision)
	f.applyPending()
}

// applyPending applies the pending confirmations whose versions are now in force, and drops the
// superseded ones; the caller holds mutex.
func (f *Freshness) applyPending() {
	f.pending = slices.DeleteFunc(f.pending, func(kept confirmation) bool {
		if kept.covers(f.versions) && kept.at.After(f.confirmed) {
			f.confirmed = kept.at
		}
		return kept.covers(f.versions) || kept.supersededBy(f.versions)
	})
}

// keepPending stores a confirmation unless a pending one covers it; the caller holds mutex.
func (f *Freshness) keepPending(incoming confirmation) {
	for index, kept := range f.pending {
		if kept.versions.Orders != incoming.versions.Orders {
			continue
		}
		if kept.versions.Configuration > incoming.versions.Configuration {
			// A confirmation of an older revision applies to more versions, so that incoming is
			// kept as well.
			break
		}
		if !incoming.at.After(kept.at) {
			return
		}
		if kept.versions == incoming.versions {
			f.pending[index] = incoming
			return
		}
	}
	if len(f.pending) == maxPending {
		f.pending = f.pending[1:]
	}
	f.pending = append(f.pending, incoming)
	slices.SortFunc(f.pending, func(a, b confirmation) int {
		return cmp.Or(cmp.Compare(a.versions.Configuration, b.versions.Configuration), cmp.Compare(a.versions.Orders, b.versions.Orders))
	})
}

// Behind reports whether another daemon confirmed a configuration newer than the one in force here,
// which this daemon will therefore receive soon.
func (f *Freshness) Behind() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return slices.ContainsFunc(f.pending, func(kept confirmation) bool {
		return kept.versions.Configuration > f.versions.Configuration
	})
}

// InForce returns the versions in force and the time of their latest confirmation, zero before the
// first.
func (f *Freshness) InForce() (versions Versions, confirmed time.Time) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.versions, f.confirmed
}

// Confirmed returns the time of the latest confirmation, zero before the first.
func (f *Freshness) Confirmed() time.Time {
	_, confirmed := f.InForce()
	return confirmed
}
