// Package orders holds what operators ask for beside the configuration: today
// the evacuation of zones. Orders are known as a whole, at a revision of the
// store that they are written to; a daemon follows the newest that it has heard of.
package orders

import (
	"slices"
	"strings"
	"sync/atomic"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Set is all orders that stand at one revision of the store. It is immutable; nil
// is the set of a daemon that has not heard of any yet.
type Set struct {
	message   *lapisv1.Orders
	evacuated map[string]bool
}

// NewSet returns the set that a message states. The message must not be changed
// afterwards.
func NewSet(message *lapisv1.Orders) *Set {
	evacuated := make(map[string]bool, len(message.GetEvacuations()))
	for _, evacuation := range message.GetEvacuations() {
		evacuated[evacuation.GetZone()] = true
	}
	slices.SortFunc(message.GetEvacuations(), func(a, b *lapisv1.Evacuation) int {
		return strings.Compare(a.GetZone(), b.GetZone())
	})
	return &Set{message: message, evacuated: evacuated}
}

// Revision returns the store's revision at which the orders stood so, 0 for nil.
func (s *Set) Revision() uint64 { return s.Message().GetRevision() }

// Message returns the message that states the set, nil for nil.
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

// SameAs reports whether two sets ask for the same, whatever their revisions.
func (s *Set) SameAs(other *Set) bool {
	return (s == nil) == (other == nil) && slices.Equal(s.Zones(), other.Zones())
}

// Current is the newest set that a daemon knows. It is safe for concurrent use.
type Current struct{ set atomic.Pointer[Set] }

// Load returns the newest set, nil before the first.
func (c *Current) Load() *Set { return c.set.Load() }

// Evacuated reports whether the instances of a zone get no calls.
func (c *Current) Evacuated(zone string) bool { return c.Load().Evacuated(zone) }

// Replace takes in a set that is newer than the present one and returns the one
// before. taken is false for one that is not newer.
func (c *Current) Replace(set *Set) (before *Set, taken bool) {
	for {
		before = c.Load()
		if before != nil && set.Revision() <= before.Revision() {
			return before, false
		}
		if c.set.CompareAndSwap(before, set) {
			return before, true
		}
	}
}
