package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maintain keeps a link to a peer open until ctx ends.
func (f *Fleet) maintain(ctx context.Context, member *peer) {
	wait := reconnectMin
	for ctx.Err() == nil {
		link, err := f.connect(ctx, member)
		if err == nil {
			opened := boottime.Now()
			f.serveLink(ctx, member, link)
			if boottime.Since(opened) >= stableAfter {
				wait = reconnectMin
				continue
			}
		}
		var other *callmux.OtherDaemonError
		if errors.As(err, &other) {
			f.displace(member, other)
		}
		if !f.waitToDial(ctx, member, f.jitter(wait)) {
			return
		}
		wait = min(wait*reconnectFactor, reconnectMax)
	}
}

// waitToDial waits until the peer may be dialed again; it reports false when ctx ended.
func (f *Fleet) waitToDial(ctx context.Context, member *peer, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-member.dialNow:
		// A peer that has just connected to this daemon is there.
		return sleep.For(ctx, reconnectMin)
	case <-ctx.Done():
		return false
	}
}

// connect dials a peer and records the open link. Errors: those of callmux.Client.Connect,
// among them *callmux.OtherDaemonError where another daemon answers at the address.
func (f *Fleet) connect(ctx context.Context, member *peer) (callmux.Link, error) {
	f.mutex.Lock()
	node, address := member.Node, member.Address
	member.generation++
	generation := member.generation
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	receive := callmux.Control{
		Frame:     func(frame *lapisv1.CallFrame) { f.receiveDialed(member, generation, frame) },
		Heartbeat: func(heartbeat callmux.Heartbeat) { f.recordHeartbeat(member, heartbeat) },
	}
	link, err := f.config.Calls.Connect(ctx, node, address, receive)
	if err != nil {
		return callmux.Link{}, err
	}
	incarnation := link.Welcome().GetIncarnation()
	f.mutex.Lock()
	member.recordOpen(link, incarnation)
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.connected", "member", member.Node, "address", address, "incarnation", incarnation)
	signal(f.changed)
	return link, nil
}

// recordOpen records a link to a peer of an incarnation; Fleet.mutex is held.
func (p *peer) recordOpen(link callmux.Link, incarnation uint64) {
	if p.announcement.GetIncarnation() != incarnation {
		// What an earlier incarnation announced no longer holds.
		p.announcement = nil
		p.revision = 0
	}
	p.connected = true
	p.stalled = false
	p.displacedAt = time.Time{}
	p.link = link
}

// serveLink sends on a link that this daemon opened what the peer may lack, now and when
// it changes, until the link ends.
func (f *Fleet) serveLink(ctx context.Context, member *peer, link callmux.Link) {
	defer f.lost(member, link)
	stop := context.AfterFunc(ctx, func() {
		link.Close(result.Errorf(result.CallUnknownOutcome, "the connection is not wanted any more"))
	})
	defer stop()
	f.sendWithdrawn(member, link)
	f.sendOrders(link)
	f.mutex.Lock()
	member.pendingSuspects.all = true
	f.mutex.Unlock()
	f.sendSuspects(link, &member.pendingSuspects)
	for {
		select {
		case <-link.Closed():
			return
		case <-member.ordersChanged:
			f.sendOrders(link)
		case <-member.pendingSuspects.wake:
			f.sendSuspects(link, &member.pendingSuspects)
		}
	}
}

// send sends a frame on a link. Its error is dropped: it says that the session is over,
// which whoever serves the link notices by link.Closed, and all that is sent here is sent
// anew when the next link opens.
func (f *Fleet) send(link callmux.Link, frame proto.Message) { _ = link.Send(frame) }

// lost records that a link to a peer ended. Another one may be open by then: a peer that
// was given up and is chosen again is connected to while the end of the first is recorded.
func (f *Fleet) lost(member *peer, link callmux.Link) {
	f.mutex.Lock()
	if member.link != link {
		f.mutex.Unlock()
		return
	}
	member.connected = false
	member.lostAt = boottime.Now()
	member.moveAsListed()
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.lost", "member", member.Node)
	signal(f.changed)
	signal(f.review)
}

// receiveDialed handles a frame on a link that this daemon opened.
func (f *Fleet) receiveDialed(member *peer, generation uint64, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Announcement:
		f.recordAnnouncement(member, generation, body.Announcement)
	case *lapisv1.CallFrame_Introduction:
		f.mutex.Lock()
		link := member.link
		f.mutex.Unlock()
		f.recordIntroduction(body.Introduction, link)
	case *lapisv1.CallFrame_Configuration:
		f.receiveConfiguration(body.Configuration)
	case *lapisv1.CallFrame_DeflatedConfiguration:
		f.receiveDeflatedConfiguration(member, body.DeflatedConfiguration)
	case *lapisv1.CallFrame_Orders:
		f.receiveOrders(member.Node, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.receiveSuspects(member.Node, body.Suspects)
	}
}
