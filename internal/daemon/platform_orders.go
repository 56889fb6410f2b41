package daemon

import (
	"strings"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/position"
)

// fromStore names the platform's store as where orders came from.
const fromStore = "store"

// ordersState is what a daemon keeps of the operators' orders.
type ordersState struct {
	// follow puts a set in force in place of before. It is called for one set at a time, and
	// returns once calls are handled by it.
	follow func(before, now *orders.Set, by string)

	// mutex is held while a set is put in force and protects unknown, the zones in
	// force of which no daemon was known.
	mutex   sync.Mutex
	unknown map[string]bool
	// held is the newest configuration that waits for the first orders;
	// platformDistribution.mutex protects it.
	held *lapisv1.Configuration
}

// orderKinds are the kinds of orders that operators give.
func (p *platformDistribution) orderKinds() orders.Kinds { return orderKindsOf(p.path.settings.Load()) }

// orderKindsOf are the kinds of orders that settings switch on.
func orderKindsOf(values *settings.Daemon) orders.Kinds {
	return orders.Kinds{Evacuations: values.EvacuationBound > 0, Rollouts: values.Rollouts.On()}
}

// ordersBound is the time within which orders must be in force, 0 where operators
// give none. Roll-outs have no bound of their own and are as urgent as configurations.
func (p *platformDistribution) ordersBound() time.Duration {
	values := p.path.settings.Load()
	if values.EvacuationBound == 0 && values.Rollouts.On() {
		return values.Platform.ApplyBound.Get()
	}
	return values.EvacuationBound.Get()
}

// pollBound is the time within which everything that polls read must be in force.
func (p *platformDistribution) pollBound() time.Duration {
	bound := p.path.settings.Load().Platform.ApplyBound.Get()
	if p.freshness.WithOrders {
		bound = min(bound, p.ordersBound())
	}
	return bound
}

// ordersReader returns the function that receives the store's orders, nil where operators give
// none.
func (p *platformDistribution) ordersReader() func(*orders.Set) {
	if !p.freshness.WithOrders {
		return nil
	}
	return p.readOrders
}

// ordersInForce returns the orders that are exchanged with other daemons, nil where operators give
// none.
func (p *platformDistribution) ordersInForce() *orders.Current {
	if !p.freshness.WithOrders {
		return nil
	}
	return p.path.orders
}

// ordersKnown reports whether orders are in force, or operators give none. No configuration is put
// in force before.
func (p *platformDistribution) ordersKnown() bool {
	versions, _ := p.freshness.InForce()
	return !p.freshness.WithOrders || versions.Orders > 0
}

// holdBack keeps a configuration until the first orders are known, so that no call is sent
// before, and reports whether it did; p.mutex is held.
func (p *platformDistribution) holdBack(configuration *lapisv1.Configuration) bool {
	if p.ordersKnown() {
		return false
	}
	if configuration.GetRevision() > p.orders.held.GetRevision() {
		p.orders.held = configuration
	}
	return true
}

// releaseHeld offers the configuration that was held back.
func (p *platformDistribution) releaseHeld() {
	p.mutex.Lock()
	held := p.orders.held
	p.orders.held = nil
	p.mutex.Unlock()
	if held != nil {
		p.Offer(held)
	}
}

// readOrders offers the store's answer.
func (p *platformDistribution) readOrders(set *orders.Set) {
	p.applyOrders(fromStore, func() (*orders.Set, bool) { return p.path.orders.ApplyStored(set) })
}

// OfferOrders implements fleet.Observer.
func (p *platformDistribution) OfferOrders(set *orders.Set, from string) {
	p.applyOrders(from, func() (*orders.Set, bool) { return p.path.orders.ApplyReceived(set) })
}

// applyOrders puts orders in force if replace finds them newer, and passes them on; by is
// who brought them.
func (p *platformDistribution) applyOrders(by string, replace func() (before *orders.Set, replaced bool)) {
	p.orders.mutex.Lock()
	defer p.orders.mutex.Unlock()
	before, replaced := replace()
	now := p.path.orders.Load()
	for _, zone := range now.GivenAgain(before) {
		p.path.logger.Info("orders.given_again", "zone", zone, "revision", position.Position(now.Revision()), "by", by)
	}
	if !replaced {
		return
	}
	p.orders.follow(before, now, by)
	p.freshness.AdvanceOrders(now.Revision())
	p.fleet.SpreadOrders()
	p.fleet.SendHeartbeats()
	if before == nil {
		p.releaseHeld()
	}
}

// followOrders puts orders in force for the instances beside the daemon; attempts of calls
// read the current set themselves.
func (p *platformDistribution) followOrders(before, now *orders.Set, by string) {
	if p.rollouts != nil {
		p.rollouts.ordered(now)
	}
	p.path.origin.SetEvacuated(now.Evacuated(p.path.settings.Load().Zone))
	p.path.logger.Info("orders.in_force", "revision", position.Position(now.Revision()), "before", position.Position(before.Revision()), "zones", strings.Join(now.Zones(), ","), "by", by)
	for _, zone := range now.Zones() {
		if !p.orders.unknown[zone] && !p.fleet.ZoneKnown(zone) {
			p.orders.unknown[zone] = true
			p.path.logger.Info("orders.zone_unknown", "zone", zone)
		}
	}
	for zone := range p.orders.unknown {
		if !now.Evacuated(zone) {
			delete(p.orders.unknown, zone)
		}
	}
}
