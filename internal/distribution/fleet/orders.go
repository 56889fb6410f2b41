package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// SpreadOrders sends the orders in force to all daemons in touch. Each daemon to which
// they are news passes them on.
func (f *Fleet) SpreadOrders() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.connected {
			signal(member.ordered)
		}
	}
	for opened := range f.listeners {
		signal(opened.ordered)
	}
	signal(f.review)
}

// evacuated reports whether the instances of a zone get no calls.
func (f *Fleet) evacuated(zone string) bool {
	return f.config.Orders != nil && f.config.Orders().Evacuated(zone)
}

// ZoneKnown reports whether a daemon of a zone is known, this one included.
func (f *Fleet) ZoneKnown(zone string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.Zone == zone {
			return true
		}
	}
	return f.config.Self.Zone == zone
}

// sendOrders sends the orders in force, if there are any.
func (f *Fleet) sendOrders(link callmux.Link) {
	if f.config.Orders == nil {
		return
	}
	set := f.config.Orders()
	if set == nil {
		return
	}
	// A session that is over says so itself.
	_ = link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Orders{Orders: set.Message()}})
}

// tookOrders takes in the orders that another daemon follows.
func (f *Fleet) tookOrders(from string, message *lapisv1.Orders) {
	if f.config.Orders == nil || message.GetRevision() == 0 {
		return
	}
	f.config.Observer.Ordered(orders.NewSet(message), from)
}
