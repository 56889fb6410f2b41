package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// Bounds of the daemons that one daemon connects to.
const (
	// linksPerService is the number of daemons of one service.
	linksPerService = 8
	// localLinks is how many of them are of the own zone, as far as there are
	// any; the others are for the time when the own zone is lost or full.
	localLinks = linksPerService * 3 / 4
	// regionLinks is the number of daemons of one service in each other region, as far
	// as there are any: a call may have its home there, and one of them may be lost.
	regionLinks = 2
)

// candidate is a daemon that may be connected to.
type candidate struct {
	Member
	// doubtful daemons could not be reached for a while; others are taken in
	// their place, and they are tried on.
	doubtful bool
	// evacuated ones have instances that get no calls.
	evacuated bool
}

// wantedBeside returns the daemons that self connects to where zones are evacuated: those
// that it connects to otherwise, so that they are at hand when the orders are taken away,
// and as many that can be called as if the others did not exist.
func wantedBeside(self Member, candidates []candidate) map[string]bool {
	chosen := wanted(self, candidates)
	callable := make([]candidate, 0, len(candidates))
	for _, member := range candidates {
		if !member.evacuated {
			callable = append(callable, member)
		}
	}
	if len(callable) < len(candidates) {
		maps.Copy(chosen, wanted(self, callable))
	}
	return chosen
}

// wanted returns the daemons that self connects to: of each service those that
// rank first for it, by a hash that spreads the daemons evenly and changes
// little when one comes or goes; the own zone goes before the own region, and that
// before others. A doubtful one does not count, so that another
// takes its place beside it.
func wanted(self Member, candidates []candidate) map[string]bool {
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
// linksPerService, less some where there are other regions, and some of each of those. A
// lack in the own region is made up from the others.
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
	near := linksPerService - min(regionLinks, sound(tiers[locality.OtherRegion]))
	local := near * localLinks / linksPerService
	taken := take(chosen, self, tiers[locality.OwnZone], max(local, near-sound(tiers[locality.OwnRegion])))
	taken += take(chosen, self, tiers[locality.OwnRegion], near-taken)
	take(chosen, self, tiers[locality.OtherRegion], linksPerService-taken)
	for _, region := range regions {
		take(chosen, self, region, regionLinks)
	}
}

// take chooses the first so many sound members, and the doubtful ones that rank
// before the last of them. It returns the number of sound ones.
func take(chosen map[string]bool, self Member, members []candidate, count int) (taken int) {
	slices.SortFunc(members, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(rank(self, a.Member), rank(self, b.Member)), cmp.Compare(a.Node, b.Node))
	})
	for _, member := range members {
		if taken >= count {
			return taken
		}
		chosen[member.Node] = true
		if !member.doubtful {
			taken++
		}
	}
	return taken
}

func rank(self, member Member) uint64 { return rendezvous.Score(self.Node, member.Node) }

func sound(members []candidate) int {
	count := 0
	for _, member := range members {
		if !member.doubtful {
			count++
		}
	}
	return count
}
