package fleet

import (
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/orders"
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

// playListening runs test with daemons that hear each other of roll-outs.
func playListening(t *testing.T, daemons int, test func(fleets []*Fleet, hearing []*listening)) {
	playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var fleets []*Fleet
		var hearing []*listening
		for index := range daemons {
			heard := &listening{words: map[string]uint64{}, unlinked: map[string]bool{}}
			joined := start(index, nil, func(config *Config) { config.Rollouts = heard })
			fleets, hearing = append(fleets, joined.fleet.Load()), append(hearing, heard)
		}
		time.Sleep(20 * time.Second)
		test(fleets, hearing)
	})
}

// In a fleet in which nobody is connected to everybody, all are while they are to reach
// all: a word reaches every daemon, a report the one that it is for.
func TestWordsReachAllDaemons(t *testing.T) {
	const daemons = 50
	playListening(t, daemons, func(fleets []*Fleet, hearing []*listening) {
		assert.Assert(t, len(fleets[0].InTouch()) < daemons)
		for _, one := range fleets {
			one.ReachAll(true)
		}
		time.Sleep(5 * time.Second)
		self := fleets[0].config.Self.Node
		fleets[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 7})
		fleets[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: "another", Sequence: 9})
		fleets[0].SpreadWord(&lapisv1.RolloutWord{Service: "desk", Node: self, Sequence: 8})
		fleets[0].TellReport(fleets[1].config.Self.Node, &lapisv1.RolloutReport{Service: "desk", Node: self})
		time.Sleep(time.Second)
		for index, one := range fleets {
			assert.Equal(t, len(one.InTouch()), daemons)
			assert.Equal(t, one.Running(), daemons)
			assert.Equal(t, hearing[index].words["another"], uint64(0), "told by another daemon than its own")
			assert.Equal(t, hearing[index].reports, map[bool]int{true: 1}[index == 1])
			if index > 0 {
				assert.Equal(t, hearing[index].words[self], uint64(8), "daemon %d", index)
			}
		}
		for _, one := range fleets {
			one.ReachAll(false)
		}
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(fleets[0].InTouch()) < daemons)
	})
}

// A daemon out of touch counts among those that may run for a while, also where it was not
// tried before.
func TestLostDaemonsDropOut(t *testing.T) {
	playListening(t, 2, func(fleets []*Fleet, hearing []*listening) {
		fleets[0].learnHearsay(memberAt("Z-9", "x:9"))
		assert.Equal(t, fleets[0].Running(), 3)
		time.Sleep(forgetAfter)
		assert.Equal(t, fleets[0].Running(), 2)
		fleets[0].ReachAll(true)
		assert.Equal(t, fleets[0].Running(), 3)
		time.Sleep(forgetAfter)
		assert.Equal(t, fleets[0].Running(), 2)
		other := fleets[1].config.Self.Node
		fleets[0].mutex.Lock()
		link := fleets[0].members[other].link
		fleets[0].mutex.Unlock()
		link.Close(errCut)
		for opened := range fleets[0].listeners {
			opened.link.Close(errCut)
		}
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, hearing[0].unlinked[other])
	})
}
