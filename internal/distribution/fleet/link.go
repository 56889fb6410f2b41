package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maintain keeps a link to a peer open until ctx ends.
func (f *Fleet) maintain(ctx context.Context, peer *peer) {
	wait := reconnectMin
	for ctx.Err() == nil {
		link, err := f.connect(ctx, peer)
		if err == nil {
			opened := boottime.Now()
			f.serveOutbound(ctx, peer, link)
			if boottime.Since(opened) >= minStableDuration {
				wait = reconnectMin
				continue
			}
		}
		var other *callmux.OtherDaemonError
		if errors.As(err, &other) {
			f.markDisplaced(peer, other)
		}
		f.allowanceUnreachable(peer, err)
		if !f.waitToDial(ctx, peer, f.jitter(wait)) {
			return
		}
		wait = min(wait*reconnectFactor, reconnectMax)
	}
}

// waitToDial waits until the peer may be dialed again. It returns false if ctx ended.
func (f *Fleet) waitToDial(ctx context.Context, peer *peer, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-peer.dialNow:
		// The peer has just connected to this daemon, so it is running.
		return sleep.For(ctx, reconnectMin)
	case <-ctx.Done():
		return false
	}
}

// connect dials a peer and records the open link. It returns the errors of callmux.Client.Connect,
// including *callmux.OtherDaemonError if another daemon answers at the address.
func (f *Fleet) connect(ctx context.Context, peer *peer) (callmux.Link, error) {
	f.mutex.Lock()
	address := peer.Address
	peer.generation++
	generation := peer.generation
	f.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	receive := func(link callmux.Link) callmux.Control {
		return callmux.Control{
			Frame:     func(frame *lapisv1.CallFrame) { f.receiveOutbound(peer, generation, link, frame) },
			Heartbeat: func(heartbeat callmux.Heartbeat) { f.recordHeartbeat(peer, heartbeat) },
		}
	}
	link, err := f.config.Calls.Connect(ctx, peer.name, address, receive)
	if err != nil {
		return callmux.Link{}, err
	}
	incarnation := link.Welcome().GetIncarnation()
	earlier := f.recordConnected(peer, link, incarnation)
	f.config.Logger.Info("fleet.connected", "member", peer.name, "address", address, "incarnation", incarnation)
	f.logRestart(peer, incarnation, earlier)
	signal(f.reportDue)
	return link, nil
}

// endedLink is what a peer's last link showed of the process at its other end.
type endedLink struct {
	// incarnation is that of the process, 0 before the first link.
	incarnation uint64
	// endedAt is when the link ended, and ready the number of instances that were announced as ready then. A
	// process that stops as planned has announced its instances as draining before.
	endedAt time.Time
	ready   int
}

// recordConnected records an open link to the given incarnation of a peer. It returns the link before.
func (f *Fleet) recordConnected(peer *peer, link callmux.Link, incarnation uint64) (earlier endedLink) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	earlier = peer.lastLink
	peer.lastLink = endedLink{incarnation: incarnation}
	peer.recordOpen(link, incarnation)
	// The peer's announcement may have arrived before, when its configuration could not be requested.
	f.recordRevision(peer, peer.revision)
	f.allowanceConnected(peer.name)
	peer.pendingRollouts.clear()
	return earlier
}

// logRestart logs that another process answers under a peer's name than at its earlier link.
func (f *Fleet) logRestart(peer *peer, incarnation uint64, earlier endedLink) {
	if earlier.incarnation == 0 || earlier.incarnation == incarnation {
		return
	}
	f.config.Logger.Info("fleet.restarted", "member", peer.name, "incarnation", incarnation, "before", earlier.incarnation,
		"away_ms", boottime.Since(earlier.endedAt).Milliseconds(), "ready", earlier.ready)
}

// recordOpen records an open link to the given incarnation of the peer; Fleet.mutex is held.
func (p *peer) recordOpen(link callmux.Link, incarnation uint64) {
	if p.announcement.GetIncarnation() != incarnation { // The peer was restarted.
		p.announcement = nil
		p.revision = 0
	}
	p.connected = true
	p.stalled = false
	p.displacedAt = time.Time{}
	p.link = link
}

// serveOutbound sends withdrawn instances, orders, suspect records and rollout messages on an
// outbound link, first in full and then on each change, until the link ends.
func (f *Fleet) serveOutbound(ctx context.Context, peer *peer, link callmux.Link) {
	defer f.recordLost(peer, link)
	stop := context.AfterFunc(ctx, func() {
		link.Close(result.Errorf(result.CallUnknownOutcome, "the connection is no longer needed"))
	})
	defer stop()
	f.requestDepartures(link, false)
	f.sendWithdrawn(peer, link)
	f.sendOrders(link)
	f.mutex.Lock()
	peer.pendingSuspects.all = true
	f.mutex.Unlock()
	f.sendSuspects(link, &peer.pendingSuspects)
	for {
		select {
		case <-link.Closed():
			return
		case <-peer.ordersChanged:
			f.sendOrders(link)
		case <-peer.pendingSuspects.wake:
			f.sendSuspects(link, &peer.pendingSuspects)
		case <-peer.pendingRollouts.wake:
			f.sendRollouts(link, &peer.pendingRollouts)
		}
	}
}

