package fleet

import (
	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// listener is a connection that another daemon opened; it hears of this
// daemon's instances.
type listener struct {
	link callmux.Link
	// node is that of the daemon that opened it, place where that stands.
	node  string
	place locality.Place
	// wake asks for the announcement to be sent, ordered for the orders.
	wake, ordered chan struct{}
	// untold is what the daemon is to be told of suspects.
	untold untold
}

// Accepted takes in a connection that another daemon opened, for
// callmux.Server.
func (f *Fleet) Accepted(hello *lapisv1.Hello, link callmux.Link) callmux.Control {
	dialer := Member{Node: hello.GetNode(), Address: hello.GetAddress(), Zone: hello.GetZone(), Region: hello.GetRegion(), Service: hello.GetService()}
	opened := &listener{
		link: link, node: dialer.Node, place: dialer.place(),
		wake: make(chan struct{}, 1), ordered: make(chan struct{}, 1), untold: newUntold(),
	}
	f.mutex.Lock()
	f.listeners[opened] = true
	member := f.greeted(dialer)
	if member != nil && !member.connected {
		signal(member.wake)
	}
	f.mutex.Unlock()
	go f.tell(opened, member)
	return callmux.Control{
		Frame:     func(frame *lapisv1.CallFrame) { f.receiveAccepted(opened, frame) },
		Heartbeat: func(heartbeat callmux.Heartbeat) { f.heard(member, heartbeat) },
	}
}

// tell announces this daemon on a connection until it ends.
func (f *Fleet) tell(opened *listener, member *peer) {
	defer func() {
		f.mutex.Lock()
		delete(f.listeners, opened)
		f.mutex.Unlock()
	}()
	if member != nil {
		f.remind(member, opened.link)
	}
	f.sendOrders(opened.link)
	f.sendSuspects(opened.link, &opened.untold)
	f.sendAnnouncement(opened.link)
	for {
		select {
		case <-opened.link.Closed():
			return
		case <-opened.wake:
			f.sendAnnouncement(opened.link)
		case <-opened.ordered:
			f.sendOrders(opened.link)
		case <-opened.untold.wake:
			f.sendSuspects(opened.link, &opened.untold)
		}
	}
}

// sendAnnouncement announces this daemon on a connection.
func (f *Fleet) sendAnnouncement(link callmux.Link) {
	f.mutex.Lock()
	announcement := f.announcement()
	f.mutex.Unlock()
	// A session that is over says so itself.
	_ = link.Send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Announcement{Announcement: announcement}})
}

// receiveAccepted takes in a frame on a connection that another daemon opened.
func (f *Fleet) receiveAccepted(opened *listener, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Introduction:
		f.introduced(body.Introduction, opened.link)
	case *lapisv1.CallFrame_ConfigurationRequest:
		f.serveConfiguration(opened.link, body.ConfigurationRequest.GetAbove())
	case *lapisv1.CallFrame_Orders:
		f.tookOrders(opened.node, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.toldSuspects(opened.node, body.Suspects)
	}
}
