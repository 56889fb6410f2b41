package tree

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

func (n *Node) handleFromParent(link *parentLink, frame *lapisv1.ControlFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Update:
		n.handleUpdate(link, body.Update)
	case *lapisv1.ControlFrame_Endpoints:
		n.mergeEndpoints(body.Endpoints.GetEndpoints(), "")
		n.dropUnknownEndpoints(body.Endpoints)
	case *lapisv1.ControlFrame_FloorReply:
		n.answerFloor(body.FloorReply)
	case *lapisv1.ControlFrame_Heartbeat:
		return n.handleHeartbeat(link, body.Heartbeat)
	case *lapisv1.ControlFrame_SeatOffer:
		return n.handleOffer(body.SeatOffer)
	case *lapisv1.ControlFrame_Refusal:
		n.candidates.Redirect(body.Refusal.GetCandidates(), boottime.Now())
		return result.Errorf(result.DistributionParentLost, "parent %s: %s", link.node, body.Refusal.GetReason())
	default:
		return result.Errorf(result.ProtocolUnexpected, "frame %T from the parent", body)
	}
	return nil
}

// handleUpdate applies an update and requests the full state when that fails; the caller holds
// mutex.
func (n *Node) handleUpdate(link *parentLink, update *lapisv1.Update) {
	interest, known := n.interestOf(update.GetSubscriptionVersion())
	if !known {
		n.resync(link, result.Errorf(result.DistributionWrongBase, "subscription version %d is unknown", update.GetSubscriptionVersion()))
		return
	}
	err := n.holdings.Apply(update, interest)
	switch {
	case err == nil:
		n.coverSubscription(update.GetSubscriptionVersion())
		n.publish()
		n.wakeChildren()
	case result.Is(err, result.DistributionBelowFloor):
		n.config.Logger.Info("tree.update_ignored", "error", err)
	default:
		n.resync(link, err)
	}
}

// resync records an update that could not be applied and requests the full state from the parent;
// the caller holds mutex.
func (n *Node) resync(link *parentLink, cause error) {
	// An error without a code is reported as code 0, which means no refusal.
	code, _ := result.CodeOf(cause)
	n.counts.resyncs++
	n.lastRefusal = &lapisv1.NodeStatus{RefusalCode: uint32(code), RefusedRevision: n.holdings.Revision() + 1}
	n.config.Logger.Info("tree.version_refused", "parent", link.node, "error", cause)
	link.resync = true
	link.signal()
}

// handleHeartbeat updates the path from the parent's heartbeat; the caller holds mutex.
func (n *Node) handleHeartbeat(link *parentLink, heartbeat *lapisv1.Heartbeat) error {
	if heartbeat.GetDetached() {
		return n.handleDetached(link)
	}
	if err := fireLink(link.stateMachine, linkRejoined); err != nil {
		return err
	}
	path := heartbeat.GetPath()
	if len(path) == 0 {
		return nil
	}
	if slices.Contains(path, n.config.Node) {
		return result.Errorf(result.DistributionLoop, "parent %s has become a descendant of this node", link.node)
	}
	n.learnReaders(heartbeat.GetReaders())
	n.setPath(append(slices.Clone(path), n.config.Node))
	return nil
}

// handleDetached keeps a parent that lost its path to a reader for DetachedGrace, because the
// parent may find a new path in that time; the caller holds mutex.
func (n *Node) handleDetached(link *parentLink) error {
	if link.stateMachine.MustState() == linkAttached {
		n.setPath(nil)
		time.AfterFunc(n.config.Tunables.DetachedGrace.Get(), func() { n.disconnectStranded(link) })
	}
	return fireLink(link.stateMachine, linkDetached)
}

// disconnectStranded closes the link when the parent still has no path to a reader.
func (n *Node) disconnectStranded(link *parentLink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.parent == link && link.stateMachine.MustState() == linkStranded {
		n.candidates.RetryAfter(link.address, n.config.Tunables.DetachedGrace.Get(), boottime.Now())
		link.close()
	}
}

// handleOffer ends the link, by returning an error, in order to take the offered seat; the caller
// holds mutex.
func (n *Node) handleOffer(offer *lapisv1.SeatOffer) error {
	if n.config.NoSeat || n.stopping {
		return nil
	}
	n.offered = &seat.Vacancy{Seat: offer.GetSeat(), Version: offer.GetVersion(), Epoch: offer.GetEpoch()}
	return result.Errorf(result.DistributionParentLost, "offered seat %s", offer.GetSeat())
}

// pendingParentFrames returns the frames that the parent has not been sent yet. Status reports are
// sent at ticks only. A heartbeat is added at a tick when nothing was sent for a heartbeat
// interval.
func (n *Node) pendingParentFrames(link *parentLink, event sendEvent) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if link.sentVersion != n.requestedVersion || link.resync {
		frames = append(frames, n.pendingSubscription(link))
	}
	if link.floorRequestDue {
		link.floorRequestDue = false
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorRequest{FloorRequest: &lapisv1.FloorRequest{}}})
	}
	frames = n.appendOwnEndpoints(frames, &link.sentChange)
	if !event.tick {
		return frames
	}
	if report := n.report(); !proto.Equal(report, link.sentReport) {
		link.sentReport = report
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Status{Status: report}})
	}
	if len(frames) == 0 && event.sinceLastSend >= n.config.heartbeat() {
		frames = append(frames, heartbeatFrame(&lapisv1.Heartbeat{}))
	}
	return frames
}

// pendingSubscription returns the subscription that updates the interest known to the parent; the
// caller holds mutex.
func (n *Node) pendingSubscription(link *parentLink) *lapisv1.ControlFrame {
	if link.resync {
		n.requestedVersion++
		n.pendingInterests[n.requestedVersion] = n.requestedInterest
	}
	subscription := holdings.Difference(link.sentInterest, n.requestedInterest, n.requestedVersion)
	subscription.Resync = link.resync
	link.resync = false
	link.sentInterest = n.requestedInterest
	link.sentVersion = n.requestedVersion
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Subscription{Subscription: subscription}}
}

// appendOwnEndpoints appends the flushed endpoints of this node and its subtree that changed after
// sentChange, and advances sentChange; the caller holds mutex.
func (n *Node) appendOwnEndpoints(frames []proto.Message, sentChange *uint64) []proto.Message {
	if n.flushedChange <= *sentChange {
		return frames
	}
	endpoints := n.registry.SubtreeSince(n.config.Node, *sentChange)
	*sentChange = n.flushedChange
	if len(endpoints) == 0 {
		return frames
	}
	return append(frames, endpointsFrame(&lapisv1.EndpointBatch{Endpoints: endpoints}))
}
