package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// SettleTime is how long after the store's return from a copy the orders followed before stay in
// force although the store lacks them: its operator needs time to write again what was lost. It is
// above the age of the copies, which is some seconds.
const SettleTime = 10 * time.Second

// settling is the rule by which orders pass from one era of the store to the next.
//
// Inputs: a set of the store or of another daemon, the set followed, the time. In this order: a
// set of the era followed is taken as it is. The first one of a later era begins SettleTime, in
// which the set followed is carried: what it orders stays in force besides what the new era orders,
// at a place between the eras (Position.Settling), so that daemons compare it rightly. What the new
// era has ordered supersedes what is carried, also once it is taken back; daemons tell each other so of
// evacuations only, a roll-out is superseded where the daemon itself saw it in the new era. An order that was taken
// back in the era before, and is in the copy unchanged, is left out meanwhile. Once SettleTime is
// over, the store's orders are taken as they are.
//
// SettleTime belongs to the era: daemons tell each other for how long it has lasted and what it
// superseded, and each takes the longest time and all zones that it was told. It is over for all
// when it is over for the first that learned of the era, however late the others hear of it.
//
// Reason: a return takes away what was written lately. Without the carrying an order that daemons
// follow would be dropped until its operator writes it again, and one taken back would come back.
type settling struct {
	// era is the newest one known, 0 before the first set, and began the earliest time at which a
	// daemon is known to have learned of it.
	era   uint64
	began time.Time
	// carried are the orders followed when that era began and not superseded yet, by zone; nil once
	// the era has settled.
	carried map[string]*lapisv1.Evacuation
	// superseded are the zones for which that era has had orders while it settled.
	superseded map[string]bool
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
	era := at.EraBegun()
	if era > s.era {
		s.begin(era, before, now)
	}
	if era == s.era && era > 0 {
		s.learn(set.Message(), now)
	}
	if s.age(now) >= SettleTime {
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
		s.carried, s.rollouts = byZone(before), rolloutsByName(before)
		s.takenBack = s.followed
		for zone := range s.carried {
			delete(s.takenBack, zone)
		}
	}
	s.era, s.began = era, now
	s.superseded, s.followed = map[string]bool{}, map[string]uint64{}
}

// age returns the least time that has passed since the era began.
func (s *settling) age(now time.Time) time.Duration { return now.Sub(s.began) }

// learn takes from a message of the present era for how long it has lasted and what it superseded.
// An age beyond SettleTime says no more than that the era has settled.
func (s *settling) learn(message *lapisv1.Orders, now time.Time) {
	told := time.Duration(min(message.GetEraAgeMs(), uint64(SettleTime.Milliseconds()))) * time.Millisecond
	if told > s.age(now) {
		s.began = now.Add(-told)
	}
	for _, zone := range message.GetSupersededZones() {
		s.supersede(zone)
	}
}

// state adds to a message of the present era what learn takes from it.
func (s *settling) state(message *lapisv1.Orders, now time.Time) {
	if s.era == 0 {
		return
	}
	message.EraAgeMs = uint64(max(s.age(now), 0).Milliseconds())
	if s.carried != nil {
		message.SupersededZones = slices.Sorted(maps.Keys(s.superseded))
	}
}

// supersede ends the carrying of what the era before ordered for a zone.
func (s *settling) supersede(zone string) {
	delete(s.carried, zone)
	s.superseded[zone] = true
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
		s.supersede(zone)
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
