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

var errCut = errors.New("cut by the test")

// listening hears what other daemons say of roll-outs.
type listening struct {
	mutex    sync.Mutex
	words    map[string]uint64
	reports  int
	unlinked map[string]bool
}

func (l *listening) Word(word *lapisv1.RolloutWord) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.words[word.GetNode()] = word.GetSequence()
}

func (l *listening) Report(*lapisv1.RolloutReport) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reports++
}

func (l *listening) Unlinked(node string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.unlinked[node] = true
}

func (l *listening) word(node string) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.words[node]
}

func (l *listening) told() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.reports
}

func (l *listening) lost(node string) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.unlinked[node]
}

// closeDialed ends the connection that a daemon opened to another one.
func closeDialed(from *Fleet, node string) {
	from.mutex.Lock()
	link := from.peers[node].link
	from.mutex.Unlock()
	link.Close(errCut)
}

// closeAccepted ends the connections that others opened to a daemon.
func closeAccepted(at *Fleet) {
	at.mutex.Lock()
	defer at.mutex.Unlock()
	for opened := range at.inbound {
		opened.link.Close(errCut)
	}
}

// playListening runs test with daemons that hear each other of roll-outs.
func playListening(t *testing.T, daemons int, test func(fleets []*Fleet, hearing []*listening), adjust ...func(index int, config *Config)) {
	playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var fleets []*Fleet
		var hearing []*listening
		for index := range daemons {
			heard := &listening{words: map[string]uint64{}, unlinked: map[string]bool{}}
			joined := start(index, nil, func(config *Config) {
				config.Rollouts = heard
				for _, change := range adjust {
					change(index, config)
				}
			})
			fleets, hearing = append(fleets, joined.fleet.Load()), append(hearing, heard)
		}
		time.Sleep(20 * time.Second)
		test(fleets, hearing)
	})
}

// While an order runs every daemon links to those that rank first for it, which are then in touch
// with all: their words reach every daemon, a report the one that it is for.
func TestWordsOfTheFirstReachAllDaemons(t *testing.T) {
	const daemons, first = 30, 3
	playListening(t, daemons, func(fleets []*Fleet, hearing []*listening) {
		assert.Assert(t, len(fleets[0].InTouch()) < daemons)
		ranking := func(node string) uint64 { return rendezvous.Score("order", node) }
		for _, one := range fleets {
			one.LinkToFirst([]Ranking{ranking}, first, nil)
		}
		time.Sleep(5 * time.Second)
		ranked := slices.Clone(fleets)
		slices.SortFunc(ranked, func(a, b *Fleet) int {
			return cmp.Compare(ranking(a.config.Self.Node), ranking(b.config.Self.Node))
		})
		for index, one := range ranked {
			assert.Equal(t, len(one.InTouch()) == daemons, index < first, "daemon %d", index)
			assert.Equal(t, one.Running(), daemons)
		}
		self := ranked[0].config.Self.Node
		ranked[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 7}, nil)
		ranked[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: "another", Sequence: 9}, nil)
		ranked[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 8}, nil)
		ranked[5].TellReport(self, &lapisv1.RolloutReport{Service: "desk", Node: ranked[5].config.Self.Node})
		time.Sleep(time.Second)
		for index, one := range fleets {
			assert.Equal(t, hearing[index].word("another"), uint64(0), "told by another daemon than its own")
			assert.Equal(t, hearing[index].told(), map[bool]int{true: 1}[one == ranked[0]])
			if one != ranked[0] {
				assert.Equal(t, hearing[index].word(self), uint64(8), "daemon %d", index)
			}
		}
		for _, one := range fleets {
			one.LinkToFirst(nil, 0, nil)
		}
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(ranked[0].InTouch()) < daemons)
	})
}

// A word may be for some daemons only.
func TestWordsForSomeReachNoOthers(t *testing.T) {
	playListening(t, 3, func(fleets []*Fleet, hearing []*listening) {
		self, wanted := fleets[0].config.Self.Node, fleets[1].config.Self.Node
		fleets[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 3}, []string{wanted})
		time.Sleep(time.Second)
		assert.Equal(t, hearing[1].word(self), uint64(3))
		assert.Equal(t, hearing[2].word(self), uint64(0))
	})
}

// Of daemons that cannot be reached the next ones in order take the place; those named are linked to
// beside them.
func TestUnreachableDaemonsThatRankFirstAreReplaced(t *testing.T) {
	fleet := newTestFleet(1)
	fleet.rankings, fleet.firstRanked = []Ranking{func(node string) uint64 { return uint64(node[0]) }}, 2
	fleet.alsoLinked = []string{"f"}
	var candidates []candidate
	for _, node := range []string{"d", "b", "a", "c", "e", "f"} {
		candidates = append(candidates, candidate{Member: Member{Node: node}, unreachable: node == "a"})
	}
	chosen := map[string]bool{}
	fleet.addFirstRanked(chosen, candidates)
	assert.DeepEqual(t, chosen, map[string]bool{"a": true, "b": true, "c": true, "f": true})
}

// An instance out of reach keeps its version: a version that gets no calls gets none as a
// last resort either.
func TestInstancesOutOfReachKeepTheirVersion(t *testing.T) {
	lost := &peer{}
	seen := lost.withReachability(&lapisv1.Endpoint{Instance: "i", Version: "v2", State: lapisv1.Endpoint_STATE_READY})
	assert.Equal(t, seen.GetState(), lapisv1.Endpoint_STATE_SUSPECT)
	assert.Equal(t, seen.GetVersion(), "v2")
}

// That a daemon is not heard any more is told at the end of the last connection with it.
func TestLastConnectionEnds(t *testing.T) {
	for ways, end := range map[int]func(*Fleet, string){
		2: func(fleet *Fleet, _ string) { closeAccepted(fleet) },
		1: closeDialed,
	} {
		playListening(t, 2, func(fleets []*Fleet, hearing []*listening) {
			other := fleets[1].config.Self.Node
			end(fleets[0], other)
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, hearing[0].lost(other), ways == 1, "%d ways", ways)
		}, func(index int, config *Config) {
			if index == 1 && ways == 1 {
				config.Calls.Network = &memoryNetwork{accepting: map[string]chan net.Conn{}, dials: map[string]int{}}
			}
		})
	}
}
