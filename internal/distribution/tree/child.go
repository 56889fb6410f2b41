package tree

import (
	"context"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// childSession is the state of the connection from one child. Node.mutex protects its fields.
type childSession struct {
	peerLink
	node    string
	address string
	zone    string
	// noSeat is true when the child must not become a reader.
	noSeat bool

	// interest is the interest that the child subscribed to with subscriptionVersion; addedInterest
	// is the part whose bundles the child does not hold yet.
	interest            holdings.Interest
	subscriptionVersion uint64
	addedInterest       holdings.Interest
	// subscriptionDirty is true until an update reflects subscriptionVersion.
	subscriptionDirty bool
	// sentRevision is the revision that the child holds once it has applied all updates sent.
	sentRevision uint64
	// pendingComplete is the set of services whose complete endpoint set must still be sent.
	pendingComplete holdings.Interest
	// sentChange is the registry change number up to which endpoints were sent.
	sentChange uint64
	// pathDirty is true when the path and the readers must be sent to the child again.
	pathDirty bool
	// evict is true when the child must join another parent.
	evict bool
	// homeZoneReaders are the readers of the child's own zone, to which an evicted child of another
	// zone is redirected.
	homeZoneReaders []*lapisv1.PeerAddress
	offer           *lapisv1.SeatOffer
	floorReplies    []*lapisv1.FloorReply
	// report is the child's last status report, nil before the first.
	report *lapisv1.StatusReport
	// expectedNodes is the number of nodes in the child's subtree, including nodes that were
	// redirected to the child since its last report.
	expectedNodes uint32
}

func newChildSession(common peerLink, hello *lapisv1.Hello) *childSession {
	interest := holdings.FromSubscription(hello.GetSubscription())
	return &childSession{
		peerLink: common,
		node:     hello.GetNode(), address: hello.GetAddress(), zone: hello.GetZone(), noSeat: hello.GetNoSeat(),
		interest: interest, pendingComplete: interest,
		subscriptionVersion: hello.GetSubscription().GetVersion(),
		subscriptionDirty:   true,
		sentRevision:        hello.GetAppliedRevision(),
		expectedNodes:       max(hello.GetSubtreeNodes(), 1),
	}
}

// ServeChild serves a connection whose Hello requests to become a child. It returns when the
// connection ends.
func (n *Node) ServeChild(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	ctx, common := newPeerLink(ctx)
	defer common.close()
	session := newChildSession(common, hello)
	refusal, welcome := n.admit(session, hello)
	if refusal != nil {
		return sendWithin(conn, sendTimeout, refusalFrame(refusal))
	}
	defer n.dropChild(session)
	stop := closeWith(ctx, conn)
	defer stop()
	if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: welcome}}); err != nil {
		return err
	}
	return n.exchange(ctx, common, conn, linkProtocol{
		interval: n.config.heartbeat(),
		next:     func(event sendEvent) outgoing { return n.pendingChildFrames(session, event) },
		handle:   func(frame *lapisv1.ControlFrame) error { return n.handleFromChild(session, frame) },
	})
}

// dropChild removes a session and schedules the suspicion of the endpoints received through it.
func (n *Node) dropChild(session *childSession) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	session.close()
	if n.children[session.node] != session {
		return
	}
	delete(n.children, session.node)
	n.scheduleSuspicion(session.node)
}

func (n *Node) handleFromChild(session *childSession, frame *lapisv1.ControlFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Subscription:
		n.resubscribe(session, body.Subscription)
	case *lapisv1.ControlFrame_Status:
		session.report = body.Status
		session.expectedNodes = max(body.Status.GetNodes(), 1)
	case *lapisv1.ControlFrame_Endpoints:
		n.mergeEndpoints(body.Endpoints.GetEndpoints(), session.node)
	case *lapisv1.ControlFrame_FloorRequest:
		n.requestChildFloor(session, body.FloorRequest.GetId())
	case *lapisv1.ControlFrame_Heartbeat:
	default:
		return result.Errorf(result.ProtocolUnexpected, "frame %T from a child", body)
	}
	return nil
}

// resubscribe replaces a child's interest; the caller holds mutex.
func (n *Node) resubscribe(session *childSession, subscription *lapisv1.Subscription) {
	previous := session.interest
	session.interest = holdings.Amend(previous, subscription)
	session.subscriptionVersion = subscription.GetVersion()
	session.subscriptionDirty = true
	added := session.interest.Minus(previous)
	session.addedInterest = session.addedInterest.Union(added)
	session.pendingComplete = session.pendingComplete.Union(added)
	if subscription.GetResync() {
		session.sentRevision = 0
	}
	n.widenInterest(session.interest)
	session.signal()
}
