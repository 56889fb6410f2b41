package fleet

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

var errTestClosed = errors.New("closed by the test")

// rolloutListener records the rollout messages of other daemons.
type rolloutListener struct {
	mutex         sync.Mutex
	announcements map[string]uint64
	reports       int
	unlinked      map[string]bool
}

func (l *rolloutListener) ReceiveAnnouncement(announcement *lapisv1.RolloutWord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.announcements[announcement.GetNode()] = announcement.GetSequence()
}

func (l *rolloutListener) ReceiveReport(*lapisv1.RolloutReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reports++
}

func (l *rolloutListener) NodeUnlinked(node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unlinked[node] = true
}

func (l *rolloutListener) announcement(node string) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.announcements[node]
}

func (l *rolloutListener) reportCount() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reports
}

func (l *rolloutListener) lost(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unlinked[node]
}

// closeDialed ends the connection that a daemon opened to another one.
func closeDialed(from *Fleet, node string) {
	from.mutex.Lock()
	link := from.peers[node].link
	from.mutex.Unlock()
	link.Close(errTestClosed)
}

// closeAccepted ends the connections that others opened to a daemon.
func closeAccepted(at *Fleet) {
	at.mutex.Lock()
	defer at.mutex.Unlock()
	for inbound := range at.inbound {
		inbound.link.Close(errTestClosed)
	}
}

// runRolloutListeners runs test with daemons that exchange rollout messages.
func runRolloutListeners(t *testing.T, daemons int, test func(fleets []*Fleet, listeners []*rolloutListener), adjust ...func(index int, config *Config)) {
	runFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var fleets []*Fleet
		var listeners []*rolloutListener
		for index := range daemons {
			listener := &rolloutListener{announcements: map[string]uint64{}, unlinked: map[string]bool{}}
			joined := start(index, nil, func(config *Config) {
				config.Rollouts = listener
				for _, change := range adjust {
					change(index, config)
				}
			})
			fleets, listeners = append(fleets, joined.fleet.Load()), append(listeners, listener)
		}
		time.Sleep(20 * time.Second)
		test(fleets, listeners)
	})
}

// While a rollout order runs, every daemon links to the daemons that rank first for it. Their
// announcements then reach every daemon, and a report reaches its recipient only.
func TestWordsOfTheFirstReachAllDaemons(t *testing.T) {
	const daemons, linkedFirst = 30, 3
	runRolloutListeners(t, daemons, func(fleets []*Fleet, listeners []*rolloutListener) {
		assert.Assert(t, len(fleets[0].LinkedNodes()) < daemons)
		ranking := func(node string) uint64 { return rendezvous.Score("order", node) }
		for _, fleet := range fleets {
			fleet.SetRankedLinks([]Ranking{ranking}, linkedFirst, nil)
		}
		time.Sleep(5 * time.Second)
		ranked := slices.Clone(fleets)
		slices.SortFunc(ranked, func(a, b *Fleet) int {
			return cmp.Compare(ranking(a.config.Self.Node), ranking(b.config.Self.Node))
		})
		for index, fleet := range ranked {
			assert.Equal(t, len(fleet.LinkedNodes()) == daemons, index < linkedFirst, "daemon %d", index)
			assert.Equal(t, fleet.ActiveMembers(), daemons)
		}
		self := ranked[0].config.Self.Node
		ranked[0].BroadcastAnnouncement(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 7}, nil)
		ranked[0].BroadcastAnnouncement(&lapisv1.RolloutWord{Service: "desk", Node: "another", Sequence: 9}, nil)
		ranked[0].BroadcastAnnouncement(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 8}, nil)
		ranked[5].SendReport(self, &lapisv1.RolloutReport{Service: "desk", Node: ranked[5].config.Self.Node})
		time.Sleep(time.Second)
		for index, fleet := range fleets {
			assert.Equal(t, listeners[index].announcement("another"), uint64(0), "received from a daemon other than its subject")
			assert.Equal(t, listeners[index].reportCount(), map[bool]int{true: 1}[fleet == ranked[0]])
			if fleet != ranked[0] {
				assert.Equal(t, listeners[index].announcement(self), uint64(8), "daemon %d", index)
			}
		}
		for _, fleet := range fleets {
			fleet.SetRankedLinks(nil, 0, nil)
		}
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(ranked[0].LinkedNodes()) < daemons)
	})
}

// An announcement may be addressed to some daemons only.
func TestWordsForSomeReachNoOthers(t *testing.T) {
	runRolloutListeners(t, 3, func(fleets []*Fleet, listeners []*rolloutListener) {
		self, wanted := fleets[0].config.Self.Node, fleets[1].config.Self.Node
		fleets[0].BroadcastAnnouncement(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 3}, []string{wanted})
		time.Sleep(time.Second)
		assert.Equal(t, listeners[1].announcement(self), uint64(3))
		assert.Equal(t, listeners[2].announcement(self), uint64(0))
	})
}

// Unreachable daemons are replaced by the next ones in rank. Daemons named explicitly are linked to
// in addition.
func TestUnreachableDaemonsThatRankFirstAreReplaced(t *testing.T) {
	fleet := newTestFleet(1)
	fleet.rankings, fleet.linksPerRanking = []Ranking{func(node string) uint64 { return uint64(node[0]) }}, 2
	fleet.additionalNodes = []string{"f"}
	var candidates []candidate
	for _, node := range []string{"d", "b", "a", "c", "e", "f"} {
		candidates = append(candidates, candidate{Member: Member{Node: node}, unreachable: node == "a"})
	}
	chosen := map[string]bool{}
	fleet.addFirstRanked(chosen, candidates)
	assert.DeepEqual(t, chosen, map[string]bool{"a": true, "b": true, "c": true, "f": true})
}

// An unreachable instance keeps its version, so that a version that gets no calls is not used as a
// last resort either.
func TestInstancesOutOfReachKeepTheirVersion(t *testing.T) {
	lost := &peer{}
	seen := lost.withReachability(&lapisv1.Endpoint{Instance: "i", Version: "v2", State: lapisv1.Endpoint_STATE_READY})
	assert.Equal(t, seen.GetState(), lapisv1.Endpoint_STATE_SUSPECT)
	assert.Equal(t, seen.GetVersion(), "v2")
}

// The end of the last link with a daemon is reported, and not the end of an earlier one.
func TestLastConnectionEnds(t *testing.T) {
	for links, end := range map[int]func(*Fleet, string){
		2: func(fleet *Fleet, _ string) { closeAccepted(fleet) },
		1: closeDialed,
	} {
		runRolloutListeners(t, 2, func(fleets []*Fleet, listeners []*rolloutListener) {
			other := fleets[1].config.Self.Node
			end(fleets[0], other)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, listeners[0].lost(other), links == 1, "%d links", links)
		}, func(index int, config *Config) {
			if index == 1 && links == 1 {
				config.Calls.Network = &memoryNetwork{accepting: map[string]chan net.Conn{}, dials: map[string]int{}}
			}
		})
	}
}
