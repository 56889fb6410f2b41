package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// chooseWithoutRegions is the choice as it was before regions counted.
func chooseWithoutRegions(self Member, candidates []candidate) map[string]bool {
	services := map[string][]candidate{}
	for _, known := range candidates {
		services[known.Service] = append(services[known.Service], known)
	}
	chosen := map[string]bool{}
	for _, members := range services {
		var local, remote []candidate
		for _, member := range members {
			if member.Zone == self.Zone {
				local = append(local, member)
			} else {
				remote = append(remote, member)
			}
		}
		taken := addHighestRanked(chosen, self, local, max(localLinks, linksPerService-countReachable(remote)))
		addHighestRanked(chosen, self, remote, linksPerService-taken)
	}
	return chosen
}

// A fleet of one region, known or not, is connected as it was before.
func TestLinksOfOneRegionAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := site(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 40).Draw(t, "daemons"))
		for index := range candidates {
			candidates[index].unreachable = rapid.Bool().Draw(t, "unreachable")
			candidates[index].Region = rapid.SampledFrom([]string{"", "r1"}).Draw(t, "region")
		}
		self := Member{Node: "self", Zone: "zone-0", Region: rapid.SampledFrom([]string{"", "r1"}).Draw(t, "own region")}
		assert.DeepEqual(t, chooseFrom(self, candidates), chooseWithoutRegions(self, candidates))
	})
}

// regional returns a site of two services in three regions of two zones each.
func regional(perZone int) []candidate {
	candidates := site(6, perZone)
	for index := range candidates {
		var zone int
		_, _ = fmt.Sscanf(candidates[index].Zone, "zone-%d", &zone)
		candidates[index].Region = fmt.Sprint("region-", zone/2)
	}
	return candidates
}

// linksTo counts the links to reachable daemons of one service by what of gives.
func linksTo(chosen map[string]bool, candidates []candidate, service string, of func(Member) string) map[string]int {
	counts := map[string]int{}
	for _, known := range candidates {
		if known.Service == service && chosen[known.Node] && !known.unreachable {
			counts[of(known.Member)]++
		}
	}
	return counts
}

func regionOf(member Member) string { return member.Region }

func zoneOf(member Member) string { return member.Zone }

// Links go to the own zone first, then to the own region, and a few to each other region,
// where a call may have its home.
func TestLinksAcrossRegions(t *testing.T) {
	candidates := regional(20)
	chosen := chooseFrom(Member{Node: "self", Zone: "zone-0", Region: "region-0"}, candidates)
	for _, service := range []string{"service-0", "service-1"} {
		assert.DeepEqual(t, linksTo(chosen, candidates, service, regionOf), map[string]int{"region-0": 6, "region-1": 2, "region-2": 2})
		zones := linksTo(chosen, candidates, service, zoneOf)
		assert.Assert(t, zones["zone-0"] > zones["zone-1"] && zones["zone-1"] > 0, "%v", zones)
	}
}

// A daemon whose region has lost its daemons of a service is linked to others at once, and
// then to as many as before; so is one whose links to another region are lost.
func TestLostRegionIsReplaced(t *testing.T) {
	self := Member{Node: "self", Zone: "zone-0", Region: "region-0"}
	for lost, want := range map[string]map[string]int{
		"region-0": {"region-1": 2, "region-2": 2},
		"region-1": {"region-0": 6, "region-2": 2},
	} {
		candidates := regional(20)
		before := chooseFrom(self, candidates)
		for index := range candidates {
			candidates[index].unreachable = candidates[index].Region == lost
		}
		atOnce := linksTo(before, candidates, "service-0", regionOf)
		assert.DeepEqual(t, atOnce, want)
		after := linksTo(chooseFrom(self, candidates), candidates, "service-0", regionOf)
		total := 0
		for region, count := range after {
			assert.Assert(t, count >= atOnce[region])
			total += count
		}
		assert.Assert(t, total >= linksPerService, "%v", after)
	}
}

// Whatever is unreachable, the number of links is bounded and no reachable daemon is left out
// while there is room.
func TestLinksAcrossRegionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := regional(rapid.IntRange(1, 20).Draw(t, "daemons"))
		reachableOnes := 0
		for index := range candidates {
			candidates[index].unreachable = rapid.Bool().Draw(t, "unreachable")
			if !candidates[index].unreachable && strings.HasSuffix(candidates[index].Service, "0") {
				reachableOnes++
			}
		}
		chosen := chooseFrom(Member{Node: "self", Zone: "zone-0", Region: "region-0"}, candidates)
		links := 0
		for _, count := range linksTo(chosen, candidates, "service-0", regionOf) {
			links += count
		}
		assert.Assert(t, links >= min(reachableOnes, linksPerService) && links <= linksPerService+2*regionLinks, "%d links, %d reachable", links, reachableOnes)
	})
}

// Daemons learn each other's region by their greetings and announcements, and name it to
// others, whatever the directory lacks.
func TestRegionsAreExchangedBetweenDaemons(t *testing.T) {
	asker, other := memberAt("asker", "x:1"), memberAt("other", "x:2")
	entries := []Member{asker, other}
	asker.Region, other.Region = "r1", "r2"
	other.Zone = "b"
	playAddresses(t, []Member{asker, other}, entries, 4*time.Second, func(daemons map[string]*Fleet) {
		hearing := newTestFleet(1)
		hearing.recordIntroduction(daemons["asker"].introduction(), callmux.Link{})
		assert.Equal(t, hearing.peers["other"].Region, "r2")
		daemons["other"].mutex.Lock()
		defer daemons["other"].mutex.Unlock()
		assert.Equal(t, daemons["other"].announcement().GetRegion(), "r2")
		assert.Equal(t, daemons["other"].peers["asker"].Region, "r1")
		for opened := range daemons["other"].inbound {
			assert.Equal(t, opened.place, asker.place())
		}
		assert.Equal(t, len(daemons["other"].inbound), 1)
	})
}
