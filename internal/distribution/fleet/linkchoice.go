package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// The rule of which daemons a daemon links to.
//
// Inputs: this daemon and all others that it knows, each with zone, region and service (as
// old as its last greeting, directory entry or announcement), whether its link is missing
// for too long (seconds, see unreachable) and whether its zone is evacuated (by the orders
// in force here).
//
// Order: each service for itself; in it the own zone, then the own region, then all other
// regions together up to linksPerService, then regionLinks in each other region; within
// each of these by a hash of both names. An unreachable daemon is linked to and does not
// count, so that the next one in order is linked to beside it and it is tried on. The whole
// is done once more without the daemons of evacuated zones, and both choices are joined.
//
// Reason: the number of links, and with it the bytes of gossip, must not grow with the
// fleet, and one daemon that comes or goes must move few links. With every daemon linked
// to every other the bytes between zones grew with the square of the fleet: priced in units of
// the score of a simulated day (1 is the best), 1.7 at 100 machines and 35 at 300.
const (
	// linksPerService is the number of daemons of one service.
	linksPerService = 8
	// localLinks is how many of them are of the own zone, as far as there are any; the others
	// are for the time when the own zone is lost or full. It must be
	// smaller than linksPerService.
	localLinks = linksPerService * 3 / 4
	// regionLinks is the number of daemons of one service in each other region, as far as there are
	// any: a call may have its home there, and one of them may be lost. It must be at least 2, and
	// smaller than linksPerService.
	regionLinks = 2
)

// candidate is a daemon that may be linked to.
type candidate struct {
	Member
	// unreachable daemons do not count; others are linked to beside them.
	unreachable bool
	// evacuated ones have instances that get no calls.
	evacuated bool
}

// chooseLinks returns the names of the daemons that self links to. Where zones are evacuated
// these are the usual ones, so that their links are open when the orders are withdrawn, and
// those chosen as if the evacuated ones did not exist.
func chooseLinks(self Member, candidates []candidate) map[string]bool {
	chosen := chooseFrom(self, candidates)
	callable := slices.DeleteFunc(slices.Clone(candidates), func(member candidate) bool { return member.evacuated })
	if len(callable) < len(candidates) {
		maps.Copy(chosen, chooseFrom(self, callable))
	}
	return chosen
}

func chooseFrom(self Member, candidates []candidate) map[string]bool {
	services := map[string][]candidate{}
	for _, known := range candidates {
		services[known.Service] = append(services[known.Service], known)
	}
	chosen := map[string]bool{}
	for _, members := range services {
		chooseOfService(chosen, self, members)
	}
	return chosen
}

// chooseOfService chooses the daemons of one service: those of the own region up to
// linksPerService, less regionLinks where there are other regions, and regionLinks of each
// of those. A lack in the own region is made up from the others.
func chooseOfService(chosen map[string]bool, self Member, members []candidate) {
	var tiers [locality.OtherRegion + 1][]candidate
	regions := map[string][]candidate{}
	for _, member := range members {
		tier := self.tierOf(member.Member)
		tiers[tier] = append(tiers[tier], member)
		if tier == locality.OtherRegion {
			regions[member.Region] = append(regions[member.Region], member)
		}
	}
	near := linksPerService - min(regionLinks, countReachable(tiers[locality.OtherRegion]))
	local := near * localLinks / linksPerService
	linked := addHighestRanked(chosen, self, tiers[locality.OwnZone], max(local, near-countReachable(tiers[locality.OwnRegion])))
	linked += addHighestRanked(chosen, self, tiers[locality.OwnRegion], near-linked)
	addHighestRanked(chosen, self, tiers[locality.OtherRegion], linksPerService-linked)
	for _, region := range regions {
		addHighestRanked(chosen, self, region, regionLinks)
	}
}

// addHighestRanked adds the reachable members that rank first up to count, and the unreachable
// ones that rank before the last of them. It returns the number of reachable ones added.
func addHighestRanked(chosen map[string]bool, self Member, members []candidate, count int) (reachable int) {
	slices.SortFunc(members, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(self, a.Member), rank(self, b.Member)), cmp.Compare(a.Node, b.Node))
	})
	for _, member := range members {
		if reachable >= count {
			return reachable
		}
		chosen[member.Node] = true
		if !member.unreachable {
			reachable++
		}
	}
	return reachable
}

// rank is a hash of both names, so that the links of a fleet are spread evenly and few of
// them change when a daemon comes or goes.
func rank(self, member Member) uint64 { return rendezvous.Score(self.Node, member.Node) }

func countReachable(members []candidate) int {
	count := 0
	for _, member := range members {
		if !member.unreachable {
			count++
		}
	}
	return count
}

type linkAction int

const (
	keepLink linkAction = iota
	startLink
	endLink
)

// linkActionFor returns what is to be done about the link to a daemon. One that is not chosen
// any more keeps its link until no call uses it (idle), beside that of its replacement.
func linkActionFor(chosen, maintained, idle bool) linkAction {
	switch {
	case chosen && !maintained:
		return startLink
	case !chosen && maintained && idle:
		return endLink
	default:
		return keepLink
	}
}

// unreachable reports whether another daemon is to be linked to beside the peer; it is evaluated
// with Fleet.mutex held. Conditions, in this order: another daemon answered at its address; it
// is not chosen, or its link is open; its link was lost since it was chosen, and that is longer
// ago than lostLinkReplacedAfter; it never opened within unansweredDialReplacedAfter. Daemons
// that are not chosen must not count as unreachable: with that, the search for a replacement
// linked to all daemons of a test with 200 (199 links; 16 without it).
func (p *peer) unreachable(now time.Time) bool {
	switch {
	case !p.displacedAt.IsZero():
		return true
	case p.stopMaintaining == nil || p.connected:
		return false
	case p.lostAt.After(p.maintainedSince):
		return now.Sub(p.lostAt) > lostLinkReplacedAfter
	default:
		return now.Sub(p.maintainedSince) > unansweredDialReplacedAfter
	}
}
