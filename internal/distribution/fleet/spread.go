package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maxPendingSuspects bounds the records queued on one link. Beyond it, all known records are sent
// instead. It must be smaller than the 4096 suspects that a quarantine registry holds; otherwise
// the bound would save nothing.
const maxPendingSuspects = 1024

// pendingSuspects holds the suspect records to be sent on one link; Fleet.mutex protects it.
type pendingSuspects struct {
	records []quarantine.Record
	// all is true if all known records are to be sent.
	all bool
	// wake requests that the queued records be sent.
	wake chan struct{}
}

func newPendingSuspects() pendingSuspects {
	return pendingSuspects{all: true, wake: make(chan struct{}, 1)}
}

func (p *pendingSuspects) add(records []quarantine.Record) {
	p.records = append(p.records, records...)
	if len(p.records) > maxPendingSuspects {
		p.records, p.all = nil, true
	}
	signal(p.wake)
}

// BroadcastSuspects queues changed records once for each linked daemon except from, which sent
// them. from is empty for a crash found by this daemon. It does not block.
func (f *Fleet) BroadcastSuspects(records []quarantine.Record, from string) {
	if len(records) == 0 {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	notified := map[string]bool{from: true}
	for node, peer := range f.peers {
		if peer.connected && !notified[node] {
			notified[node] = true
			peer.pendingSuspects.add(records)
		}
	}
	for inbound := range f.inbound {
		if !notified[inbound.node] {
			notified[inbound.node] = true
			inbound.pendingSuspects.add(records)
		}
	}
}

func (f *Fleet) sendSuspects(link callmux.Link, pending *pendingSuspects) {
	f.mutex.Lock()
	records, all := pending.records, pending.all
	pending.records, pending.all = nil, false
	f.mutex.Unlock()
	if f.config.Suspects == nil {
		return
	}
	if all {
		records = f.config.Suspects()
	}
	if len(records) == 0 {
		return
	}
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Suspects{Suspects: quarantine.Message(records)}})
}

func (f *Fleet) receiveSuspects(from string, message *lapisv1.Suspects) {
	if f.config.Suspects != nil {
		f.config.Observer.OfferSuspects(quarantine.Records(message), from)
	}
}

// BroadcastOrders sends the orders in force on all links. It does not block.
func (f *Fleet) BroadcastOrders() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.connected {
			signal(peer.ordersChanged)
		}
	}
	for inbound := range f.inbound {
		signal(inbound.ordersChanged)
	}
	signal(f.reviewLinks)
}

// evacuated reports whether the instances of a zone get no calls.
func (f *Fleet) evacuated(zone string) bool {
	return f.config.Orders != nil && f.config.Orders.Evacuated(zone)
}

func (f *Fleet) sendOrders(link callmux.Link) {
	if f.config.Orders == nil {
		return
	}
	message := f.config.Orders.Message()
	if message == nil {
		return
	}
	f.send(link, &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Orders{Orders: message}})
}

// receiveOrders passes another daemon's orders to the observer. They are ignored if operators give
// no orders here or the message has no revision.
func (f *Fleet) receiveOrders(from string, message *lapisv1.Orders) {
	if f.config.Orders == nil || message.GetRevision() == 0 {
		return
	}
	f.config.Observer.OfferOrders(orders.NewSet(message), from)
}
