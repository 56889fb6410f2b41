package tree

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// sendToChild sends what the child lacks until ctx ends.
func (n *Node) sendToChild(ctx context.Context, session *childSession) {
	ticker := time.NewTicker(n.config.heartbeat())
	defer ticker.Stop()
	defer session.close()
	quiet := true
	for {
		due := false
		select {
		case <-ctx.Done():
			return
		case <-session.wake:
		case <-ticker.C:
			due = quiet
			quiet = true
		}
		pending := n.pendingFor(session, due)
		if !sleep.For(ctx, pending.pause) {
			return
		}
		if len(pending.frames) == 0 {
			continue
		}
		quiet = false
		_ = session.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err := session.conn.SendAll(pending.frames...); err != nil || pending.last {
			return
		}
	}
}

// outgoing is what a link sends next.
type outgoing struct {
	frames []proto.Message
	// pause is how long to wait before sending.
	pause time.Duration
	// last is true when the link ends after frames.
	last bool
}

// pendingFor computes what the child lacks. A heartbeat is added when nothing
// else is sent and due is set.
func (n *Node) pendingFor(session *childSession, due bool) outgoing {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if session.expel {
		return outgoing{frames: []proto.Message{n.expulsion(session)}, last: true}
	}
	var pending outgoing
	for _, reply := range session.floorReplies {
		pending.frames = append(pending.frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorReply{FloorReply: reply}})
	}
	session.floorReplies = nil
	if update := n.updateFor(session); update != nil {
		frame := wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Update{Update: update}})
		pending.frames = append(pending.frames, frame)
		pending.pause = n.paceUpdate(proto.Size(frame))
	}
	if batch := n.endpointsFor(session); batch != nil {
		frame := &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Endpoints{Endpoints: batch}}
		pending.frames = append(pending.frames, wire.Compress(frame))
	}
	if session.offer != nil {
		pending.frames = append(pending.frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_SeatOffer{SeatOffer: session.offer}})
		session.offer = nil
	}
	if session.pathDirty || (due && len(pending.frames) == 0) {
		pending.frames = append(pending.frames, n.heartbeatFor(session))
	}
	return pending
}

// expulsion tells a child to look for another parent; the caller holds mutex.
func (n *Node) expulsion(session *childSession) *lapisv1.ControlFrame {
	refusal := &lapisv1.Refusal{
		Code: uint32(result.DistributionDetached), Reason: "the parent is leaving",
		Candidates: n.alternatives(session.node),
	}
	if len(session.goHome) > 0 {
		refusal.Reason = "the child's zone has a reader again"
		refusal.Candidates = session.goHome
	}
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: refusal}}
}

// heartbeatFor returns a heartbeat, with the path when it changed; the caller
// holds mutex.
func (n *Node) heartbeatFor(session *childSession) *lapisv1.ControlFrame {
	heartbeat := &lapisv1.Heartbeat{Detached: len(n.path) == 0, HeadRevision: n.holdings.Revision()}
	if session.pathDirty {
		heartbeat.Path = n.path
		heartbeat.Readers = n.knownReaders()
	}
	session.pathDirty = false
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Heartbeat{Heartbeat: heartbeat}}
}

// updateFor returns the update the child lacks, nil when there is none or the
// holdings do not yet cover its interest; the caller holds mutex.
func (n *Node) updateFor(session *childSession) *lapisv1.Update {
	behind := session.sentRevision < n.holdings.Revision()
	if n.holdings.Revision() == 0 || (!behind && !session.subscriptionDirty) {
		return nil
	}
	update := n.holdings.Delta(session.interest, session.added, session.sentRevision)
	if update == nil {
		return nil
	}
	update.SubscriptionVersion = session.subscriptionVersion
	session.sentRevision = update.GetToRevision()
	session.added = holdings.Interest{}
	session.subscriptionDirty = false
	n.counts.updates++
	if update.GetFull() {
		n.counts.fullUpdates++
	}
	return update
}

// paceUpdate returns how long a large update must wait, so that a herd of
// joining children does not take the node's whole bandwidth.
func (n *Node) paceUpdate(size int) time.Duration {
	if size < wire.CompressAboveBytes {
		return 0
	}
	now := boottime.Now()
	return n.catchUp.ReserveN(now, min(size, n.catchUp.Burst())).DelayFrom(now)
}

// endpointsFor returns the endpoint changes the child lacks; the caller holds
// mutex.
func (n *Node) endpointsFor(session *childSession) *lapisv1.EndpointBatch {
	batch := &lapisv1.EndpointBatch{}
	if !session.fresh.Empty() && n.holdings.Interest().Covers(session.interest) {
		n.addFreshServices(batch, session)
	}
	if n.flushed > session.sentChange {
		n.addChangedServices(batch, session)
		session.sentChange = n.registry.Change()
	}
	if len(batch.Endpoints) == 0 && len(batch.CompleteServices) == 0 {
		return nil
	}
	return batch
}

func (n *Node) addFreshServices(batch *lapisv1.EndpointBatch, session *childSession) {
	services := slices.Sorted(maps.Keys(session.fresh.Services))
	if session.fresh.All {
		services = n.registry.Services()
	}
	for _, service := range services {
		batch.Endpoints = append(batch.Endpoints, n.registry.Service(service)...)
		batch.CompleteServices = append(batch.CompleteServices, service)
	}
	session.fresh = holdings.Interest{}
}

func (n *Node) addChangedServices(batch *lapisv1.EndpointBatch, session *childSession) {
	for _, service := range n.registry.ServicesSince(session.sentChange) {
		if !session.interest.Has(service) || slices.Contains(batch.CompleteServices, service) {
			continue
		}
		batch.Endpoints = append(batch.Endpoints, n.registry.ServiceSince(service, session.sentChange)...)
	}
}
