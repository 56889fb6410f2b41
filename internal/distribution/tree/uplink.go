package tree

import (
	"context"
	"slices"
	"time"

	"github.com/qmuntal/stateless"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// greetingTimeout bounds the wait for the answer to a Hello.
const greetingTimeout = 3 * time.Second

// uplink is the link to the parent. Node.mutex protects its fields.
type uplink struct {
	address string
	// redirected is true when another daemon named this parent.
	redirected bool
	conn       *wire.Conn
	cancel     context.CancelFunc
	wake       chan struct{}
	machine    *stateless.StateMachine

	parent string
	// sentInterest is the interest the parent knows; sentVersion its version.
	sentInterest holdings.Interest
	sentVersion  uint64
	resync       bool
	sentChange   uint64
	sentReport   *lapisv1.StatusReport
	reportDue    bool
	askFloor     bool
}

func (u *uplink) signal() {
	select {
	case u.wake <- struct{}{}:
	default:
	}
}

// runChild is the life of a node that is not a reader. It returns a vacancy
// when the node should take a seat, and found false when ctx ended.
func (n *Node) runChild(ctx context.Context) (vacancy seat.Vacancy, found bool) {
	search := newSearch(n)
	for ctx.Err() == nil {
		if vacancy, found = n.takeOffer(); found {
			return vacancy, true
		}
		choice, ok := n.nextCandidate()
		if !ok {
			vacancy, found = search.askSource(ctx)
			if found {
				return vacancy, true
			}
			continue
		}
		if n.attach(ctx, choice) {
			search.reset()
		}
	}
	return seat.Vacancy{}, false
}

func (n *Node) nextCandidate() (choice membership.Choice, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.candidates.Next(boottime.Now())
}

// takeOffer returns the vacancy that the last parent offered, if any.
func (n *Node) takeOffer() (vacancy seat.Vacancy, found bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	offered := n.offered
	n.offered = nil
	if offered == nil || n.config.NoSeat || n.stopping {
		return seat.Vacancy{}, false
	}
	return *offered, true
}

// attach tries one parent and stays with it until the link ends. It reports
// whether the parent accepted.
func (n *Node) attach(ctx context.Context, choice membership.Choice) bool {
	address := choice.Address
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := n.dial(ctx, address)
	if err != nil {
		n.noteFailure(address)
		return false
	}
	link := &uplink{
		address: address, conn: conn, cancel: cancel,
		wake: make(chan struct{}, 1), machine: newLinkMachine(), redirected: choice.Redirected,
	}
	defer func() { _ = link.conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = link.conn.Close() })
	defer stop()
	accepted, err := n.greet(link)
	if err != nil || !accepted {
		if err != nil {
			n.noteFailure(address)
		}
		return false
	}
	defer n.detach(link)
	go n.sendToParent(ctx, link)
	err = n.receiveFromParent(link)
	n.config.Logger.V(1).Info("tree.parent_lost", "parent", link.parent, "cause", err)
	return true
}

// dial opens a connection to another daemon and sends the preface; the hello
// must follow within greetingTimeout.
func (n *Node) dial(ctx context.Context, address string) (*wire.Conn, error) {
	raw, err := n.config.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := wire.NewConn(raw, n.config.Counters)
	_ = conn.SetWriteDeadline(time.Now().Add(greetingTimeout))
	if err := conn.WritePreface(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

func (n *Node) noteFailure(address string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Failed(address, boottime.Now())
}

// greet sends the Hello and handles the answer.
func (n *Node) greet(link *uplink) (accepted bool, err error) {
	if err := fireLink(link.machine, linkDialed); err != nil {
		return false, err
	}
	if err := link.conn.Send(n.hello(link)); err != nil {
		return false, err
	}
	_ = link.conn.SetReadDeadline(time.Now().Add(greetingTimeout))
	frame, err := receive(link.conn)
	if err != nil {
		return false, err
	}
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Welcome:
		return n.welcomed(link, body.Welcome)
	case *lapisv1.ControlFrame_Refusal:
		n.refused(link, body.Refusal)
		return false, nil
	default:
		return false, result.Errorf(result.ProtocolUnexpected, "frame %T in answer to a hello", body)
	}
}

func (n *Node) hello(link *uplink) *lapisv1.ControlFrame {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report := n.report()
	link.sentInterest = n.holdings.Interest()
	link.sentVersion = n.coveredVersion
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: &lapisv1.Hello{
		ProtocolVersion: wire.ProtocolVersion,
		Node:            n.config.Node, Incarnation: n.config.Incarnation,
		Zone: n.config.Zone, Region: n.config.Region, Address: n.config.Address,
		Purpose:         lapisv1.Hello_PURPOSE_CHILD,
		Subscription:    link.sentInterest.Subscription(link.sentVersion),
		AppliedRevision: n.holdings.Revision(),
		SubtreeNodes:    report.GetNodes(), SubtreeDepth: report.GetDepth(),
		NoSeat: n.config.NoSeat, Redirected: link.redirected, Refusals: n.candidates.Refusals(),
	}}}
}

