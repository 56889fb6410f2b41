// Package orders holds the operators' orders beside the configuration: the evacuation of zones and
// the roll-out of versions.
// Orders are known as a whole, at a revision of the store that they are written to; a daemon
// follows the newest that it learned of.
//
// The package owns the orders in force on a daemon (Current), in memory. It does no I/O: what
// other daemons and the store answer is passed in, what must be spread is returned. It relies on
// the places in the store's history (position.Position), which a set's revision is, to grow.
//
// What must hold: orders that were taken back do not come back from a daemon that missed it;
// every daemon that learned of the same revisions follows the same orders.
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

// Kinds are the kinds of orders that operators give.
type Kinds struct{ Evacuations, Rollouts bool }

// Any reports whether operators give any orders.
func (k Kinds) Any() bool { return k.Evacuations || k.Rollouts }

// Set is all orders in force at one revision of the store. It is immutable and safe for
// concurrent use; nil is the set of a daemon that has not learned of any yet.
type Set struct {
	message   *lapisv1.Orders
	evacuated map[string]bool
}

// NewSet returns the set of a message. The message must not be changed
// afterwards.
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

// Revision returns the store's revision at which these were the orders, 0 for nil.
func (s *Set) Revision() uint64 { return s.Message().GetRevision() }

// Message returns the message of the set, nil for nil.
func (s *Set) Message() *lapisv1.Orders {
	if s == nil {
		return nil
	}
	return s.message
}

// Evacuated reports whether the instances of a zone get no calls.
func (s *Set) Evacuated(zone string) bool { return s != nil && s.evacuated[zone] }

// Zones returns the evacuated zones in order.
func (s *Set) Zones() []string {
	zones := make([]string, 0, len(s.Message().GetEvacuations()))
	for _, evacuation := range s.Message().GetEvacuations() {
		zones = append(zones, evacuation.GetZone())
	}
	return zones
}

// Rollouts returns the states of the objects that order roll-outs, in order of name.
func (s *Set) Rollouts() []*lapisv1.Rollout { return s.Message().GetRollouts() }

// SameAs reports whether two sets evacuate the same zones and order the same roll-outs, whatever
// their revisions. A roll-out whose object was written since is another one: its status and the
// revision that the next write must name have changed.
func (s *Set) SameAs(other *Set) bool {
	return (s == nil) == (other == nil) && slices.Equal(s.Zones(), other.Zones()) &&
		slices.EqualFunc(s.Rollouts(), other.Rollouts(), func(a, b *lapisv1.Rollout) bool { return proto.Equal(a, b) })
}

// samePhase reports whether no era began or settled between two sets.
func (s *Set) samePhase(other *Set) bool {
	return position.Position(s.Revision()).Phase() == position.Position(other.Revision()).Phase()
}

// restated returns the same orders at another revision.
func (s *Set) restated(revision uint64) *Set {
	return &Set{
		message:   &lapisv1.Orders{Revision: revision, Evacuations: s.Message().GetEvacuations(), Rollouts: s.Rollouts()},
		evacuated: s.evacuated,
	}
}

// GivenAgain returns the zones that are evacuated in both sets, but by different orders: the
// first was taken back and another given in between.
func (s *Set) GivenAgain(before *Set) []string {
	if position.Position(s.Revision()).Era() != position.Position(before.Revision()).Era() {
		// Revisions of several eras are not compared.
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

// Current is the newest set that a daemon knows. It is safe for concurrent use. Now, unless nil, is its
// clock; it must be set before the first use.
type Current struct {
	Now func() time.Time

	set atomic.Pointer[Set]

	// mutex is held while set is replaced and protects what is below. read is the place in the
	// store's history up to which this daemon has read the orders itself.
	mutex   sync.Mutex
	read    uint64
	returns settling
}

// Load returns the newest set, nil before the first.
func (c *Current) Load() *Set { return c.set.Load() }

// Message returns what other daemons are told: the newest set, and how far the era that it belongs
// to has settled. It is nil before the first set.
func (c *Current) Message() *lapisv1.Orders {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	set := c.Load()
	if set == nil {
		return nil
	}
	told := &lapisv1.Orders{
		Revision: set.Revision(), Evacuations: set.Message().GetEvacuations(), Rollouts: set.Message().GetRollouts(),
	}
	if position.Position(set.Revision()).EraBegun() == c.returns.era {
		c.returns.state(told, c.now())
	}
	return told
}

func (c *Current) now() time.Time {
	if c.Now == nil {
		return boottime.Now()
	}
	return c.Now()
}

// Evacuated reports whether the instances of a zone get no calls.
func (c *Current) Evacuated(zone string) bool { return c.Load().Evacuated(zone) }

// ApplyReceived applies another daemon's set if it is newer than the present one, and returns
// the one before. A set that is no newer than what this daemon has read from the store, and
// differs from the present one, was taken back meanwhile: then the present orders are restated at
// the revision read, so that daemons that follow the received ones drop them. changed is true
// where the present set has another revision now, which must be spread.
func (c *Current) ApplyReceived(set *Set) (before *Set, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before = c.Load()
	set = c.returns.apply(set, before, c.now())
	if set.Revision() <= before.Revision() {
		return before, false
	}
	if set.Revision() <= c.read && !set.SameAs(before) {
		set = before.restated(c.read)
	}
	c.set.Store(set)
	return before, true
}

// ApplyStored applies what the store has answered to this daemon. A set that evacuates the same
// zones as the present one takes its revision, so that nothing is spread anew, and changed is
// false; but other daemons must learn that an era began or settled, or superseded orders.
func (c *Current) ApplyStored(set *Set) (before *Set, changed bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	before = c.Load()
	superseded := len(c.returns.superseded)
	set = c.returns.apply(set, before, c.now())
	if set.Revision() <= max(before.Revision(), c.read) {
		return before, false
	}
	c.read = set.Revision()
	known := set.samePhase(before) && len(c.returns.superseded) == superseded
	if known && set.SameAs(before) {
		c.set.Store(set.restated(before.Revision()))
		return before, false
	}
	c.set.Store(set)
	return before, true
}
