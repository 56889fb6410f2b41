package tree

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/endpoint"
	"github.com/lapisvane/lapisvane/internal/holdings"
	"github.com/lapisvane/lapisvane/internal/joining"
	"github.com/lapisvane/lapisvane/internal/result"
	"github.com/lapisvane/lapisvane/internal/wire"
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
	verdict := joining.Decide(n.asParent(), joining.Candidate{
		Node: session.node, Zone: session.zone, Depth: int(hello.GetSubtreeDepth()), Known: n.children[session.node] != nil,
		Redirected: hello.GetRedirected(), Refusals: int(hello.GetRefusals()),
	})
	if verdict == joining.Accept && n.joins.Allow() {
		return nil
	}
	retry := refusalRetry + rand.N(refusalRetry)
	refusal := &lapisv1.Refusal{Code: uint32(result.DistributionParentFull), RetryAfterMillis: uint32(retry.Milliseconds())}
	switch verdict {
	case joining.Detached:
		refusal.Code, refusal.Reason = uint32(result.DistributionDetached), "no way to a reader"
		refusal.RetryAfterMillis = uint32(detachedRetry.Milliseconds())
	case joining.Loop:
		refusal.Code, refusal.Reason = uint32(result.DistributionLoop), "the asking node is above"
	case joining.TooDeep:
		refusal.Code = uint32(result.DistributionTooDeep)
		refusal.Reason, refusal.Candidates = "the tree would be too deep", n.ownReaders()
	case joining.ToAReader:
		refusal.Reason, refusal.Candidates = "a node of another zone goes to a reader", n.knownReaders()
	case joining.ReadersFirst:
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
func (n *Node) asParent() joining.Parent {
	return joining.Parent{
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
	var children []joining.Child
	for _, child := range n.children {
		if child.address != "" {
			sessions = append(sessions, child)
			children = append(children, joining.Child{Node: child.node, Zone: child.zone, Expected: child.expected})
		}
	}
	var peers []*lapisv1.PeerAddress
	for position, index := range joining.Redirects(children, joiner.zone, joiner.node, maxRedirects) {
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
		if !sleepFor(ctx, pending.pause) {
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

func sleepFor(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
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
	now := time.Now()
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

// lostEndpoint is an endpoint whose daemon may be gone.
type lostEndpoint struct {
	key                   endpoint.Key
	incarnation, sequence uint64
}

// suspectLater marks what came through a lost child as suspect unless its
// daemon is heard of again in time; the caller holds mutex.
func (n *Node) suspectLater(child string) {
	var lost []lostEndpoint
	for _, key := range n.registry.LostVia(child) {
		if statement, ok := n.registry.Get(key); ok {
			lost = append(lost, lostEndpoint{key, statement.GetIncarnation(), statement.GetSequence()})
		}
	}
	if len(lost) == 0 {
		return
	}
	time.AfterFunc(n.config.Tunables.SuspectAfter.Get(), func() {
		n.mutex.Lock()
		defer n.mutex.Unlock()
		n.suspectNow(lost)
	})
}
