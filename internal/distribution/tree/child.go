package tree

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Bounds of a child link.
const (
	sendTimeout = 5 * time.Second
	// maxRedirects bounds the candidates named in a refusal or welcome.
	maxRedirects = 4
	// refusalRetry is when a refused child should come back.
	refusalRetry = 300 * time.Millisecond
	// detachedRetry is when to ask again a node that lost its own way.
	detachedRetry = 500 * time.Millisecond
)

// childSession is one child of this node. Node.mutex protects its fields.
type childSession struct {
	node    string
	address string
	zone    string
	// noSeat is true when the child must not become a reader.
	noSeat bool
	conn   *wire.Conn
	cancel context.CancelFunc
	wake   chan struct{}

	// interest is what the child subscribed to under subscriptionVersion;
	// added is the part that it does not hold yet.
	interest            holdings.Interest
	subscriptionVersion uint64
	added               holdings.Interest
	subscriptionDirty   bool
	// sentRevision is the revision the child has after all updates sent.
	sentRevision uint64
	// fresh services need their complete endpoint set.
	fresh      holdings.Interest
	sentChange uint64
	pathDirty  bool
	expel      bool
	// goHome names where an expelled child of another zone should go.
	goHome       []*lapisv1.PeerAddress
	offer        *lapisv1.SeatOffer
	floorReplies []*lapisv1.FloorReply
	report       *lapisv1.StatusReport
	// expected is the size of the subtree, raised by redirects to it.
	expected uint32
}

func (s *childSession) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *childSession) close() {
	s.cancel()
	_ = s.conn.Close()
}

// ServeChild serves a connection whose Hello asked to become a child. It
// returns when the connection ends.
func (n *Node) ServeChild(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session := &childSession{
		node: hello.GetNode(), address: hello.GetAddress(), zone: hello.GetZone(), noSeat: hello.GetNoSeat(),
		conn: conn, cancel: cancel, wake: make(chan struct{}, 1),
		interest:            holdings.FromSubscription(hello.GetSubscription()),
		subscriptionVersion: hello.GetSubscription().GetVersion(),
		subscriptionDirty:   true,
		sentRevision:        hello.GetAppliedRevision(),
		expected:            max(hello.GetSubtreeNodes(), 1),
	}
	session.fresh = session.interest
	refusal, welcome := n.admit(session, hello)
	if refusal != nil {
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		return conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: refusal}})
	}
	defer n.dropChild(session)
	if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: welcome}}); err != nil {
		return err
	}
	go n.sendToChild(ctx, session)
	return n.receiveFromChild(session)
}

// admit decides on a Hello and registers the session when it is accepted.
func (n *Node) admit(session *childSession, hello *lapisv1.Hello) (*lapisv1.Refusal, *lapisv1.Welcome) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if refusal := n.refuseChild(session, hello); refusal != nil {
		n.counts.joinsRefused++
		return refusal, nil
	}
	if previous, ok := n.children[session.node]; ok {
		previous.close()
	}
	n.children[session.node] = session
	n.counts.joinsServed++
	n.widen(session.interest)
	session.signal()
	return nil, &lapisv1.Welcome{
		Node: n.config.Node, Incarnation: n.config.Incarnation,
		Path: n.path, Alternatives: n.alternatives(session.node), Readers: n.knownReaders(),
	}
}

// refuseChild returns the reason not to accept a child, nil when it is
// accepted; the caller holds mutex.
func (n *Node) refuseChild(session *childSession, hello *lapisv1.Hello) *lapisv1.Refusal {
	verdict := membership.DecideJoin(n.asParent(), membership.Joiner{
		Node: session.node, Zone: session.zone, Depth: int(hello.GetSubtreeDepth()), Known: n.children[session.node] != nil,
		Redirected: hello.GetRedirected(), Refusals: int(hello.GetRefusals()),
	})
	if verdict == membership.Accept && n.joins.Allow() {
		return nil
	}
	retry := refusalRetry + rand.N(refusalRetry)
	refusal := &lapisv1.Refusal{Code: uint32(result.DistributionParentFull), RetryAfterMillis: uint32(retry.Milliseconds())}
	switch verdict {
	case membership.Detached:
		refusal.Code, refusal.Reason = uint32(result.DistributionDetached), "no way to a reader"
		refusal.RetryAfterMillis = uint32(detachedRetry.Milliseconds())
	case membership.Loop:
		refusal.Code, refusal.Reason = uint32(result.DistributionLoop), "the asking node is above"
	case membership.TooDeep:
		refusal.Code = uint32(result.DistributionTooDeep)
		refusal.Reason, refusal.Candidates = "the tree would be too deep", n.ownReaders()
	case membership.ToAReader:
		refusal.Reason, refusal.Candidates = "a node of another zone goes to a reader", n.knownReaders()
	case membership.ReadersFirst:
		refusal.Reason, refusal.Candidates = "ask the readers first", n.ownReaders()
	default:
		refusal.Reason, refusal.Candidates = "enough children or too many joins at once", n.redirects(session)
	}
	return refusal
}