func (n *Node) welcomed(link *uplink, welcome *lapisv1.Welcome) (accepted bool, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Learn(welcome.GetAlternatives(), boottime.Now())
	n.learnReaders(welcome.GetReaders())
	if slices.Contains(welcome.GetPath(), n.config.Node) {
		return false, result.Errorf(result.DistributionLoop, "parent %s hangs below this node", welcome.GetNode())
	}
	if err := fireLink(link.machine, linkWelcomed); err != nil {
		return false, err
	}
	n.candidates.Succeeded(link.address)
	link.parent = welcome.GetNode()
	link.reportDue = true
	n.up = link
	n.counts.joins++
	n.setPath(append(slices.Clone(welcome.GetPath()), n.config.Node))
	n.startFloorRead()
	link.signal()
	return true, nil
}

func (n *Node) refused(link *uplink, refusal *lapisv1.Refusal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.candidates.Redirect(refusal.GetCandidates(), now)
	switch result.Code(refusal.GetCode()) {
	case result.DistributionDetached:
		n.candidates.Detached()
	case result.DistributionTooDeep:
		n.shedDeepChildren()
	}
	wait := time.Duration(refusal.GetRetryAfterMillis()) * time.Millisecond
	n.candidates.Postponed(link.address, wait, now)
}

// detach forgets a lost parent. The path is kept empty until another parent
// accepts, and a floor question under way is asked again then.
func (n *Node) detach(link *uplink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_ = fireLink(link.machine, linkLost)
	if n.up != link {
		return
	}
	n.up = nil
	n.abortFloorRead()
	n.setPath(nil)
}

func (n *Node) receiveFromParent(link *uplink) error {
	for {
		_ = link.conn.SetReadDeadline(time.Now().Add(n.config.Tunables.LinkSilence.Get()))
		frame, err := receive(link.conn)
		if err != nil {
			return err
		}
		if err := n.handleFromParent(link, frame); err != nil {
			return err
		}
	}
}

func (n *Node) handleFromParent(link *uplink, frame *lapisv1.ControlFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Update:
		n.handleUpdate(link, body.Update)
	case *lapisv1.ControlFrame_Endpoints:
		n.mergeEndpoints(body.Endpoints.GetEndpoints(), "")
		n.completeServices(body.Endpoints)
	case *lapisv1.ControlFrame_FloorReply:
		n.answerFloor(body.FloorReply)
	case *lapisv1.ControlFrame_Heartbeat:
		return n.handleHeartbeat(link, body.Heartbeat)
	case *lapisv1.ControlFrame_SeatOffer:
		return n.handleOffer(body.SeatOffer)
	case *lapisv1.ControlFrame_Refusal:
		n.candidates.Redirect(body.Refusal.GetCandidates(), boottime.Now())
		return result.Errorf(result.DistributionParentLost, "parent %s: %s", link.parent, body.Refusal.GetReason())
	default:
		return result.Errorf(result.ProtocolUnexpected, "frame %T from the parent", body)
	}
	return nil
}

// handleUpdate takes in an update; the caller holds mutex.
func (n *Node) handleUpdate(link *uplink, update *lapisv1.Update) {
	interest, known := n.reflectSubscription(update.GetSubscriptionVersion())
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
		link.reportDue = true
	case result.Is(err, result.DistributionBelowFloor):
		n.config.Logger.Info("tree.update_ignored", "error", err)
	default:
		n.resync(link, err)
	}
}

// resync reports a version that could not be taken in and asks for the full
// state; the caller holds mutex.
func (n *Node) resync(link *uplink, cause error) {
	code, _ := result.CodeOf(cause)
	n.counts.resyncs++
	n.refusal = &lapisv1.NodeStatus{RefusalCode: uint32(code), RefusedRevision: n.holdings.Revision() + 1}
	n.config.Logger.Info("tree.version_refused", "parent", link.parent, "error", cause)
	link.resync = true
	link.reportDue = true
	link.signal()
}

