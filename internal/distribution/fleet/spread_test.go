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

// Orders reach all of a fleet in which nobody is connected to everybody, each daemon receives
// them a bounded number of times, and a daemon that starts has them from its neighbours.
func TestOrdersReachAllDaemons(t *testing.T) {
	const daemons = 50
	playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var followers []*follower
		for index := range daemons {
			followers = append(followers, start(index, nil))
		}
		time.Sleep(20 * time.Second)
		for _, set := range []*orders.Set{evacuating(7, "a"), evacuating(9, "b")} {
			for _, known := range followers {
				known.orderMessages.Store(0)
			}
			given := time.Now()
			followers[3].OfferOrders(set, "store")
			time.Sleep(time.Second)
			for index, known := range followers {
				assert.Equal(t, known.orders.Load().Revision(), set.Revision(), "daemon %d", index)
				assert.Assert(t, known.takenAt.Load().Sub(given) < 100*time.Millisecond)
				assert.Assert(t, known.orderMessages.Load() <= daemons, "daemon %d got %d messages", index, known.orderMessages.Load())
			}
		}
		newcomer := start(daemons, nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, newcomer.orders.Evacuated("b"))
	})
}

// Over a single link orders go both ways: those known when it opens, and later ones.
func TestOrdersGoBothWaysOverOneLink(t *testing.T) {
	cannotDial := func(config *Config) {
		config.Calls.Network = &memoryNetwork{accepting: map[string]chan net.Conn{}, dials: map[string]int{}}
	}
	for name, knows := range map[string][2]*orders.Set{
		"the dialing side knows": {evacuating(5, "a"), nil},
		"the other side knows":   {nil, evacuating(5, "a")},
	} {
		t.Run(name, func(t *testing.T) {
			playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
				dialing, accepting := start(0, knows[0]), start(1, knows[1], cannotDial)
				expect := func(revision uint64) {
					t.Helper()
					time.Sleep(10 * time.Second)
					assert.Equal(t, dialing.orders.Load().Revision(), revision)
					assert.Equal(t, accepting.orders.Load().Revision(), revision)
				}
				expect(5)
				dialing.OfferOrders(evacuating(7, "b"), "store")
				expect(7)
				accepting.OfferOrders(evacuating(9, "a"), "store")
				expect(9)
			})
		})
	}
}

// A daemon where operators give no orders ignores those that it receives, and so
// does any daemon with orders that name no revision.
func TestOrdersAreIgnored(t *testing.T) {
	observer := &follower{}
	none := New(Config{Observer: observer})
	none.receiveOrders("x", evacuating(7, "b").Message())
	some := New(Config{Observer: observer, Orders: &observer.orders})
	some.receiveOrders("x", evacuating(0, "b").Message())
	assert.Equal(t, observer.orderMessages.Load(), int64(0))
	some.receiveOrders("x", evacuating(7, "b").Message())
	assert.Equal(t, observer.orderMessages.Load(), int64(1))
}

// What the daemon beside an instance that ended found reaches all of a fleet in which nobody
// is connected to everybody, each receives it a bounded number of times, and a daemon that
// starts has it from its neighbours.
func TestSuspectsReachAllDaemons(t *testing.T) {
	const daemons = 50
	line := fingerprint.Line{Method: "GET", Host: "a", Target: "/deadly"}
	keys := fingerprint.Of(line, nil).Whole()
	inFlight := []quarantine.InFlight{{Head: fingerprint.HeadOf(line), Keys: keys, Caller: "desk"}}
	playFollowers(t, func(start func(int, *orders.Set, ...func(*Config)) *follower) {
		var known []*follower
		for index := range daemons {
			known = append(known, start(index, nil))
		}
		time.Sleep(20 * time.Second)
		for end := range uint64(3) {
			// Each instance ends beside another daemon.
			found := known[7*end]
			found.spread(found.registry.Crashed(end, inFlight), "")
			time.Sleep(time.Second)
		}
		for index, each := range known {
			assert.Equal(t, each.registry.Count(keys), 3, "daemon %d", index)
			assert.Assert(t, each.received.Load() <= 3*daemons, "daemon %d got %d messages", index, each.received.Load())
		}
		newcomer := start(daemons, nil)
		time.Sleep(10 * time.Second)
		assert.Assert(t, newcomer.registry.Evaluate(keys, "desk").Quarantined)
	})
}
