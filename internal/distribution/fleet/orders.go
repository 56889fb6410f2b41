package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// SpreadOrders has the orders in force sent to all linked daemons. Each daemon to which
// they are new passes them on. It does not wait.
func (f *Fleet) SpreadOrders() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.connected {
			signal(member.ordersChanged)
		}
	}
	for opened := range f.inbound {
		signal(opened.ordersChanged)
	}
	signal(f.review)
}

// evacuated reports whether the instances of a zone get no calls.
func (f *Fleet) evacuated(zone string) bool {
	return f.config.Orders != nil && f.config.Orders().Evacuated(zone)
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
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Orders{Orders: set.Message()}})
}

// receiveOrders gives the observer the orders that another daemon follows. They are
// ignored where operators give none, and when they name no revision.
func (f *Fleet) receiveOrders(from string, message *lapisv1.Orders) {
	if f.config.Orders == nil || message.GetRevision() == 0 {
		return
	}
	f.config.Observer.OfferOrders(orders.NewSet(message), from)
}
