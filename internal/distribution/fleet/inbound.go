package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// inboundLink is a link that another daemon opened; this daemon's instances are announced
// on it.
type inboundLink struct {
	link callmux.Link
	// node is that of the daemon that opened it, place where that stands.
	node  string
	place locality.Place
	// announcementChanged and ordersChanged ask for these to be sent.
	announcementChanged, ordersChanged chan struct{}
	// pendingSuspects wait to be sent on the link.
	pendingSuspects pendingSuspects
}

// Accepted serves a link that another daemon opened, for callmux.Server, until it ends.
func (f *Fleet) Accepted(hello *lapisv1.Hello, link callmux.Link) callmux.Control {
	dialer := Member{Node: hello.GetNode(), Address: hello.GetAddress(), Zone: hello.GetZone(), Region: hello.GetRegion(), Service: hello.GetService()}
	opened := &inboundLink{
		link: link, node: dialer.Node, place: dialer.place(),
		announcementChanged: make(chan struct{}, 1), ordersChanged: make(chan struct{}, 1), pendingSuspects: newPendingSuspects(),
	}
	f.mutex.Lock()
	f.inbound[opened] = true
	member := f.recordHello(dialer)
	if member != nil && !member.connected {
		signal(member.dialNow)
	}
	f.mutex.Unlock()
	go f.serveInbound(opened, member)
	return callmux.Control{
		Frame:     func(frame *lapisv1.CallFrame) { f.receiveAccepted(opened, frame) },
		Heartbeat: func(heartbeat callmux.Heartbeat) { f.recordHeartbeat(member, heartbeat) },
	}
}

// serveInbound sends on an inbound link what its daemon may lack, now and when it changes,
// until the link ends. member is nil for a daemon that is not remembered.
func (f *Fleet) serveInbound(opened *inboundLink, member *peer) {
	defer func() {
		f.mutex.Lock()
		delete(f.inbound, opened)
		f.mutex.Unlock()
	}()
	if member != nil {
		f.sendWithdrawn(member, opened.link)
	}
	f.sendOrders(opened.link)
	f.sendSuspects(opened.link, &opened.pendingSuspects)
	f.sendAnnouncement(opened.link)
	for {
		select {
		case <-opened.link.Closed():
			return
		case <-opened.announcementChanged:
			f.sendAnnouncement(opened.link)
		case <-opened.ordersChanged:
			f.sendOrders(opened.link)
		case <-opened.pendingSuspects.wake:
			f.sendSuspects(opened.link, &opened.pendingSuspects)
		}
	}
}

// receiveAccepted handles a frame on a link that another daemon opened.
func (f *Fleet) receiveAccepted(opened *inboundLink, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Introduction:
		f.recordIntroduction(body.Introduction, opened.link)
	case *lapisv1.CallFrame_ConfigurationRequest:
		f.serveConfiguration(opened.link, body.ConfigurationRequest.GetAbove())
	case *lapisv1.CallFrame_Orders:
		f.receiveOrders(opened.node, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.receiveSuspects(opened.node, body.Suspects)
	}
}
