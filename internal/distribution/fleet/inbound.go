package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// inboundLink is a link that another daemon opened. This daemon announces its instances on it.
type inboundLink struct {
	link callmux.Link
	// node and place identify the daemon that opened the link.
	node  string
	place locality.Place
	// announcementChanged and ordersChanged request that the announcement and the orders be sent
	// again.
	announcementChanged, ordersChanged chan struct{}
	pendingSuspects                    pendingSuspects
	pendingRollouts                    pendingRollouts
	// departureRequest is the daemon's request for its departures; nil if none waits. Fleet.mutex
	// protects it.
	departureRequest *departureRequest
}

// Accepted starts to serve a link that another daemon opened and returns the handlers for its
// frames. callmux.Server calls it.
func (f *Fleet) Accepted(hello *lapisv1.Hello, link callmux.Link) callmux.Control {
	dialer := Member{Node: hello.GetNode(), Address: hello.GetAddress(), Zone: hello.GetZone(), Region: hello.GetRegion(), Service: hello.GetService()}
	inbound := &inboundLink{
		link: link, node: dialer.Node, place: dialer.place(),
		announcementChanged: make(chan struct{}, 1), ordersChanged: make(chan struct{}, 1), pendingSuspects: newPendingSuspects(),
		pendingRollouts: newPendingRollouts(),
	}
	f.mutex.Lock()
	f.inbound[inbound] = true
	peer := f.recordHello(dialer)
	if peer != nil && !peer.connected {
		signal(peer.dialNow)
	}
	f.mutex.Unlock()
	f.allowanceJoined(inbound)
	go f.serveInbound(inbound, peer)
	return callmux.Control{
		Frame:     func(frame *lapisv1.CallFrame) { f.receiveInbound(inbound, frame) },
		Heartbeat: func(heartbeat callmux.Heartbeat) { f.recordHeartbeat(peer, heartbeat) },
	}
}

// serveInbound sends orders, suspect records, rollout messages and this daemon's announcement on an
// inbound link, first in full and then on each change, until the link ends. peer is nil for a
// daemon that is not recorded.
func (f *Fleet) serveInbound(inbound *inboundLink, peer *peer) {
	defer func() {
		f.mutex.Lock()
		delete(f.inbound, inbound)
		f.mutex.Unlock()
		f.allowanceLeft(inbound)
		f.notifyUnlinked(inbound.node)
	}()
	if peer != nil {
		f.sendWithdrawn(peer, inbound.link)
	}
	f.sendOrders(inbound.link)
	f.sendSuspects(inbound.link, &inbound.pendingSuspects)
	f.sendAnnouncement(inbound.link)
	for {
		select {
		case <-inbound.link.Closed():
			return
		case <-inbound.announcementChanged:
			f.sendAnnouncement(inbound.link)
		case <-inbound.ordersChanged:
			f.sendOrders(inbound.link)
		case <-inbound.pendingSuspects.wake:
			f.sendSuspects(inbound.link, &inbound.pendingSuspects)
		case <-inbound.pendingRollouts.wake:
			f.sendRollouts(inbound.link, &inbound.pendingRollouts)
		}
	}
}

// receiveInbound handles a frame received on an inbound link.
func (f *Fleet) receiveInbound(inbound *inboundLink, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Introduction:
		f.recordIntroduction(body.Introduction, inbound.node, inbound.link)
	case *lapisv1.CallFrame_DeparturesRequest:
		f.receiveDeparturesRequest(inbound, body.DeparturesRequest)
	case *lapisv1.CallFrame_ConfigurationRequest:
		f.serveConfiguration(inbound.link, body.ConfigurationRequest.GetAbove())
	case *lapisv1.CallFrame_Orders:
		f.receiveOrders(inbound.node, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.receiveSuspects(inbound.node, body.Suspects)
	case *lapisv1.CallFrame_AllowanceAsk:
		f.serveAllowanceAsk(inbound, body.AllowanceAsk)
	case *lapisv1.CallFrame_RolloutWord, *lapisv1.CallFrame_RolloutReport:
		f.receiveRollout(inbound.node, frame)
	}
}
