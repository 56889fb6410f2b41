package fleet

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
)

// follower is a daemon's observer that applies the orders it is offered.
type follower struct {
	offerFunc
	fleet         atomic.Pointer[Fleet]
	orders        orders.Current
	appliedAt     atomic.Pointer[time.Time]
	orderMessages atomic.Int64
	// registry holds the follower's suspect records. suspectMessages counts the messages about
	// them.
	registry        *quarantine.Registry
	suspectMessages atomic.Int64
}

func (f *follower) OfferOrders(set *orders.Set, _ string) {
	f.orderMessages.Add(1)
	if _, applied := f.orders.ApplyReceived(set); applied {
		now := time.Now()
		f.appliedAt.Store(&now)
		if fleet := f.fleet.Load(); fleet != nil {
			fleet.BroadcastOrders()
		}
	}
}

func (f *follower) OfferSuspects(records []quarantine.Record, from string) {
	f.suspectMessages.Add(1)
	f.spread(f.registry.Merge(records), from)
}

func (f *follower) spread(records []quarantine.Record, from string) {
	if fleet := f.fleet.Load(); fleet != nil {
		fleet.BroadcastSuspects(records, from)
	}
}

// evacuationOrders returns orders with a revision that evacuate a zone.
func evacuationOrders(revision uint64, zone string) *orders.Set {
	return orders.NewSet(&lapisv1.Orders{Revision: revision, Evacuations: []*lapisv1.Evacuation{{Zone: zone, Revision: revision}}})
}

// runFollowers runs test in a fleet of its own, with a function that starts a daemon that follows
// orders. initialOrders are the orders that the daemon has at its start, if not nil; adjust changes
// its configuration.
func runFollowers(t *testing.T, test func(start func(index int, initialOrders *orders.Set, adjust ...func(*Config)) *follower)) {
	runDaemons(t, nil, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		test(func(index int, initialOrders *orders.Set, adjust ...func(*Config)) *follower {
			joined := &follower{offerFunc: func(*lapisv1.Configuration) {}, registry: quarantine.NewRegistry(time.Now)}
			if initialOrders != nil {
				joined.orders.ApplyReceived(initialOrders)
			}
			member := memberAt(fmt.Sprintf("%c-%d", 'A'+index, index), fmt.Sprintf("x:%d", index))
			follow := func(config *Config) {
				config.Observer, config.Orders, config.Suspects = joined, &joined.orders, joined.registry.InitialRecords
			}
			joined.fleet.Store(start(member, append(adjust, follow)...))
			return joined
		})
	})
}
