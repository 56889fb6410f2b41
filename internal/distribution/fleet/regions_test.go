package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// chooseWithoutRegions is a reference choice that ignores regions.
func chooseWithoutRegions(self Member, candidates []candidate) map[string]bool {
	services := map[string][]candidate{}
	for _, member := range candidates {
		services[member.Service] = append(services[member.Service], member)
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
		reachable := len(slices.DeleteFunc(slices.Clone(remote), func(member candidate) bool { return member.unreachable }))
		linked := addBySorting(chosen, self, local, max(localLinksPerService, linksPerService-reachable))
		addBySorting(chosen, self, remote, linksPerService-linked)
	}
	return chosen
}

// addBySorting is a reference for addHighestRanked that sorts all members.
func addBySorting(chosen map[string]bool, self Member, members []candidate, count int) (reachable int) {
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

// In a fleet of one region, known or unknown, the choice equals the one that ignores regions.
func TestLinksOfOneRegionAreAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := siteCandidates(rapid.IntRange(1, 5).Draw(t, "zones"), rapid.IntRange(1, 40).Draw(t, "daemons"))
		for index := range candidates {
			candidates[index].unreachable = rapid.Bool().Draw(t, "unreachable")
			candidates[index].Region = rapid.SampledFrom([]string{"", "r1"}).Draw(t, "region")
		}
		self := Member{Node: "self", Zone: "zone-0", Region: rapid.SampledFrom([]string{"", "r1"}).Draw(t, "own region")}
		assert.DeepEqual(t, chooseFromAll(self, candidates), chooseWithoutRegions(self, candidates))
	})
}

// regionalCandidates returns daemons of two services in three regions with two zones each.
func regionalCandidates(perZone int) []candidate {
	candidates := siteCandidates(6, perZone)
	for index := range candidates {
		var zone int
		_, _ = fmt.Sscanf(candidates[index].Zone, "zone-%d", &zone)
		candidates[index].Region = fmt.Sprint("region-", zone/2)
	}
	return candidates
}

// linksTo counts the links to reachable daemons of one service by an attribute.
func linksTo(chosen map[string]bool, candidates []candidate, service string, attribute func(Member) string) map[string]int {
	counts := map[string]int{}
	for _, candidate := range candidates {
		if candidate.Service == service && chosen[candidate.Node] && !candidate.unreachable {
			counts[attribute(candidate.Member)]++
		}
	}
	return counts
}

func regionOf(member Member) string { return member.Region }

func zoneOf(member Member) string { return member.Zone }

// Links go to the own zone first, then to the own region, and a few to each other region, since the
// home of a call may be there.
func TestLinksAcrossRegions(t *testing.T) {
	candidates := regionalCandidates(20)
	chosen := chooseFromAll(Member{Node: "self", Zone: "zone-0", Region: "region-0"}, candidates)
	for _, service := range []string{"service-0", "service-1"} {
		assert.DeepEqual(t, linksTo(chosen, candidates, service, regionOf), map[string]int{"region-0": 6, "region-1": 2, "region-2": 2})
		zones := linksTo(chosen, candidates, service, zoneOf)
		assert.Assert(t, zones["zone-0"] > zones["zone-1"] && zones["zone-1"] > 0, "%v", zones)
	}
}

// When all daemons of a service in one region are lost, links to the other regions exist already,
// and the total is then restored. This holds for the own region and for another one.
func TestLostRegionIsReplaced(t *testing.T) {
	self := Member{Node: "self", Zone: "zone-0", Region: "region-0"}
	for lost, want := range map[string]map[string]int{
		"region-0": {"region-1": 2, "region-2": 2},
		"region-1": {"region-0": 6, "region-2": 2},
	} {
		candidates := regionalCandidates(20)
		before := chooseFromAll(self, candidates)
		for index := range candidates {
			candidates[index].unreachable = candidates[index].Region == lost
		}
		atOnce := linksTo(before, candidates, "service-0", regionOf)
		assert.DeepEqual(t, atOnce, want)
		after := linksTo(chooseFromAll(self, candidates), candidates, "service-0", regionOf)
		total := 0
		for region, count := range after {
			assert.Assert(t, count >= atOnce[region])
			total += count
		}
		assert.Assert(t, total >= linksPerService, "%v", after)
	}
}

// Whichever daemons are unreachable, the number of links is bounded, and reachable daemons are
// linked to up to linksPerService.
func TestLinksAcrossRegionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := regionalCandidates(rapid.IntRange(1, 20).Draw(t, "daemons"))
		reachable := 0
		for index := range candidates {
			candidates[index].unreachable = rapid.Bool().Draw(t, "unreachable")
			if !candidates[index].unreachable && strings.HasSuffix(candidates[index].Service, "0") {
				reachable++
			}
		}
		chosen := chooseFromAll(Member{Node: "self", Zone: "zone-0", Region: "region-0"}, candidates)
		links := 0
		for _, count := range linksTo(chosen, candidates, "service-0", regionOf) {
			links += count
		}
		assert.Assert(t, links >= min(reachable, linksPerService) && links <= linksPerService+2*linksPerOtherRegion, "%d links, %d reachable", links, reachable)
	})
}

// Daemons learn each other's region by greetings and announcements, and name it to others, although
// the directory lacks it.
func TestRegionsAreExchangedBetweenDaemons(t *testing.T) {
	asker, other := memberAt("asker", "x:1"), memberAt("other", "x:2")
	entries := []Member{asker, other}
	asker.Region, other.Region = "r1", "r2"
	other.Zone = "b"
	runAddressTest(t, []Member{asker, other}, entries, 4*time.Second, func(daemons map[string]*Fleet) {
		receiver := newTestFleet(1)
		receiver.recordIntroduction(daemons["asker"].introduction(nil), "sender", callmux.Link{})
		assert.Equal(t, receiver.peers["other"].Region, "r2")
		daemons["other"].mutex.Lock()
		defer daemons["other"].mutex.Unlock()
		assert.Equal(t, daemons["other"].announcement().GetRegion(), "r2")
		assert.Equal(t, daemons["other"].peers["asker"].Region, "r1")
		for inbound := range daemons["other"].inbound {
			assert.Equal(t, inbound.place, asker.place())
		}
		assert.Equal(t, len(daemons["other"].inbound), 1)
	})
}
