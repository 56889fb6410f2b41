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

// pendingChildFrames returns the frames that the child has not been sent yet. A heartbeat is added
// when the path changed, and at a tick when nothing was sent since the previous tick.
func (n *Node) pendingChildFrames(session *childSession, event sendEvent) outgoing {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if session.evict {
		return outgoing{frames: []proto.Message{n.evictionFrame(session)}, closeAfter: true}
	}
	var pending outgoing
	for _, reply := range session.floorReplies {
		pending.frames = append(pending.frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorReply{FloorReply: reply}})
	}
	session.floorReplies = nil
	if update := n.pendingUpdate(session); update != nil {
		frame := wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Update{Update: update}})
		pending.frames = append(pending.frames, frame)
		pending.delay = n.paceUpdate(proto.Size(frame))
	}
	if batch := n.pendingEndpoints(session); batch != nil {
		pending.frames = append(pending.frames, endpointsFrame(batch))
	}
	if session.offer != nil {
		pending.frames = append(pending.frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_SeatOffer{SeatOffer: session.offer}})
		session.offer = nil
	}
	if session.pathDirty || (event.idle && len(pending.frames) == 0) {
		pending.frames = append(pending.frames, n.pendingHeartbeat(session))
	}
	return pending
}

// evictionFrame returns the frame that makes a child join another parent; the caller holds mutex.
func (n *Node) evictionFrame(session *childSession) *lapisv1.ControlFrame {
	refusal := &lapisv1.Refusal{
		Code: uint32(result.DistributionDetached), Reason: "the parent is leaving",
		Candidates: n.alternativeParents(session.node),
	}
	if len(session.homeZoneReaders) > 0 {
		refusal.Reason = "the child's zone has a reader again"
		refusal.Candidates = session.homeZoneReaders
	}
	return refusalFrame(refusal)
}

// pendingHeartbeat returns a heartbeat, including the path when it changed; the caller holds mutex.
func (n *Node) pendingHeartbeat(session *childSession) *lapisv1.ControlFrame {
	heartbeat := &lapisv1.Heartbeat{Detached: len(n.path) == 0, HeadRevision: n.holdings.Revision()}
	if session.pathDirty {
		heartbeat.Path = n.path
		heartbeat.Readers = n.knownReaders()
	}
	session.pathDirty = false
	return heartbeatFrame(heartbeat)
}

// pendingUpdate returns the update to send to the child, nil when the child is up to date or the
// holdings do not cover its interest yet; the caller holds mutex.
func (n *Node) pendingUpdate(session *childSession) *lapisv1.Update {
	behind := session.sentRevision < n.holdings.Revision()
	if n.holdings.Revision() == 0 || (!behind && !session.subscriptionDirty) {
		return nil
	}
	update := n.holdings.Delta(session.interest, session.addedInterest, session.sentRevision)
	if update == nil {
		return nil
	}
	update.SubscriptionVersion = session.subscriptionVersion
	session.sentRevision = update.GetToRevision()
	session.addedInterest = holdings.Interest{}
	session.subscriptionDirty = false
	return update
}

// paceUpdate returns the delay of a large update, so that many children that join at the same time
// do not use the whole bandwidth of the node. Updates too small to be compressed are not delayed.
// An update larger than the burst reserves the whole burst.
func (n *Node) paceUpdate(size int) time.Duration {
	if size < wire.MinCompressBytes {
		return 0
	}
	now := boottime.Now()
	return n.catchUpLimiter.ReserveN(now, min(size, n.catchUpLimiter.Burst())).DelayFrom(now)
}

// pendingEndpoints returns the endpoint changes to send to the child; the caller holds mutex.
func (n *Node) pendingEndpoints(session *childSession) *lapisv1.EndpointBatch {
	batch := &lapisv1.EndpointBatch{}
	if !session.pendingComplete.Empty() && n.holdings.Interest().Covers(session.interest) {
		n.addCompleteServices(batch, session)
	}
	if n.flushedChange > session.sentChange {
		n.addChangedEndpoints(batch, session)
		session.sentChange = n.registry.Change()
	}
	if len(batch.Endpoints) == 0 && len(batch.CompleteServices) == 0 {
		return nil
	}
	return batch
}

// addCompleteServices adds all endpoints of the services in pendingComplete; the caller holds
// mutex.
func (n *Node) addCompleteServices(batch *lapisv1.EndpointBatch, session *childSession) {
	services := slices.Sorted(maps.Keys(session.pendingComplete.Services))
	if session.pendingComplete.All {
		services = n.registry.Services()
	}
	for _, service := range services {
		batch.Endpoints = append(batch.Endpoints, n.registry.Service(service)...)
		batch.CompleteServices = append(batch.CompleteServices, service)
	}
	session.pendingComplete = holdings.Interest{}
}

// addChangedEndpoints adds the endpoints in the child's interest that changed after sentChange,
// except those of services that the batch contains in full; the caller holds mutex.
func (n *Node) addChangedEndpoints(batch *lapisv1.EndpointBatch, session *childSession) {
	for _, service := range n.registry.ServicesSince(session.sentChange) {
		if !session.interest.Has(service) || slices.Contains(batch.CompleteServices, service) {
			continue
		}
		batch.Endpoints = append(batch.Endpoints, n.registry.ServiceSince(service, session.sentChange)...)
	}
}
