// Package orders holds the operators' orders in addition to the configuration: the evacuation of
// zones and the roll-out of versions. Orders are always known as a complete set at a revision of
// the store; a daemon follows the newest set that it has received.
//
// The package holds the orders in force on a daemon (Current) in memory. It does no I/O: the caller
// passes in the answers of other daemons and of the store, and sends the returned sets to other
// daemons.
// The revision of a set is a position in the store's history (position.Position); the package
// depends on positions increasing.
//
// Invariants: orders that were withdrawn do not return through a daemon that missed the withdrawal;
// all daemons that received the same revisions follow the same orders.
package orders

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/position"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Kinds selects the kinds of orders that operators can give.
type Kinds struct{ Evacuations, Rollouts bool }

// Any reports whether operators can give orders of any kind.
func (k Kinds) Any() bool { return k.Evacuations || k.Rollouts }

// Set holds all orders in force at one revision of the store. It is immutable and safe for
// concurrent use; nil is the set of a daemon that has not received any.
type Set struct {
	message   *lapisv1.Orders
	evacuated map[string]bool
}

// NewSet returns the set of a message. The caller must not modify the message afterwards.
func NewSet(message *lapisv1.Orders) *Set {
	evacuated := make(map[string]bool, len(message.GetEvacuations()))
	for _, evacuation := range message.GetEvacuations() {
		evacuated[evacuation.GetZone()] = true
	}
	slices.SortFunc(message.GetEvacuations(), func(a, b *lapisv1.Evacuation) int {
		return strings.Compare(a.GetZone(), b.GetZone())
	})
	slices.SortFunc(message.GetRollouts(), func(a, b *lapisv1.Rollout) int {
		return strings.Compare(a.GetName(), b.GetName())
	})
	return &Set{message: message, evacuated: evacuated}
}

// Revision returns the store's revision of the set, 0 for nil.
func (s *Set) Revision() uint64 { return s.Message().GetRevision() }

// Message returns the message of the set, nil for nil.
func (s *Set) Message() *lapisv1.Orders {
	if s == nil {
		return nil
	}
	return s.message
}

// Evacuated reports whether a zone is evacuated, so that its instances get no calls.
func (s *Set) Evacuated(zone string) bool { return s != nil && s.evacuated[zone] }

// Zones returns the evacuated zones, sorted.
func (s *Set) Zones() []string {
	zones := make([]string, 0, len(s.Message().GetEvacuations()))
	for _, evacuation := range s.Message().GetEvacuations() {
		zones = append(zones, evacuation.GetZone())
	}
	return zones
}

// Rollouts returns the states of the objects that order roll-outs, sorted by name.
func (s *Set) Rollouts() []*lapisv1.Rollout { return s.Message().GetRollouts() }

// EqualOrders reports whether two sets evacuate the same zones and order the same roll-outs, at any
// revisions. A roll-out whose object was written in between differs, because its status and the
// revision for the next write have changed.
func (s *Set) EqualOrders(other *Set) bool {
	return (s == nil) == (other == nil) && slices.Equal(s.Zones(), other.Zones()) &&
		slices.EqualFunc(s.Rollouts(), other.Rollouts(), func(a, b *lapisv1.Rollout) bool { return proto.Equal(a, b) })
}

// samePhase reports whether two sets are of the same era, and both from within or both from after its
// settling period.
func (s *Set) samePhase(other *Set) bool {
	return position.Position(s.Revision()).Phase() == position.Position(other.Revision()).Phase()
}

// withRevision returns the same orders at another revision.
func (s *Set) withRevision(revision uint64) *Set {
	return &Set{
		message:   &lapisv1.Orders{Revision: revision, Evacuations: s.Message().GetEvacuations(), Rollouts: s.Rollouts()},
		evacuated: s.evacuated,
	}
}

// ReissuedZones returns the zones that are evacuated in both sets, but by different orders: the first
// order was withdrawn and another one given in between.
func (s *Set) ReissuedZones(before *Set) []string {
	if position.Position(s.Revision()).Era() != position.Position(before.Revision()).Era() {
		// Revisions of different eras cannot be compared.
		return nil
	}
	given := map[string]uint64{}
	for _, evacuation := range before.Message().GetEvacuations() {
		given[evacuation.GetZone()] = evacuation.GetRevision()
	}
	var again []string
	for _, evacuation := range s.Message().GetEvacuations() {
		if earlier, ok := given[evacuation.GetZone()]; ok && earlier != evacuation.GetRevision() {
			again = append(again, evacuation.GetZone())
		}
	}
	return again
}

// Current holds the newest set that a daemon knows. It is safe for concurrent use. Now is its clock
// and must be set before the first use; nil selects boottime.Now.
type Current struct {
	Now func() time.Time

	set atomic.Pointer[Set]

	// mutex is held while set is replaced, and guards the fields below. readRevision is the
	// position up to which this daemon itself has read the orders from the store.
	mutex        sync.Mutex
	readRevision uint64
	transition   eraTransition
}

// Load returns the newest set, nil before the first one.
func (c *Current) Load() *Set { return c.set.Load() }

// Message returns the message for other daemons: the newest set and the settling state of its era.
// It is nil before the first set.
func (c *Current) Message() *lapisv1.Orders {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	set := c.Load()
	if set == nil {
		return nil
	}
	outgoing := &lapisv1.Orders{
		Revision: set.Revision(), Evacuations: set.Message().GetEvacuations(), Rollouts: set.Message().GetRollouts(),
	}
	if position.Position(set.Revision()).EraBegun() == c.transition.era {
		c.transition.addState(outgoing, c.now())
	}
	return outgoing
}

func (c *Current) now() time.Time {
	if c.Now == nil {
		return boottime.Now()
	}
	return c.Now()
}

// Evacuated reports whether a zone is evacuated, so that its instances get no calls.
func (c *Current) Evacuated(zone string) bool { return c.Load().Evacuated(zone) }

// ApplyReceived applies another daemon's set if it is newer than the current one, and returns the
// previous set. A set that is not newer than what this daemon has read from the store, but differs
// from the current set, is outdated: orders in it were withdrawn in the meantime. In that case the
// current orders get the revision that was read, so that daemons that follow the received orders
// drop them. changed is true if the current set has a new revision and must be sent to other daemons.
func (c *Current) ApplyReceived(set *Set) (before *Set, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before = c.Load()
	set = c.transition.apply(set, before, c.now())
	if set.Revision() <= before.Revision() {
		return before, false
	}
	if set.Revision() <= c.readRevision && !set.EqualOrders(before) {
		set = before.withRevision(c.readRevision)
	}
	c.set.Store(set)
	return before, true
}

// ApplyStored applies a set that this daemon has read from the store, and returns the previous set.
// If the orders are unchanged, the current revision is kept and changed is false, so that nothing
// is sent again. Other daemons must still learn that an era began or settled, or that it
// superseded orders; changed is true then.
func (c *Current) ApplyStored(set *Set) (before *Set, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before = c.Load()
	superseded := len(c.transition.superseded)
	set = c.transition.apply(set, before, c.now())
	if set.Revision() <= max(before.Revision(), c.readRevision) {
		return before, false
	}
	c.readRevision = set.Revision()
	known := set.samePhase(before) && len(c.transition.superseded) == superseded
	if known && set.EqualOrders(before) {
		c.set.Store(set.withRevision(before.Revision()))
		return before, false
	}
	c.set.Store(set)
	return before, true
}
