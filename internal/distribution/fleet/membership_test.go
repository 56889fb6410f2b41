package fleet

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// membershipTest is a fleet whose directory gives three members at a time, a second late.
type membershipTest struct {
	directory *scriptedDirectory
	network   *memoryNetwork
	daemons   []*Fleet
	start     func(node string, directory Directory)
}

// runMembership runs test with a fleet without daemons, which end when it returns.
func runMembership(t *testing.T, test func(*membershipTest)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		random := rand.New(rand.NewPCG(1, 1))
		var drawing sync.Mutex
		site := &membershipTest{
			directory: &scriptedDirectory{lag: time.Second, pageSize: 3, published: map[Member]time.Time{}},
			network:   newMemoryNetwork(),
		}
		var running sync.WaitGroup
		site.start = func(node string, directory Directory) {
			daemon := daemonAt(ctx, &running, site.network, memberAt(node, node+":1"), directory, func(config *Config) {
				config.Random = func() float64 {
					drawing.Lock()
					defer drawing.Unlock()
					return random.Float64()
				}
			})
			site.daemons = append(site.daemons, daemon)
		}
		test(site)
		cancel()
		running.Wait()
		// Waits for unanswered greetings to time out.
		time.Sleep(time.Minute)
	})
}

// awaitAllKnown waits until each daemon knows all others, and returns how long that took.
func (s *membershipTest) awaitAllKnown(t *testing.T, limit time.Duration) time.Duration {
	t.Helper()
	start := time.Now()
	for {
		missing := 0
		for _, daemon := range s.daemons {
			missing += len(s.daemons) - 1 - daemon.KnownMembers()
		}
		if missing == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			t.Errorf("%d members are still unknown after %s", missing, limit)
			return limit
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// exchangeRounds returns the longest time of as many exchanges as a fleet needs for all members to be
// known (TestMembersAreKnownAfterFewRounds).
func exchangeRounds(daemons int) time.Duration {
	rounds := math.Ceil(math.Log2(float64(daemons)) + 1)
	return time.Duration(rounds) * (exchangeMax + exchangeMax/jitterDivisor)
}

// Guards against daemons that know only a page of the directory. All start at once, and most are not
// listed there.
func TestAllMembersBecomeKnownFromOnePage(t *testing.T) {
	runMembership(t, func(site *membershipTest) {
		for number := range 24 {
			site.start(fmt.Sprintf("node-%02d", number), site.directory)
		}
		took := site.awaitAllKnown(t, exchangeRounds(24))
		_, writes := site.directory.calls()
		t.Logf("all known after %s, %d of 24 listed", took, writes)
	})
}

// Guards against a part of the fleet that stays apart because the directory was down for it when it
// started. It must join within the longest wait of a failing directory and the usual exchanges.
func TestPartWithoutDirectoryJoinsAfterItsReturn(t *testing.T) {
	runMembership(t, func(site *membershipTest) {
		cut := &scriptedDirectory{down: true}
		for number := range 6 {
			site.start(fmt.Sprintf("node-%02d", number), site.directory)
			site.start(fmt.Sprintf("part-%02d", number), &switchedDirectory{first: cut, then: site.directory, until: time.Now().Add(30 * time.Second)})
		}
		time.Sleep(30 * time.Second)
		took := site.awaitAllKnown(t, directoryRetryMax+directoryRetryMax/jitterDivisor+exchangeRounds(12))
		t.Logf("all known %s after the return", took)
	})
}

// Guards against newcomers that stay apart when none of the listed daemons runs any more.
func TestNewcomersJoinWhenAllListedAreLost(t *testing.T) {
	runMembership(t, func(site *membershipTest) {
		for number := range 9 {
			site.directory.published[memberAt(fmt.Sprintf("gone-%02d", number), fmt.Sprintf("gone-%02d:1", number))] = time.Now()
		}
		for number := range 6 {
			site.start(fmt.Sprintf("node-%02d", number), site.directory)
		}
		time.Sleep(40 * time.Second)
		for _, daemon := range site.daemons {
			connected := connectedTo(daemon)
			assert.Assert(t, len(connected) == len(site.daemons)-1, "a daemon is linked to %v only", connected)
		}
	})
}

// switchedDirectory is one directory until a time and then another one.
type switchedDirectory struct {
	first, then Directory
	until       time.Time
}

func (d *switchedDirectory) current() Directory {
	if time.Now().Before(d.until) {
		return d.first
	}
	return d.then
}

func (d *switchedDirectory) Publish(ctx context.Context, member Member) error {
	return d.current().Publish(ctx, member)
}

func (d *switchedDirectory) Page(ctx context.Context, after string) ([]Member, string, error) {
	return d.current().Page(ctx, after)
}
