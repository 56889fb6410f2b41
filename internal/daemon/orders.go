package daemon

import (
	"strings"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
)

// fromStore names the platform's store as where orders came from.
const fromStore = "store"

// ordersPart is what a daemon keeps of the operators' orders.
type ordersPart struct {
	current orders.Current
	// follow puts a set in force that took the place of before. It is called for one
	// set at a time, and returns once calls are handled by it.
	follow func(before, now *orders.Set, by string)

	// mutex is held while a set is put in force and protects unknown, the zones in
	// force of which no daemon was known.
	mutex   sync.Mutex
	unknown map[string]bool
	// held is the newest configuration that waits for the first orders;
	// direct.mutex protects it.
	held *lapisv1.Configuration
}

// ordersBound is the time within which orders must be in force, 0 where operators
// give none.
func (p *direct) ordersBound() time.Duration { return p.daemon.settings.Load().EvacuationBound.Get() }

// askBound is the time within which everything that is asked of the source must be in
// force.
func (p *direct) askBound() time.Duration {
	bound := p.daemon.settings.Load().Platform.ApplyBound.Get()
	if p.freshness.WithOrders {
		bound = min(bound, p.ordersBound())
	}
	return bound
}

// joinOrders makes the follower ask for orders where operators give any.
func (p *direct) joinOrders() {
	p.orders.unknown = map[string]bool{}
	p.orders.follow = p.followOrders
	if p.freshness.WithOrders {
		p.follower.TakeOrders = p.readOrders
		p.follower.OrdersBound = p.ordersBound()
	}
}

// ordersInForce returns how other daemons learn of the orders, nil where operators
// give none.
func (p *direct) ordersInForce() func() *orders.Set {
	if !p.freshness.WithOrders {
		return nil
	}
	return p.orders.current.Load
}

// ordersKnown reports whether calls can be handled by the operators' orders: whether
// some are in force, or none are given.
func (p *direct) ordersKnown() bool {
	versions, _ := p.freshness.InForce()
	return !p.freshness.WithOrders || versions.Orders > 0
}

// holdBack keeps a configuration until the first orders are known, so that nothing is
// sent before; p.mutex is held.
func (p *direct) holdBack(configuration *lapisv1.Configuration) bool {
	if p.ordersKnown() {
		return false
	}
	if configuration.GetRevision() > p.orders.held.GetRevision() {
		p.orders.held = configuration
	}
	return true
}

// releaseHeld offers the configuration that was held back.
func (p *direct) releaseHeld() {
	p.mutex.Lock()
	held := p.orders.held
	p.orders.held = nil
	p.mutex.Unlock()
	if held != nil {
		p.Offer(held)
	}
}

// readOrders takes in the store's answer.
func (p *direct) readOrders(set *orders.Set) {
	p.takeOrders(fromStore, func() (*orders.Set, bool) { return p.orders.current.Read(set) })
}

// Ordered implements fleet.Observer.
func (p *direct) Ordered(set *orders.Set, from string) {
	p.takeOrders(from, func() (*orders.Set, bool) { return p.orders.current.Replace(set) })
}

// evacuated reports whether the instances of a zone get no calls by the operators' orders.
func (d *Daemon) evacuated(zone string) bool {
	return d.direct != nil && d.direct.orders.current.Evacuated(zone)
}

// takeOrders puts orders in force that replace takes in, and passes them on.
func (p *direct) takeOrders(by string, replace func() (before *orders.Set, taken bool)) {
	p.orders.mutex.Lock()
	defer p.orders.mutex.Unlock()
	before, taken := replace()
	now := p.orders.current.Load()
	for _, zone := range now.GivenAgain(before) {
		p.daemon.logger.Info("orders.given_again", "zone", zone, "revision", now.Revision(), "by", by)
	}
	if !taken {
		return
	}
	p.orders.follow(before, now, by)
	p.freshness.AdvanceOrders(now.Revision())
	p.fleet.SpreadOrders()
	p.fleet.Beat()
	if before == nil {
		p.releaseHeld()
	}
}

// followOrders puts orders in force for the instances beside the daemon; callers'
// attempts look at the current set themselves.
func (p *direct) followOrders(before, now *orders.Set, by string) {
	p.daemon.origin.SetEvacuated(now.Evacuated(p.daemon.settings.Load().Zone))
	p.daemon.logger.Info("orders.in_force", "revision", now.Revision(), "before", before.Revision(), "zones", strings.Join(now.Zones(), ","), "by", by)
	for _, zone := range now.Zones() {
		if !p.orders.unknown[zone] && !p.fleet.ZoneKnown(zone) {
			p.orders.unknown[zone] = true
			p.daemon.logger.Info("orders.zone_unknown", "zone", zone)
		}
	}
	for zone := range p.orders.unknown {
		if !now.Evacuated(zone) {
			delete(p.orders.unknown, zone)
		}
	}
}
