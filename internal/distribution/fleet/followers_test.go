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
	takenAt       atomic.Pointer[time.Time]
	orderMessages atomic.Int64
	// registry is what it knows of suspects, and received counts the messages about them.
	registry *quarantine.Registry
	received atomic.Int64
}

// OfferOrders implements Observer.
func (f *follower) OfferOrders(set *orders.Set, _ string) {
	f.orderMessages.Add(1)
	if _, taken := f.orders.ApplyReceived(set); taken {
		now := time.Now()
		f.takenAt.Store(&now)
		if spreading := f.fleet.Load(); spreading != nil {
			spreading.SpreadOrders()
		}
	}
}

// OfferSuspects implements Observer.
func (f *follower) OfferSuspects(records []quarantine.Record, from string) {
	f.received.Add(1)
	f.spread(f.registry.Merge(records), from)
}

func (f *follower) spread(records []quarantine.Record, from string) {
	if spreading := f.fleet.Load(); spreading != nil {
		spreading.SpreadSuspects(records, from)
	}
}

// evacuating are orders at a revision that evacuate a zone.
func evacuating(revision uint64, zone string) *orders.Set {
	return orders.NewSet(&lapisv1.Orders{Revision: revision, Evacuations: []*lapisv1.Evacuation{{Zone: zone, Revision: revision}}})
}

// playFollowers runs test with a function that starts a daemon which follows orders, in
// a fleet of its own; one that knows orders from its start is given them, and one that
// cannot dial is given a network without listeners.
func playFollowers(t *testing.T, test func(start func(index int, known *orders.Set, adjust ...func(*Config)) *follower)) {
	playDaemons(t, nil, func(_ *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		test(func(index int, known *orders.Set, adjust ...func(*Config)) *follower {
			joined := &follower{offerFunc: func(*lapisv1.Configuration) {}, registry: quarantine.NewRegistry(time.Now)}
			if known != nil {
				joined.orders.ApplyReceived(known)
			}
			member := memberAt(fmt.Sprintf("%c-%d", 'A'+index, index), fmt.Sprintf("x:%d", index))
			follow := func(config *Config) {
				config.Observer, config.Orders, config.Suspects = joined, &joined.orders, joined.registry.Known
			}
			joined.fleet.Store(start(member, append(adjust, follow)...))
			return joined
		})
	})
}
