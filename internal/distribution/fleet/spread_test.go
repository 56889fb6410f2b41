package fleet

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
)

// Orders reach all daemons of a fleet in which no daemon is connected to all others. Each daemon
// receives them a bounded number of times, and a new daemon gets them from its neighbours.
func TestOrdersReachAllDaemons(t *testing.T) {
	const daemons = 50
	runFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var followers []*follower
		for index := range daemons {
			followers = append(followers, start(index, nil))
		}
		time.Sleep(20 * time.Second)
		for _, set := range []*orders.Set{evacuationOrders(7, "a"), evacuationOrders(9, "b")} {
			for _, daemon := range followers {
				daemon.orderMessages.Store(0)
			}
			givenAt := time.Now()
			followers[3].OfferOrders(set, "store")
			time.Sleep(time.Second)
			for index, daemon := range followers {
				assert.Equal(t, daemon.orders.Load().Revision(), set.Revision(), "daemon %d", index)
				assert.Assert(t, daemon.appliedAt.Load().Sub(givenAt) < 100*time.Millisecond)
				assert.Assert(t, daemon.orderMessages.Load() <= daemons, "daemon %d got %d messages", index, daemon.orderMessages.Load())
			}
		}
		newcomer := start(daemons, nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, newcomer.orders.Evacuated("b"))
	})
}

// Over a single link, evacuation orders pass in both directions: those known when it opens, and
// later ones.
func TestOrdersGoBothWaysOverOneLink(t *testing.T) {
	cannotDial := func(config *Config) {
		config.Calls.Network = &memoryNetwork{accepting: map[string]chan net.Conn{}, dials: map[string]int{}}
	}
	for name, knows := range map[string][2]*orders.Set{
		"the dialing side has orders": {evacuationOrders(5, "a"), nil},
		"the other side has orders":   {nil, evacuationOrders(5, "a")},
	} {
		t.Run(name, func(t *testing.T) {
			runFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
				dialing, accepting := start(0, knows[0]), start(1, knows[1], cannotDial)
				expectRevision := func(revision uint64) {
					t.Helper()
					time.Sleep(10 * time.Second)
					assert.Equal(t, dialing.orders.Load().Revision(), revision)
					assert.Equal(t, accepting.orders.Load().Revision(), revision)
				}
				expectRevision(5)
				dialing.OfferOrders(evacuationOrders(7, "b"), "store")
				expectRevision(7)
				accepting.OfferOrders(evacuationOrders(9, "a"), "store")
				expectRevision(9)
			})
		})
	}
}

// A daemon without operators' orders ignores orders that it receives. Any daemon ignores orders
// without a revision.
func TestOrdersAreIgnored(t *testing.T) {
	observer := &follower{}
	withoutOrders := New(Config{Observer: observer})
	withoutOrders.receiveOrders("x", evacuationOrders(7, "b").Message())
	withOrders := New(Config{Observer: observer, Orders: &observer.orders})
	withOrders.receiveOrders("x", evacuationOrders(0, "b").Message())
	assert.Equal(t, observer.orderMessages.Load(), int64(0))
	withOrders.receiveOrders("x", evacuationOrders(7, "b").Message())
	assert.Equal(t, observer.orderMessages.Load(), int64(1))
}

// Suspect records from the daemon beside a crashed instance reach all daemons of a fleet in which
// no daemon is connected to all others. Each daemon receives them a bounded number of times, and a
// new daemon gets them from its neighbours.
func TestSuspectsReachAllDaemons(t *testing.T) {
	const daemons = 50
	line := fingerprint.RequestLine{Method: "GET", Host: "a", Target: "/deadly"}
	keys := fingerprint.Of(line, nil).Whole()
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: keys, Caller: "desk"}}
	runFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var followers []*follower
		for index := range daemons {
			followers = append(followers, start(index, nil))
		}
		time.Sleep(20 * time.Second)
		for end := range uint64(3) {
			// The three instances crash beside different daemons.
			reporter := followers[7*end]
			reporter.spread(reporter.registry.Crashed(end, inFlight), "")
			time.Sleep(time.Second)
		}
		for index, daemon := range followers {
			assert.Equal(t, daemon.registry.Count(keys), 3, "daemon %d", index)
			assert.Assert(t, daemon.suspectMessages.Load() <= 3*daemons, "daemon %d got %d messages", index, daemon.suspectMessages.Load())
		}
		newcomer := start(daemons, nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, newcomer.registry.Evaluate(keys, "desk").Quarantined)
	})
}
