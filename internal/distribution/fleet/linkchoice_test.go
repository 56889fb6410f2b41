package fleet

import (
	"fmt"
	"testing"
	"time"

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
	chosen := chooseFrom(Member{Node: "self", Zone: "zone-0"}, candidates)
	assert.Equal(t, len(chosen), len(candidates))
}

func TestConnectionsDoNotGrowWithTheFleet(t *testing.T) {
	for _, perZone := range []int{10, 100, 1000} {
		candidates := site(4, perZone)
		chosen := chooseFrom(candidates[0].Member, candidates)
		assert.Equal(t, len(chosen), 2*linksPerService, "%d daemons a zone", perZone)
	}
}

// Whatever is out of reach, a daemon is connected to as many reachable ones as it
// may be, and to the own zone first.
func TestUnreachableDaemonsAreReplaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := site(rapid.IntRange(1, 4).Draw(t, "zones"), rapid.IntRange(1, 30).Draw(t, "daemons"))
		reachableOnes := map[string]int{}
		for index := range candidates {
			candidates[index].unreachable = rapid.Bool().Draw(t, "unreachable")
			if !candidates[index].unreachable {
				reachableOnes[candidates[index].Service]++
			}
		}
		chosen := chooseFrom(Member{Node: "self", Zone: "zone-0"}, candidates)
		taken := map[string]int{}
		for _, member := range candidates {
			if chosen[member.Node] && !member.unreachable {
				taken[member.Service]++
			}
		}
		for service, count := range reachableOnes {
			assert.Assert(t, taken[service] >= min(count, linksPerService), "%s: %d of %d reachable daemons are connected", service, taken[service], count)
		}
	})
}

func TestDaemonsAreChosenEvenly(t *testing.T) {
	candidates := site(4, 50)
	chosenBy := map[string]int{}
	for _, member := range candidates {
		for node := range chooseFrom(member.Member, candidates) {
			chosenBy[node]++
		}
	}
	for _, member := range candidates {
		count := chosenBy[member.Node]
		assert.Assert(t, count >= 2 && count <= 4*2*linksPerService, "%s is chosen by %d", member.Node, count)
	}
}

// simulatedLinks is a site of peers of which some are dead, with the keeping of
// connections as reconcileLinks does it, second by second.
type simulatedLinks struct {
	self  Member
	peers []*peer
	dead  map[string]bool
	now   time.Time
}

// review starts and ends the keeping of connections, and connects whom it can.
// It returns how many are kept.
func (s *simulatedLinks) review() (kept int) {
	var candidates []candidate
	for _, known := range s.peers {
		candidates = append(candidates, candidate{Member: known.Member, unreachable: known.unreachable(s.now)})
	}
	chosen := chooseFrom(s.self, candidates)
	for _, known := range s.peers {
		switch linkActionFor(chosen[known.Node], known.stopMaintaining != nil, true) {
		case startLink:
			known.stopMaintaining = func() {}
			known.maintainedSince = s.now
		case endLink:
			known.stopMaintaining = nil
			known.lostAt = s.now
		case keepLink:
		}
		known.connected = known.stopMaintaining != nil && !s.dead[known.Node]
		if known.stopMaintaining != nil {
			kept++
		}
	}
	s.now = s.now.Add(time.Second)
	return kept
}

// A link is started for a chosen daemon and ended once a daemon that is not chosen has no call
// on it.
func TestLinksFollowTheChoice(t *testing.T) {
	for _, row := range []struct {
		chosen, maintained, idle bool
		want                     linkAction
	}{
		{true, false, true, startLink},
		{true, true, true, keepLink},
		{true, true, false, keepLink},
		{false, true, false, keepLink},
		{false, true, true, endLink},
		{false, false, true, keepLink},
	} {
		assert.Equal(t, linkActionFor(row.chosen, row.maintained, row.idle), row.want, "%+v", row)
	}
}

// One daemon that dies is replaced by one. Those that were not wanted had counted as unreachable
// because they were not connected, so that a daemon connected to all others of the service to
// find one, and again after each loss: to 47 of 72, three times in ten seconds.
func TestOneLossIsReplacedByOne(t *testing.T) {
	candidates := site(4, 50)
	s := &simulatedLinks{self: candidates[0].Member, dead: map[string]bool{}, now: time.Unix(1000, 0)}
	for _, known := range candidates[1:] {
		s.peers = append(s.peers, &peer{Member: known.Member, lostAt: s.now})
	}
	for range 10 {
		assert.Equal(t, s.review(), 2*linksPerService)
	}
	killed := 0
	for _, known := range s.peers {
		if known.connected && killed < 3 {
			s.dead[known.Node] = true
			known.connected, known.lostAt = false, s.now
			killed++
		}
	}
	for range 20 {
		kept := s.review()
		assert.Assert(t, kept <= 2*linksPerService+killed, "%d connections are kept", kept)
	}
	connected := 0
	for _, known := range s.peers {
		if known.connected {
			connected++
		}
	}
	assert.Equal(t, connected, 2*linksPerService)
}

// A daemon in an evacuated zone has as many links to instances that may be called as one
// elsewhere, and keeps those that it will need again.
func TestEvacuatedDaemonsAreReplacedAndKept(t *testing.T) {
	var candidates []candidate
	for index := range 30 {
		member := Member{Node: fmt.Sprintf("node-%d", index), Zone: fmt.Sprintf("zone-%d", index%3), Service: "desk"}
		candidates = append(candidates, candidate{Member: member})
	}
	self := Member{Node: "self", Zone: "zone-0"}
	before := chooseLinks(self, candidates)
	assert.DeepEqual(t, before, chooseFrom(self, candidates))
	for index := range candidates {
		candidates[index].evacuated = candidates[index].Zone == "zone-0"
	}
	after := chooseLinks(self, candidates)
	callable := 0
	for _, member := range candidates {
		if after[member.Node] && !member.evacuated {
			callable++
		}
		assert.Assert(t, after[member.Node] || !before[member.Node], "the link to %s is given up", member.Node)
	}
	assert.Equal(t, callable, linksPerService)
}