// send sends a frame on a link. An error of the connection is dropped, because link.Closed reports the end, and
// everything sent here is sent again when the next link opens. A frame that cannot be encoded is logged: nothing
// else shows that the other daemon lacks its content.
func (f *Fleet) send(link callmux.Link, frame *lapisv1.CallFrame) {
	if err := link.Send(frame); result.Is(err, result.ProtocolBadFrame) {
		f.config.Logger.Error(err, "fleet.frame_unencodable", "kind", fmt.Sprintf("%T", frame.GetBody()))
	}
}

// recordLost records that a link to a peer ended. It ignores a link that has been replaced, which
// happens when the peer was dropped and chosen again before that link ended.
func (f *Fleet) recordLost(peer *peer, link callmux.Link) {
	f.mutex.Lock()
	if peer.link != link {
		f.mutex.Unlock()
		return
	}
	peer.connected = false
	peer.lostAt = boottime.Now()
	peer.lastLink.endedAt, peer.lastLink.ready = peer.lostAt, readyInstances(peer.announcement)
	peer.applyListedMember()
	f.allowanceLost(peer.name)
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.lost", "member", peer.name)
	f.notifyUnlinked(peer.name)
	signal(f.reportDue)
	signal(f.reviewLinks)
}

// receiveOutbound handles a frame received on an outbound link. The first frames may arrive before the
// link is recorded in peer.
func (f *Fleet) receiveOutbound(peer *peer, generation uint64, link callmux.Link, frame *lapisv1.CallFrame) {
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Announcement:
		f.recordAnnouncement(peer, generation, body.Announcement)
	case *lapisv1.CallFrame_Introduction:
		f.recordIntroduction(body.Introduction, peer.name, link)
	case *lapisv1.CallFrame_Departures:
		f.receiveDepartures(peer.name, body.Departures)
	case *lapisv1.CallFrame_Configuration:
		f.receiveConfiguration(peer, body.Configuration)
	case *lapisv1.CallFrame_DeflatedConfiguration:
		f.receiveDeflatedConfiguration(peer, body.DeflatedConfiguration)
	case *lapisv1.CallFrame_Orders:
		f.receiveOrders(peer.name, body.Orders)
	case *lapisv1.CallFrame_Suspects:
		f.receiveSuspects(peer.name, body.Suspects)
	case *lapisv1.CallFrame_AllowanceGrant:
		f.receiveAllowanceGrant(peer.name, body.AllowanceGrant)
	case *lapisv1.CallFrame_RolloutWord, *lapisv1.CallFrame_RolloutReport:
		f.receiveRollout(peer.name, frame)
	}
}

// maintainLinks keeps links to the chosen daemons until ctx ends.
func (f *Fleet) maintainLinks(ctx context.Context) {
	ticker := time.NewTicker(maxReviewInterval)
	defer ticker.Stop()
	for {
		f.reconcileLinks(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.reviewLinks:
		case <-ticker.C:
		}
	}
}

// reconcileLinks starts a goroutine for each chosen daemon that has none. It stops the goroutine of
// a daemon that is no longer chosen once no call uses its link.
func (f *Fleet) reconcileLinks(ctx context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	candidates := f.candidates(boottime.Now())
	chosen := chooseLinks(f.config.Self, candidates)
	f.addFirstRanked(chosen, candidates)
	f.addAllowanceOwners(chosen)
	for node, peer := range f.peers {
		// ActiveCalls is only called for daemons that are not chosen, where its result matters.
		idle := !chosen[node] && (!peer.connected || peer.link.ActiveCalls() == 0)
		switch decideLinkAction(chosen[node], peer.stopMaintaining != nil, idle) {
		case startLink:
			linkCtx, stop := context.WithCancel(ctx)
			peer.stopMaintaining = stop
			peer.maintainedSince = boottime.Now()
			f.running.Go(func() { f.maintain(linkCtx, peer) })
		case endLink:
			peer.stopMaintaining()
			peer.stopMaintaining = nil
		case keepLink:
		}
	}
}

// candidates returns the daemons that may be linked to: all known daemons except the displaced ones,
// at whose addresses another daemon was found in the last displacedRetryInterval. The caller holds
// mutex.
func (f *Fleet) candidates(now time.Time) []candidate {
	candidates := make([]candidate, 0, len(f.peers))
	for _, peer := range f.peers {
		if !peer.isDisplaced(now) {
			candidates = append(candidates, candidate{
				Member: peer.Member, unreachable: peer.unreachable(now), evacuated: f.evacuated(peer.Zone),
			})
		}
	}
	return candidates
}