// shedDeepChildren lets go of the children that have children of their own, so
// that this node fits under a parent again; they join anew from the top. The
// caller holds mutex.
func (n *Node) shedDeepChildren() {
	for _, child := range n.children {
		if child.report.GetDepth() > 0 {
			child.expel = true
			child.signal()
		}
	}
}

// asParent returns what decides about this node as a parent; the caller holds
// mutex.
func (n *Node) asParent() membership.Parent {
	return membership.Parent{
		Node: n.config.Node, Zone: n.config.Zone, Reader: n.reader, Stopping: n.stopping, Path: n.path,
		Children: len(n.children), KnowsReaders: len(n.ownReaders()) > 0,
		Fanout: n.config.Tunables.Fanout, MaxDepth: n.config.Tunables.MaxDepth,
	}
}

// redirects names the children with the smallest subtrees and counts the
// joining subtree towards the first of them, so that a burst is spread; the
// caller holds mutex.
func (n *Node) redirects(joiner *childSession) []*lapisv1.PeerAddress {
	var sessions []*childSession
	var children []membership.Child
	for _, child := range n.children {
		if child.address != "" {
			sessions = append(sessions, child)
			children = append(children, membership.Child{Node: child.node, Zone: child.zone, Expected: child.expected})
		}
	}
	var peers []*lapisv1.PeerAddress
	for position, index := range membership.Redirects(children, joiner.zone, joiner.node, maxRedirects) {
		child := sessions[index]
		if position == 0 {
			child.expected += joiner.expected
		}
		peers = append(peers, &lapisv1.PeerAddress{Node: child.node, Address: child.address, Zone: child.zone, Region: n.config.Region})
	}
	return peers
}

// alternatives names daemons that may serve a child later: the readers of the
// zone and some of the other children; the caller holds mutex.
func (n *Node) alternatives(except string) []*lapisv1.PeerAddress {
	var peers []*lapisv1.PeerAddress
	for _, holder := range n.knownReaders() {
		if len(peers) < maxRedirects && holder.GetNode() != except {
			peers = append(peers, holder)
		}
	}
	for _, child := range n.children {
		if len(peers) >= 2*maxRedirects {
			break
		}
		if child.node != except && child.address != "" {
			peers = append(peers, &lapisv1.PeerAddress{Node: child.node, Address: child.address, Zone: child.zone, Region: n.config.Region})
		}
	}
	return peers
}

// dropChild removes a session and starts to suspect what came through it.
func (n *Node) dropChild(session *childSession) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	session.close()
	if n.children[session.node] != session {
		return
	}
	delete(n.children, session.node)
	n.suspectLater(session.node)
}

func (n *Node) receiveFromChild(session *childSession) error {
	for {
		_ = session.conn.SetReadDeadline(time.Now().Add(n.config.Tunables.LinkSilence.Get()))
		frame, err := receive(session.conn)
		if err != nil {
			return err
		}
		if err := n.handleFromChild(session, frame); err != nil {
			return err
		}
	}
}

// receive reads the next frame and decompresses it.
func receive(conn *wire.Conn) (*lapisv1.ControlFrame, error) {
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, err
	}
	return wire.Decompress(frame)
}

func (n *Node) handleFromChild(session *childSession, frame *lapisv1.ControlFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Subscription:
		n.resubscribe(session, body.Subscription)
	case *lapisv1.ControlFrame_Status:
		session.report = body.Status
		session.expected = max(body.Status.GetNodes(), 1)
	case *lapisv1.ControlFrame_Endpoints:
		n.mergeEndpoints(body.Endpoints.GetEndpoints(), session.node)
	case *lapisv1.ControlFrame_FloorRequest:
		n.askFloorFor(session, body.FloorRequest.GetId())
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
	session.added = session.added.Union(added)
	session.fresh = session.fresh.Union(added)
	if subscription.GetResync() {
		session.sentRevision = 0
	}
	n.widen(session.interest)
	session.signal()
}
