package orders

import (
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// SettlingPeriod is the time for which previous orders stay in force, although the store lacks them,
// after the store was restored from a backup. It gives the operator time to write lost orders again.
// It is longer than the age of the backups, which is a few seconds.
const SettlingPeriod = 10 * time.Second

// eraTransition carries orders from one era of the store to the next. After a restore the store
// lacks the newest writes. Without this rule, a lost order would be dropped until its operator
// writes it again, and a withdrawn one would return.
//
// Its inputs are a set of the store or of another daemon, the current set, and the time. A set of
// the current era is taken unchanged. The first set of a later era starts SettlingPeriod. During it,
// the orders of the current set are carried: they stay in force in addition to those of the new
// era, at a position between the eras (Position.Settling), so that daemons order these sets
// correctly. An order of the new era supersedes the carried one for the same zone, even after it is
// withdrawn. Daemons exchange superseded zones only; a roll-out is superseded only on a daemon that
// has seen it in the new era itself. An order that was withdrawn in the previous era and is
// unchanged in the backup is left out. After SettlingPeriod, the store's orders are taken unchanged.
//
// SettlingPeriod is measured from the beginning of the era. Daemons exchange the era's age and the
// superseded zones, and each uses the highest age and all zones that it received. The period therefore
// ends for all daemons when it ends for the first one that learned of the era, even if others learned
// of it later.
type eraTransition struct {
	// era is the newest known era, 0 before the first set. beganAt is the earliest time at which
	// any daemon is known to have learned of it.
	era     uint64
	beganAt time.Time
	// carried holds, by zone, the previous era's orders that are not superseded yet; nil after the
	// era has settled.
	carried map[string]*lapisv1.Evacuation
	// superseded holds the zones for which the era has had orders during its settling period.
	superseded map[string]bool
	// rollouts holds, by name, the carried roll-outs.
	rollouts map[string]*lapisv1.Rollout
	// withdrawn holds, by zone, the revisions of the orders that were withdrawn in the previous
	// era.
	withdrawn map[string]uint64
	// followed holds, by zone, the store revision of the newest order followed in this era,
	// including withdrawn ones.
	followed map[string]uint64
}

// apply processes a set of the store or of another daemon and returns the set to follow next; before
// is the set followed so far.
func (s *eraTransition) apply(set, before *Set, now time.Time) *Set {
	at := position.Position(set.Revision())
	era := at.EraBegun()
	if era > s.era {
		s.begin(era, before, now)
	}
	if era == s.era && era > 0 {
		s.mergePeerState(set.Message(), now)
	}
	if s.age(now) >= SettlingPeriod {
		s.carried, s.rollouts, s.withdrawn = nil, nil, nil
	}
	s.recordFollowed(set)
	if s.carried == nil || at.IsSettling() || era < s.era {
		return set
	}
	return s.carry(set)
}

// begin starts an era. No orders are carried into the first known era.
func (s *eraTransition) begin(era uint64, before *Set, now time.Time) {
	if before != nil {
		s.carried, s.rollouts = byZone(before), rolloutsByName(before)
		s.withdrawn = s.followed
		for zone := range s.carried {
			delete(s.withdrawn, zone)
		}
	}
	s.era, s.beganAt = era, now
	s.superseded, s.followed = map[string]bool{}, map[string]uint64{}
}

// age returns the time since the era began, as far as this daemon knows.
func (s *eraTransition) age(now time.Time) time.Duration { return now.Sub(s.beganAt) }

// mergePeerState merges the age and the superseded zones from a message of the current era. Ages
// are capped at SettlingPeriod, at which the era has settled.
func (s *eraTransition) mergePeerState(message *lapisv1.Orders, now time.Time) {
	peerAge := time.Duration(min(message.GetEraAgeMs(), uint64(SettlingPeriod.Milliseconds()))) * time.Millisecond
	if peerAge > s.age(now) {
		s.beganAt = now.Add(-peerAge)
	}
	for _, zone := range message.GetSupersededZones() {
		s.supersede(zone)
	}
}

// addState adds the age and the superseded zones to a message of the current era.
func (s *eraTransition) addState(message *lapisv1.Orders, now time.Time) {
	if s.era == 0 {
		return
	}
	message.EraAgeMs = uint64(max(s.age(now), 0).Milliseconds())
	if s.carried != nil {
		message.SupersededZones = slices.Sorted(maps.Keys(s.superseded))
	}
}

// supersede stops carrying the previous era's order for a zone.
func (s *eraTransition) supersede(zone string) {
	delete(s.carried, zone)
	s.superseded[zone] = true
}

// recordFollowed records the orders of a set.
func (s *eraTransition) recordFollowed(set *Set) {
	if s.followed == nil {
		s.followed = map[string]uint64{}
	}
	for zone, evacuation := range byZone(set) {
		s.followed[zone] = evacuation.GetRevision()
	}
}

// carry returns a set of the new era with the carried orders added.
func (s *eraTransition) carry(set *Set) *Set {
	ordered := byZone(set)
	maps.DeleteFunc(ordered, func(zone string, evacuation *lapisv1.Evacuation) bool {
		revision, taken := s.withdrawn[zone]
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

// withRollouts returns the roll-outs of a set of the new era and the carried ones. A roll-out that
// exists in both is taken from the new era, because its next write must name that revision.
func (s *eraTransition) withRollouts(set *Set) map[string]*lapisv1.Rollout {
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

// byZone returns the orders of a set by zone.
func byZone(set *Set) map[string]*lapisv1.Evacuation {
	orders := map[string]*lapisv1.Evacuation{}
	for _, evacuation := range set.Message().GetEvacuations() {
		orders[evacuation.GetZone()] = evacuation
	}
	return orders
}
