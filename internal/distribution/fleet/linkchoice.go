package fleet

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// This file decides which daemons a daemon links to.
//
// Inputs: this daemon and all other known daemons, each with:
//   - its zone, region and service, from its last greeting (hello message), directory entry or
//     announcement, and therefore possibly outdated;
//   - whether its link has been down for too long (seconds, see unreachable);
//   - whether its zone is evacuated, by the evacuation orders in force on this daemon.
//
// Order: services are handled separately. Within a service, daemons are chosen from the own zone,
// then the own region, then all other regions, up to linksPerService; then linksPerOtherRegion in
// each other region. Within each of these groups a hash of both names decides. An unreachable
// daemon stays chosen, so that it is still dialed, but does not count; the next one in order is
// chosen in addition. The choice is repeated without the daemons of evacuated zones, and the
// results are combined.
//
// Reason: the number of links, and the gossip traffic with it, must not grow with the fleet, and
// the arrival or loss of one daemon must change few links. With links between all daemons, the
// traffic between zones grew with the square of the fleet size. Simulated days of operation get a
// score, of which 1 is the best; in units of this score, the traffic cost 1.7 at 100 machines and
// 35 at 300.
const (
	// linksPerService is the number of daemons to link to for each service.
	linksPerService = 8
	// localLinksPerService is how many of linksPerService are in the own zone, if it has as many.
	// The others are needed when the own zone is lost or full. It must be smaller than
	// linksPerService.
	localLinksPerService = linksPerService * 3 / 4
	// linksPerOtherRegion is the number of daemons of a service to link to in each other region, if
	// it has as many, since the home of a call may be there. It must be at least 2, because one of
	// them may be lost, and smaller than linksPerService.
	linksPerOtherRegion = 2
)

// candidate is a daemon that may be linked to.
type candidate struct {
	Member
	// unreachable is true if the link has been down for too long. Such a daemon does not count
	// towards the number of links; another one is chosen in addition.
	unreachable bool
	// evacuated is true if the daemon's zone is evacuated, so that its instances get no calls.
	evacuated bool
}

// chooseLinks returns the names of the daemons that self links to. If zones are evacuated, it
// combines the usual choice, so that those links are open when the orders are withdrawn, with the
// choice made without the evacuated daemons.
func chooseLinks(self Member, candidates []candidate) map[string]bool {
	chosen := chooseFromAll(self, candidates)
	callable := slices.DeleteFunc(slices.Clone(candidates), func(member candidate) bool { return member.evacuated })
	if len(callable) < len(candidates) {
		maps.Copy(chosen, chooseFromAll(self, callable))
	}
	return chosen
}

// chooseFromAll makes the choice for each service among the candidates.
func chooseFromAll(self Member, candidates []candidate) map[string]bool {
	services := map[string][]rankedMember{}
	for index := range candidates {
		member := rankedMember{&candidates[index], rank(self, candidates[index].Member)}
		services[member.Service] = append(services[member.Service], member)
	}
	chosen := map[string]bool{}
	for _, members := range services {
		chooseForService(chosen, self, members)
	}
	return chosen
}

// chooseForService chooses the daemons of one service: up to linksPerService in the own region,
// minus linksPerOtherRegion if there are other regions, plus linksPerOtherRegion in each other
// region. If the own region has too few, more are chosen in the others.
func chooseForService(chosen map[string]bool, self Member, members []rankedMember) {
	var tiers [locality.OtherRegion + 1]rankedMembers
	regions := map[string]rankedMembers{}
	for _, member := range members {
		tier := self.tierOf(member.Member)
		tiers[tier] = append(tiers[tier], member)
		if tier == locality.OtherRegion {
			regions[member.Region] = append(regions[member.Region], member)
		}
	}
	nearCount := linksPerService - min(linksPerOtherRegion, countReachable(tiers[locality.OtherRegion]))
	localCount := nearCount * localLinksPerService / linksPerService
	linkedCount := addHighestRanked(chosen, tiers[locality.OwnZone], max(localCount, nearCount-countReachable(tiers[locality.OwnRegion])))
	linkedCount += addHighestRanked(chosen, tiers[locality.OwnRegion], nearCount-linkedCount)
	addHighestRanked(chosen, tiers[locality.OtherRegion], linksPerService-linkedCount)
	for _, region := range regions {
		addHighestRanked(chosen, region, linksPerOtherRegion)
	}
}

// addHighestRanked adds the count highest ranked reachable members, and the unreachable ones that
// rank before the last of them. It returns the number of reachable members added.
//
// A review is made each second and at each change, so members are not sorted: only those that are
// added are put in order. The order of members changes, and none is removed.
func addHighestRanked(chosen map[string]bool, members rankedMembers, count int) (reachable int) {
	if count <= 0 {
		return 0
	}
	heap.Init(&members)
	for reachable < count && len(members) > 0 {
		first := heap.Pop(&members).(rankedMember)
		chosen[first.Node] = true
		if !first.unreachable {
			reachable++
		}
	}
	return reachable
}

// rankedMember is a candidate with its rank at this daemon.
type rankedMember struct {
	*candidate
	rank uint64
}

// rankedMembers is a heap with the highest ranked member, which has the lowest number, first.
type rankedMembers []rankedMember

func (r rankedMembers) Len() int { return len(r) }
func (r rankedMembers) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(r[i].rank, r[j].rank), cmp.Compare(r[i].Node, r[j].Node)) < 0
}
func (r rankedMembers) Swap(i, j int) { r[i], r[j] = r[j], r[i] }
func (r *rankedMembers) Push(x any)   { *r = append(*r, x.(rankedMember)) }
func (r *rankedMembers) Pop() any {
	last := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return last
}

// rank returns a hash of both names, so that links are spread evenly over the fleet and few of them
// change when a daemon comes or goes.
func rank(self, member Member) uint64 { return rendezvous.Score(self.Node, member.Node) }

func countReachable(members []rankedMember) int {
	count := 0
	for _, member := range members {
		if !member.unreachable {
			count++
		}
	}
	return count
}

// linkAction is what reconcileLinks does about the link to a daemon.
type linkAction int

const (
	keepLink linkAction = iota
	startLink
	endLink
)

// decideLinkAction returns what to do about the link to a daemon. A daemon that is no longer chosen
// keeps its link, in addition to that of its replacement, until no call uses it (idle).
func decideLinkAction(chosen, maintained, idle bool) linkAction {
	switch {
	case chosen && !maintained:
		return startLink
	case !chosen && maintained && idle:
		return endLink
	default:
		return keepLink
	}
}

// unreachable reports whether the peer counts as unreachable, so that another daemon is linked to
// in addition to it; Fleet.mutex is held. The first condition that applies decides: another daemon
// answered at the peer's address (true); the peer is not chosen, or its link is open (false); its
// link was lost since it was chosen, longer ago than lostLinkReplaceTimeout; its link has not
// opened within dialReplaceTimeout. Daemons that are not chosen must not count as unreachable:
// otherwise the search for replacements linked to all daemons in a test with 200 (199 links instead
// of 16).
func (p *peer) unreachable(now time.Time) bool {
	switch {
	case !p.displacedAt.IsZero():
		return true
	case p.stopMaintaining == nil || p.connected:
		return false
	case p.lostAt.After(p.maintainedSince):
		return now.Sub(p.lostAt) > lostLinkReplaceTimeout
	default:
		return now.Sub(p.maintainedSince) > dialReplaceTimeout
	}
}
