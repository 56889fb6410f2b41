package tree

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// pendingForChild computes what the child lacks. A heartbeat is added when the path
// changed, and at a tick when nothing was sent since the one before.
func (n *Node) pendingForChild(session *childSession, occasion sendOccasion) outgoing {
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
		pending.frames = append(pending.frames, endpointsFrame(batch))
	}
	if session.offer != nil {
		pending.frames = append(pending.frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_SeatOffer{SeatOffer: session.offer}})
		session.offer = nil
	}
	if session.pathDirty || (occasion.idle && len(pending.frames) == 0) {
		pending.frames = append(pending.frames, n.heartbeatFor(session))
	}
	return pending
}

// expulsion returns the frame that makes a child join another parent; the caller holds mutex.
func (n *Node) expulsion(session *childSession) *lapisv1.ControlFrame {
	refusal := &lapisv1.Refusal{
		Code: uint32(result.DistributionDetached), Reason: "the parent is leaving",
		Candidates: n.alternatives(session.node),
	}
	if len(session.homeReaders) > 0 {
		refusal.Reason = "the child's zone has a reader again"
		refusal.Candidates = session.homeReaders
	}
	return refusalFrame(refusal)
}

// heartbeatFor returns a heartbeat, with the path when it changed; the caller holds mutex.
func (n *Node) heartbeatFor(session *childSession) *lapisv1.ControlFrame {
	heartbeat := &lapisv1.Heartbeat{Detached: len(n.path) == 0, HeadRevision: n.holdings.Revision()}
	if session.pathDirty {
		heartbeat.Path = n.path
		heartbeat.Readers = n.knownReaders()
	}
	session.pathDirty = false
	return heartbeatFrame(heartbeat)
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
	return update
}

// paceUpdate returns how long a large update must wait, so that many children that join together
// do not take the node's whole bandwidth. Small updates, which are not worth compressing either,
// pass at once. An update larger than the bucket takes all of it.
func (n *Node) paceUpdate(size int) time.Duration {
	if size < wire.CompressAboveBytes {
		return 0
	}
	now := boottime.Now()
	return n.catchUp.ReserveN(now, min(size, n.catchUp.Burst())).DelayFrom(now)
}

// endpointsFor returns the endpoint changes the child lacks; the caller holds mutex.
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
