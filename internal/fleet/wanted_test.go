package fleet

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// site returns daemons of two services in some zones.
func site(zones, perZone int) []candidate {
	var candidates []candidate
	for zone := range zones {
		for index := range perZone {
			candidates = append(candidates, candidate{Member: Member{
				Node: fmt.Sprintf("node-%d-%d", zone, index), Zone: fmt.Sprint("zone-", zone), Service: fmt.Sprint("service-", index%2),
			}})
		}
	}
	return candidates
}

func TestSmallSiteIsConnectedWhole(t *testing.T) {
	candidates := site(4, 3)
	chosen := wanted(Member{Node: "self", Zone: "zone-0"}, candidates)
	assert.Equal(t, len(chosen), len(candidates))
}

func TestConnectionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, perZone := range []int{10, 100, 1000} {
		candidates := site(4, perZone)
		chosen := wanted(candidates[0].Member, candidates)
		assert.Equal(t, len(chosen), 2*linksPerService, "%d daemons a zone", perZone)
	}
}

// Whatever is out of reach, a daemon is connected to as many sound ones as it
// may be, and to the own zone first.
func TestDoubtfulDaemonsAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := site(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 30).Draw(t, "daemons"))
		soundOnes := map[string]int{}
		for index := range candidates {
			candidates[index].doubtful = rapid.Bool().Draw(t, "doubtful")
			if !candidates[index].doubtful {
				soundOnes[candidates[index].Service]++
			}
		}
		chosen := wanted(Member{Node: "self", Zone: "zone-0"}, candidates)
		taken := map[string]int{}
		for _, member := range candidates {
			if chosen[member.Node] && !member.doubtful {
				taken[member.Service]++
			}
		}
		for service, count := range soundOnes {
			if taken[service] < min(count, linksPerService) {
				t.Fatalf("%s: %d of %d sound daemons are connected", service, taken[service], count)
			}
		}
	})
}

func TestDaemonsAreChosenEvenly(t *testing.T) {
	candidates := site(4, 50)
	chosenBy := map[string]int{}
	for _, member := range candidates {
		for node := range wanted(member.Member, candidates) {
			chosenBy[node]++
		}
	}
	for _, member := range candidates {
		count := chosenBy[member.Node]
		assert.Assert(t, count >= 2 && count <= 4*2*linksPerService, "%s is chosen by %d", member.Node, count)
	}
}
