package fleet

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Times of the connections between daemons.
const (
	connectTimeout  = time.Second
	reconnectMin    = 50 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 2
	// steadyAfter is how long a connection must have lasted for its loss to be
	// answered by a dial at once: one that is lost right after it opened would be
	// opened and lost without end.
	steadyAfter = time.Second
)

// maintain keeps a connection to a peer until ctx ends.
func (f *Fleet) maintain(ctx context.Context, member *peer) {
	wait := reconnectMin
	for ctx.Err() == nil {
		link, err := f.connect(ctx, member)
		if err == nil {
			opened := boottime.Now()
			f.converse(ctx, member, link)
			if boottime.Since(opened) >= steadyAfter {
				wait = reconnectMin
				continue
			}
		}
		var other *callmux.OtherDaemonError
		if errors.As(err, &other) {
			f.displace(member, other)
		}
		if !f.waitFor(ctx, member, f.jitter(wait)) {
			return
		}
		wait = min(wait*reconnectFactor, reconnectMax)
	}
}

// waitFor waits until the peer may be tried again.
func (f *Fleet) waitFor(ctx context.Context, member *peer, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-member.wake:
		// A peer that has just connected to this daemon is there.
		return sleep.For(ctx, reconnectMin)
	case <-ctx.Done():
		return false
	}
}

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
		Heartbeat: func(heartbeat callmux.Heartbeat) { f.heard(member, heartbeat) },
	}
	link, err := f.config.Calls.Connect(ctx, node, address, receive)
	if err != nil {
		return callmux.Link{}, err
	}
	incarnation := link.Welcome().GetIncarnation()
	f.mutex.Lock()
	if member.announcement.GetIncarnation() != incarnation {
		// What an earlier incarnation announced no longer holds.
		member.announcement = nil
		member.revision = 0
	}
	member.connected = true
	member.stalled = false
	member.displacedAt = time.Time{}
	member.link = link
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.connected", "member", member.Node, "address", address, "incarnation", incarnation)
	signal(f.changed)
	return link, nil
}

// converse introduces this daemon's knowledge on a connection that it opened,
// and waits for its end.
func (f *Fleet) converse(ctx context.Context, member *peer, link callmux.Link) {
	defer f.lost(member, link)
	stop := context.AfterFunc(ctx, func() { link.Close(result.Errorf(result.CallUnknownOutcome, "the connection is not wanted any more")) })
	defer stop()
	f.remind(member, link)
	f.sendOrders(link)
	f.mutex.Lock()
	member.untold.all = true
	f.mutex.Unlock()
	f.sendSuspects(link, &member.untold)
	for {
		select {
		case <-link.Closed():
			return
		case <-member.ordered:
			f.sendOrders(link)
		case <-member.untold.wake:
			f.sendSuspects(link, &member.untold)
		}
	}
}

// lost notes that a connection to a peer ended. Another one may be open by then: a peer that
// was given up and is wanted again is connected to while the end of the first is noted.
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

// receiveDialed takes in a frame on a connection that this daemon opened.
func (f *Fleet) receiveDialed(member *peer, generation uint64, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Announcement:
		f.announced(member, generation, body.Announcement)
	case *lapisv1.CallFrame_Introduction:
		f.mutex.Lock()
		link := member.link
		f.mutex.Unlock()
		f.introduced(body.Introduction, link)
	case *lapisv1.CallFrame_Configuration:
		f.offered(body.Configuration)
	case *lapisv1.CallFrame_DeflatedConfiguration:
		f.offeredDeflated(member, body.DeflatedConfiguration)
	case *lapisv1.CallFrame_Orders:
		f.tookOrders(member.Node, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.toldSuspects(member.Node, body.Suspects)
	}
}
