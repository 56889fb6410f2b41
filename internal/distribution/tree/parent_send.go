package tree

import (
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
)

// pendingForParent returns the frames that the parent lacks. Status reports are
// sent at ticks only, and a heartbeat at a tick when nothing else was sent for the
// time of one.
func (n *Node) pendingForParent(link *parentLink, occasion sendOccasion) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if link.sentVersion != n.requestedVersion || link.resync {
		frames = append(frames, n.subscriptionFor(link))
	}
	if link.floorRequestDue {
		link.floorRequestDue = false
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorRequest{FloorRequest: &lapisv1.FloorRequest{}}})
	}
	frames = n.appendOwnEndpoints(frames, &link.sentChange)
	if !occasion.tick {
		return frames
	}
	if report := n.report(); !proto.Equal(report, link.sentReport) {
		link.sentReport = report
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Status{Status: report}})
	}
	if len(frames) == 0 && occasion.silent >= n.config.heartbeat() {
		frames = append(frames, heartbeatFrame(&lapisv1.Heartbeat{}))
	}
	return frames
}

// subscriptionFor returns the frame that makes the interest that the parent knows
// the present one; the caller holds mutex.
func (n *Node) subscriptionFor(link *parentLink) *lapisv1.ControlFrame {
	if link.resync {
		n.requestedVersion++
		n.pendingInterests[n.requestedVersion] = n.requested
	}
	subscription := holdings.Difference(link.sentInterest, n.requested, n.requestedVersion)
	subscription.Resync = link.resync
	link.resync = false
	link.sentInterest = n.requested
	link.sentVersion = n.requestedVersion
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Subscription{Subscription: subscription}}
}

// appendOwnEndpoints adds the endpoints of this node and its subtree that changed
// after sentChange and may be sent, and advances sentChange; the caller holds
// mutex.
func (n *Node) appendOwnEndpoints(frames []proto.Message, sentChange *uint64) []proto.Message {
	if n.flushed <= *sentChange {
		return frames
	}
	endpoints := n.registry.BelowSince(n.config.Node, *sentChange)
	*sentChange = n.flushed
	if len(endpoints) == 0 {
		return frames
	}
	return append(frames, endpointsFrame(&lapisv1.EndpointBatch{Endpoints: endpoints}))
}
