package tree

import (
	"context"
	"slices"

	"github.com/qmuntal/stateless"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// parentLink is the state of the link to the parent. Node.mutex protects its fields.
type parentLink struct {
	peerLink
	address string
	// redirected is true when another daemon redirected this node to the parent.
	redirected   bool
	conn         *wire.Conn
	stateMachine *stateless.StateMachine
	// node is the parent's name, set from its Welcome.
	node string
	// sentInterest is the interest last sent to the parent and sentVersion its subscription
	// version.
	sentInterest holdings.Interest
	sentVersion  uint64
	// resync is true when the parent must be asked to send the full state again.
	resync bool
	// sentChange is the registry change number up to which endpoints were sent.
	sentChange uint64
	sentReport *lapisv1.StatusReport
	// floorRequestDue is true when a floor request must be sent.
	floorRequestDue bool
}

// runChild runs a node that is not a reader. It returns a vacancy when the node should take a seat;
// found is false when ctx ended.
func (n *Node) runChild(ctx context.Context) (vacancy seat.Vacancy, found bool) {
	search := newSearch(n)
	for ctx.Err() == nil {
		if vacancy, found = n.takeOffer(); found {
			return vacancy, true
		}
		choice, ok := n.nextCandidate()
		if !ok {
			vacancy, found = search.queryStore(ctx)
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

// attach connects to one parent and keeps the link until it ends. It reports whether the parent
// accepted this node.
func (n *Node) attach(ctx context.Context, choice membership.Choice) bool {
	ctx, common := newPeerLink(ctx)
	defer common.close()
	conn, err := n.dial(ctx, choice.Address)
	if err != nil {
		n.recordFailure(choice.Address, err)
		return false
	}
	defer closeConn(conn)
	stop := closeWith(ctx, conn)
	defer stop()
	link := &parentLink{
		peerLink: common, address: choice.Address, conn: conn,
		stateMachine: newLinkStateMachine(), redirected: choice.Redirected,
	}
	accepted, err := n.greetParent(link)
	if err != nil {
		n.recordFailure(choice.Address, err)
	}
	if err != nil || !accepted {
		return false
	}
	defer n.detach(link)
	err = n.exchange(ctx, common, conn, linkProtocol{
		interval: n.config.Tunables.StatusInterval.Get(),
		next:     func(event sendEvent) outgoing { return outgoing{frames: n.pendingParentFrames(link, event)} },
		handle:   func(frame *lapisv1.ControlFrame) error { return n.handleFromParent(link, frame) },
	})
	n.config.Logger.V(1).Info("tree.parent_lost", "parent", link.node, "cause", err)
	return true
}

func (n *Node) recordFailure(address string, cause error) {
	n.config.Logger.V(1).Info("peer.connection_ended", "peer", address, "error", cause)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Failed(address, boottime.Now())
}

// detach handles the loss of the parent. It clears the path, which stays empty until another parent
// accepts this node; a pending floor request is then sent again.
func (n *Node) detach(link *parentLink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if err := fireLink(link.stateMachine, linkLost); err != nil {
		n.config.Logger.Error(err, "tree.parent_lost", "parent", link.node)
	}
	if n.parent != link {
		return
	}
	n.parent = nil
	n.abortFloorRead()
	n.setPath(nil)
}

// greetParent sends the Hello and handles the reply.
func (n *Node) greetParent(link *parentLink) (accepted bool, err error) {
	if err := fireLink(link.stateMachine, linkDialed); err != nil {
		return false, err
	}
	if err := link.conn.Send(n.helloToParent(link)); err != nil {
		return false, err
	}
	frame, err := receiveWithin(link.conn, greetingTimeout)
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

func (n *Node) helloToParent(link *parentLink) *lapisv1.ControlFrame {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	report := n.report()
	link.sentInterest = n.holdings.Interest()
	link.sentVersion = n.coveredVersion
	hello := n.identity(lapisv1.Hello_PURPOSE_CHILD)
	hello.Subscription = link.sentInterest.Subscription(link.sentVersion)
	hello.AppliedRevision = n.holdings.Revision()
	hello.SubtreeNodes = report.GetNodes()
	hello.SubtreeDepth = report.GetDepth()
	hello.NoSeat = n.config.NoSeat
	hello.Redirected = link.redirected
	hello.Refusals = n.candidates.Refusals()
	return helloFrame(hello)
}

// welcomed makes the node the child of the parent that sent welcome. It returns DistributionLoop
// when the parent turns out to be a descendant of this node.
func (n *Node) welcomed(link *parentLink, welcome *lapisv1.Welcome) (accepted bool, err error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Learn(welcome.GetAlternatives(), boottime.Now())
	n.learnReaders(welcome.GetReaders())
	if slices.Contains(welcome.GetPath(), n.config.Node) {
		return false, result.Errorf(result.DistributionLoop, "parent %s is a descendant of this node", welcome.GetNode())
	}
	if err := fireLink(link.stateMachine, linkWelcomed); err != nil {
		return false, err
	}
	n.candidates.Succeeded(link.address)
	link.node = welcome.GetNode()
	n.parent = link
	n.counts.joins++
	n.setPath(append(slices.Clone(welcome.GetPath()), n.config.Node))
	n.startFloorRead()
	link.signal()
	return true, nil
}

// refused records the redirects and the retry delay of a refusal.
func (n *Node) refused(link *parentLink, refusal *lapisv1.Refusal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.candidates.Refused(link.address, refusal, boottime.Now())
	if result.Code(refusal.GetCode()) == result.DistributionTooDeep {
		n.evictDeepChildren()
	}
}

// linkState is the state of a node's link to its parent.
type linkState string

const (
	// linkSearching is the state before a parent is dialed and after it is lost.
	linkSearching linkState = "searching"
	// linkGreeting is the state after the Hello was sent, until the reply.
	linkGreeting linkState = "greeting"
	// linkAttached is the state while the parent has a path to a reader.
	linkAttached linkState = "attached"
	// linkStranded is the state while the parent has no path to a reader.
	linkStranded linkState = "stranded"
)

// linkTrigger is an event that changes the state of a link to a parent.
type linkTrigger string

const (
	linkDialed   linkTrigger = "dialed"
	linkWelcomed linkTrigger = "welcomed"
	linkDetached linkTrigger = "detached"
	linkRejoined linkTrigger = "rejoined"
	linkLost     linkTrigger = "lost"
)

// newLinkStateMachine returns the state machine of a parent link.
func newLinkStateMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(linkSearching)
	machine.Configure(linkSearching).
		Permit(linkDialed, linkGreeting).
		Ignore(linkLost)
	machine.Configure(linkGreeting).
		Permit(linkWelcomed, linkAttached).
		Permit(linkLost, linkSearching)
	machine.Configure(linkAttached).
		Permit(linkDetached, linkStranded).
		Permit(linkLost, linkSearching).
		Ignore(linkRejoined)
	machine.Configure(linkStranded).
		Permit(linkRejoined, linkAttached).
		Permit(linkLost, linkSearching).
		Ignore(linkDetached)
	return machine
}

// fireLink applies a trigger to a link state machine. A trigger that the current state does not
// permit is a programming error; the returned error ends the link.
func fireLink(machine *stateless.StateMachine, trigger linkTrigger) error {
	return machine.FireCtx(context.Background(), trigger)
}
