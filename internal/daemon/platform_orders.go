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

// fromStore is the logged origin of configurations and orders that were read from the platform's store.
const fromStore = "store"

// ordersState is the state for applying the operators' orders.
type ordersState struct {
	// follow applies the set now, which replaces before. Calls to follow are serialized, and it returns
	// once calls are handled according to the new set.
	follow func(before, now *orders.Set, by string)

	// mutex serializes the application of sets and protects unknownZones, the evacuated zones for which
	// no daemon was known.
	mutex        sync.Mutex
	unknownZones map[string]bool
	// deferred is the newest configuration that waits for the first orders, deferredFrom its origin. They
	// are protected by platformDistribution.mutex.
	deferred     *lapisv1.Configuration
	deferredFrom string
}

// orderKinds returns the kinds of orders that are enabled.
func (p *platformDistribution) orderKinds() orders.Kinds { return orderKindsOf(p.path.settings.Load()) }

// orderKindsOf returns the kinds of orders that the settings enable.
func orderKindsOf(values *settings.Daemon) orders.Kinds {
	return orders.Kinds{Evacuations: values.EvacuationBound > 0, Rollouts: values.Rollouts.Enabled()}
}

// ordersBound returns the time within which orders must be in force, or 0 if orders are disabled.
// Roll-outs have no separate bound and are as urgent as configurations.
func (p *platformDistribution) ordersBound() time.Duration {
	values := p.path.settings.Load()
	if values.EvacuationBound == 0 && values.Rollouts.Enabled() {
		return values.Platform.ApplyBound.Get()
	}
	return values.EvacuationBound.Get()
}

// pollBound returns the time within which all polled data must be in force.
func (p *platformDistribution) pollBound() time.Duration {
	bound := p.path.settings.Load().Platform.ApplyBound.Get()
	if p.freshness.WithOrders {
		bound = min(bound, p.ordersBound())
	}
	return bound
}

// ordersReader returns the callback for orders read from the store, or nil if orders are disabled.
func (p *platformDistribution) ordersReader() func(*orders.Set) {
	if !p.freshness.WithOrders {
		return nil
	}
	return p.readOrders
}

// ordersInForce returns the orders to exchange with other daemons, or nil if orders are disabled.
func (p *platformDistribution) ordersInForce() *orders.Current {
	if !p.freshness.WithOrders {
		return nil
	}
	return p.path.orders
}

// ordersKnown reports whether orders are in force or disabled. Configurations are deferred until then.
func (p *platformDistribution) ordersKnown() bool {
	versions, _ := p.freshness.InForce()
	return !p.freshness.WithOrders || versions.Orders > 0
}

// deferUntilOrders defers a configuration until the first orders are known, so that no call is sent before,
// and reports whether it did. The caller holds p.mutex.
func (p *platformDistribution) deferUntilOrders(configuration *lapisv1.Configuration, from string) bool {
	if p.ordersKnown() {
		return false
	}
	if configuration.GetRevision() > p.orders.deferred.GetRevision() {
		p.orders.deferred, p.orders.deferredFrom = configuration, from
	}
	return true
}

// releaseDeferred offers the deferred configuration, if any.
func (p *platformDistribution) releaseDeferred() {
	p.mutex.Lock()
	deferred, from := p.orders.deferred, p.orders.deferredFrom
	p.orders.deferred = nil
	p.mutex.Unlock()
	if deferred != nil {
		p.OfferConfiguration(deferred, from)
	}
}

// readOrders applies orders read from the store.
func (p *platformDistribution) readOrders(set *orders.Set) {
	p.applyOrders(fromStore, func() (*orders.Set, bool) { return p.path.orders.ApplyStored(set) })
}

// OfferOrders implements fleet.Observer.
func (p *platformDistribution) OfferOrders(set *orders.Set, from string) {
	p.applyOrders(from, func() (*orders.Set, bool) { return p.path.orders.ApplyReceived(set) })
}

// applyOrders puts orders in force if replace reports them as newer, and passes them on to other
// daemons. by is their origin: a daemon or the store.
func (p *platformDistribution) applyOrders(by string, replace func() (before *orders.Set, replaced bool)) {
	p.orders.mutex.Lock()
	defer p.orders.mutex.Unlock()
	before, replaced := replace()
	now := p.path.orders.Load()
	for _, zone := range now.ReissuedZones(before) {
		p.path.logger.Info("orders.given_again", "zone", zone, "revision", position.Position(now.Revision()), "by", by)
	}
	if !replaced {
		return
	}
	p.orders.follow(before, now, by)
	p.freshness.AdvanceOrders(now.Revision())
	p.fleet.BroadcastOrders()
	p.fleet.SendHeartbeats()
	if before == nil {
		p.releaseDeferred()
	}
}

// followOrders applies orders to the local instances and logs them. Attempts of calls read the current
// set directly.
func (p *platformDistribution) followOrders(before, now *orders.Set, by string) {
	if p.rollouts != nil {
		p.rollouts.applyOrders(now)
	}
	p.path.origin.SetEvacuated(now.Evacuated(p.path.settings.Load().Zone))
	p.path.logger.Info("orders.in_force", "revision", position.Position(now.Revision()), "before", position.Position(before.Revision()), "zones", strings.Join(now.Zones(), ","), "by", by)
	for _, zone := range now.Zones() {
		if !p.orders.unknownZones[zone] && !p.fleet.ZoneKnown(zone) {
			p.orders.unknownZones[zone] = true
			p.path.logger.Info("orders.zone_unknown", "zone", zone)
		}
	}
	for zone := range p.orders.unknownZones {
		if !now.Evacuated(zone) {
			delete(p.orders.unknownZones, zone)
		}
	}
}