// handleHeartbeat follows the parent's path; the caller holds mutex.
func (n *Node) handleHeartbeat(link *uplink, heartbeat *lapisv1.Heartbeat) error {
	if heartbeat.GetDetached() {
		return n.handleDetached(link)
	}
	if err := fireLink(link.machine, linkRejoined); err != nil {
		return err
	}
	path := heartbeat.GetPath()
	if len(path) == 0 {
		return nil
	}
	if slices.Contains(path, n.config.Node) {
		return result.Errorf(result.DistributionLoop, "parent %s now hangs below this node", link.parent)
	}
	n.learnReaders(heartbeat.GetReaders())
	n.setPath(append(slices.Clone(path), n.config.Node))
	return nil
}

// handleDetached waits with a parent that lost its way for DetachedGrace; the
// caller holds mutex.
func (n *Node) handleDetached(link *uplink) error {
	if link.machine.MustState() == linkAttached {
		n.setPath(nil)
		time.AfterFunc(n.config.Tunables.DetachedGrace.Get(), func() { n.leaveStranded(link) })
	}
	return fireLink(link.machine, linkDetached)
}

func (n *Node) leaveStranded(link *uplink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.up == link && link.machine.MustState() == linkStranded {
		n.candidates.Postponed(link.address, n.config.Tunables.DetachedGrace.Get(), boottime.Now())
		link.cancel()
	}
}

// handleOffer ends the link in order to take a seat; the caller holds mutex.
func (n *Node) handleOffer(offer *lapisv1.SeatOffer) error {
	if n.config.NoSeat || n.stopping {
		return nil
	}
	n.offered = &seat.Vacancy{Seat: offer.GetSeat(), Version: offer.GetVersion(), Epoch: offer.GetEpoch()}
	return result.Errorf(result.DistributionParentLost, "offered seat %s", offer.GetSeat())
}

// sendToParent sends what the parent lacks until ctx ends.
func (n *Node) sendToParent(ctx context.Context, link *uplink) {
	ticker := time.NewTicker(n.config.Tunables.StatusInterval.Get())
	defer ticker.Stop()
	defer func() { _ = link.conn.Close() }()
	lastSent := boottime.Now()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-link.wake:
		case <-ticker.C:
			tick = true
		}
		quiet := boottime.Since(lastSent) >= n.config.heartbeat()
		frames := n.pendingForParent(link, tick, quiet)
		if len(frames) == 0 {
			continue
		}
		lastSent = boottime.Now()
		_ = link.conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err := link.conn.SendAll(frames...); err != nil {
			return
		}
	}
}

// pendingForParent computes the frames that the parent lacks. Status reports
// are sent at ticks only.
func (n *Node) pendingForParent(link *uplink, tick, quiet bool) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if link.sentVersion != n.requestedVersion || link.resync {
		frames = append(frames, n.subscriptionFor(link))
	}
	if link.askFloor {
		link.askFloor = false
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorRequest{FloorRequest: &lapisv1.FloorRequest{}}})
	}
	frames = n.appendEndpointsAbove(frames, &link.sentChange)
	if tick {
		report := n.report()
		if !proto.Equal(report, link.sentReport) {
			link.sentReport = report
			frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Status{Status: report}})
		}
	}
	if tick && quiet && len(frames) == 0 {
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Heartbeat{Heartbeat: &lapisv1.Heartbeat{}}})
	}
	return frames
}

// subscriptionFor returns the frame that brings the parent's knowledge of this
// node's interest up to date; the caller holds mutex.
func (n *Node) subscriptionFor(link *uplink) *lapisv1.ControlFrame {
	if link.resync {
		n.requestedVersion++
		n.asked[n.requestedVersion] = n.requested
	}
	subscription := holdings.Difference(link.sentInterest, n.requested, n.requestedVersion)
	subscription.Resync = link.resync
	link.resync = false
	link.sentInterest = n.requested
	link.sentVersion = n.requestedVersion
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Subscription{Subscription: subscription}}
}

// appendEndpointsAbove adds the statements from here and below that changed
// after sentChange and may be sent, and moves sentChange on; the caller holds
// mutex.
func (n *Node) appendEndpointsAbove(frames []proto.Message, sentChange *uint64) []proto.Message {
	if n.flushed <= *sentChange {
		return frames
	}
	endpoints := n.registry.BelowSince(n.config.Node, *sentChange)
	*sentChange = n.flushed
	if len(endpoints) == 0 {
		return frames
	}
	batch := &lapisv1.EndpointBatch{Endpoints: endpoints}
	return append(frames, wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Endpoints{Endpoints: batch}}))
}
