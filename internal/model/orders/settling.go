package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// settleTime is how long after the store's return from a copy the orders followed before stay in
// force although the store lacks them: its operator needs time to write again what was lost.
// Chosen, not measured: above the age of the copies, which is some seconds.
const settleTime = 10 * time.Second

// settling is the rule by which orders pass from one era of the store to the next.
//
// Inputs: a set of the store or of another daemon, the set followed, the time. In this order: a
// set of the era followed is taken as it is. The first one of a later era begins settleTime, in
// which the set followed is carried: what it orders stays in force besides what the new era orders,
// at a place between the eras (Position.Settling), so that daemons compare it rightly. What the new
// era orders itself is carried no longer. An order that was taken back in the era before, and is
// in the copy unchanged, is left out meanwhile. Once settleTime is over, the store's orders are
// taken as they are.
//
// Reason: a return takes away what was written lately. Without the carrying an order that daemons
// follow would be dropped until its operator writes it again, and one taken back would come back.
type settling struct {
	// era is the newest one known, 0 before the first set.
	era uint64
	// carried are the orders followed when that era began and not ordered in it yet, by zone; nil
	// once until is over.
	carried map[string]*lapisv1.Evacuation
	until   time.Time
	// rollouts are the orders of roll-outs followed when that era began, by name.
	rollouts map[string]*lapisv1.Rollout
	// takenBack holds the orders that were taken back in the era of carried, by zone.
	takenBack map[string]uint64
	// followed are all orders of this era so far, by zone: what was ever given and by which
	// revision of the store.
	followed map[string]uint64
}

// apply returns what is followed of a set in place of before.
func (s *settling) apply(set, before *Set, now time.Time) *Set {
	at := position.Position(set.Revision())
	era := at.Era()
	if at.IsSettling() {
		// Another daemon carries orders into the era after.
		era++
	}
	if era > s.era {
		s.begin(era, before, now)
	}
	if s.carried != nil && now.After(s.until) {
		s.carried, s.rollouts, s.takenBack = nil, nil, nil
	}
	s.note(set)
	if s.carried == nil || at.IsSettling() || era < s.era {
		return set
	}
	return s.carry(set)
}

// begin begins an era. Nothing is carried into the first one that is known.
func (s *settling) begin(era uint64, before *Set, now time.Time) {
	if before != nil {
		s.carried, s.until = byZone(before), now.Add(settleTime)
		s.rollouts = rolloutsByName(before)
		s.takenBack = s.followed
		for zone := range s.carried {
			delete(s.takenBack, zone)
		}
	}
	s.era, s.followed = era, map[string]uint64{}
}

// note remembers the orders of a set.
func (s *settling) note(set *Set) {
	if s.followed == nil {
		s.followed = map[string]uint64{}
	}
	for zone, evacuation := range byZone(set) {
		s.followed[zone] = evacuation.GetRevision()
	}
}

// carry returns a set of the new era with the orders carried into it.
func (s *settling) carry(set *Set) *Set {
	ordered := byZone(set)
	maps.DeleteFunc(ordered, func(zone string, evacuation *lapisv1.Evacuation) bool {
		revision, taken := s.takenBack[zone]
		return taken && revision == evacuation.GetRevision()
	})
	for zone := range ordered {
		delete(s.carried, zone)
	}
	maps.Copy(ordered, s.carried)
	at := position.Position(set.Revision()).Settling()
	return NewSet(&lapisv1.Orders{
		Revision: uint64(at), Evacuations: slices.Collect(maps.Values(ordered)), Rollouts: slices.Collect(maps.Values(s.withRollouts(set))),
	})
}

// withRollouts returns the roll-outs of a set of the new era and those that are carried into it. One
// that the new era orders as well stands as it does there: its next write must name that revision.
func (s *settling) withRollouts(set *Set) map[string]*lapisv1.Rollout {
	ordered := rolloutsByName(set)
	for name := range ordered {
		delete(s.rollouts, name)
	}
	maps.Copy(ordered, s.rollouts)
	return ordered
}

func rolloutsByName(set *Set) map[string]*lapisv1.Rollout {
	rollouts := map[string]*lapisv1.Rollout{}
	for _, rollout := range set.Rollouts() {
		rollouts[rollout.GetName()] = rollout
	}
	return rollouts
}

// byZone returns the orders of a set by their zones.
func byZone(set *Set) map[string]*lapisv1.Evacuation {
	orders := map[string]*lapisv1.Evacuation{}
	for _, evacuation := range set.Message().GetEvacuations() {
		orders[evacuation.GetZone()] = evacuation
	}
	return orders
}
