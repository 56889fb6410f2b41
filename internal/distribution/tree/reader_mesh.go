package tree

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Times of the links between readers.
const (
	// meshReconcileInterval is how often a reader compares its links with the readers it knows.
	// It adds to the time in which a new reader hears of the endpoints below the others.
	meshReconcileInterval = time.Second
	// meshRedialPause keeps a reader whose peer refuses from dialing it at once
	// again. It must be larger than meshReconcileInterval to have an effect.
	meshRedialPause = 2 * time.Second
)

// readerLink is a link between two readers. Each sends the other the endpoints of its own
// subtree; nothing is passed on from one reader to a third. Node.mutex protects its fields.
type readerLink struct {
	peerLink
	peer      string
	address   string
	connected bool
	// peerHead is the newest revision that the peer holds.
	peerHead uint64
	// sentChange is the registry change up to which endpoints were sent.
	sentChange uint64
}

// keepMesh links this reader with every other one until ctx ends.
func (n *Node) keepMesh(ctx context.Context) error {
	defer n.closeMesh()
	for {
		n.reconcileMesh(ctx)
		if !sleep.For(ctx, meshReconcileInterval) {
			return ctx.Err()
		}
	}
}

func (n *Node) closeMesh() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, link := range n.mesh {
		link.close()
	}
}

// reconcileMesh dials the readers that lack a link. Of two readers the one with the smaller name
// dials. While the object API cannot be read, the last known readers count.
func (n *Node) reconcileMesh(ctx context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	holders := n.seats.KnownHolders(seat.Prefix)
	if n.storeReachable {
		holders = n.seats.Holders(seat.Prefix, now)
	}
	for _, holder := range holders {
		peer := holder.Peer.GetNode()
		if peer <= n.config.Node || n.mesh[peer] != nil {
			continue
		}
		linkCtx, link := n.addReaderLink(ctx, peer, holder.Peer.GetAddress())
		go n.dialReader(linkCtx, link)
	}
}

// addReaderLink registers a link and returns the context that ends with it; the
// caller holds mutex.
func (n *Node) addReaderLink(ctx context.Context, peer, address string) (context.Context, *readerLink) {
	ctx, common := newPeerLink(ctx)
	link := &readerLink{peerLink: common, peer: peer, address: address}
	n.mesh[peer] = link
	return ctx, link
}

func (n *Node) dropReaderLink(link *readerLink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link.close()
	link.connected = false
	if n.mesh[link.peer] == link {
		delete(n.mesh, link.peer)
	}
}

func (n *Node) dialReader(ctx context.Context, link *readerLink) {
	defer n.dropReaderLink(link)
	err := n.greetReader(ctx, link)
	n.config.Logger.V(1).Info("peer.connection_ended", "peer", link.peer, "error", err)
	// The link stays registered for the pause, so that nobody dials meanwhile.
	sleep.For(ctx, meshRedialPause)
}

// greetReader connects to another reader and serves the link until it ends.
func (n *Node) greetReader(ctx context.Context, link *readerLink) error {
	conn, err := n.dial(ctx, link.address)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if err := conn.Send(helloFrame(n.identity(lapisv1.Hello_PURPOSE_READER))); err != nil {
		return err
	}
	return n.serveReaderLink(ctx, link, conn)
}

// ServeReader serves a connection whose Hello came from another reader. It returns
// when the connection ends.
func (n *Node) ServeReader(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	n.mutex.Lock()
	if !n.reader {
		n.mutex.Unlock()
		return conn.Send(refusalFrame(&lapisv1.Refusal{Code: uint32(result.DistributionSeatLost), Reason: "not a reader"}))
	}
	if previous := n.mesh[hello.GetNode()]; previous != nil {
		previous.close()
	}
	linkCtx, link := n.addReaderLink(ctx, hello.GetNode(), hello.GetAddress())
	n.mutex.Unlock()
	defer n.dropReaderLink(link)
	return n.serveReaderLink(linkCtx, link, conn)
}

func (n *Node) serveReaderLink(ctx context.Context, link *readerLink, conn *wire.Conn) error {
	n.mutex.Lock()
	link.connected = true
	n.mutex.Unlock()
	link.signal()
	return n.exchange(ctx, link.peerLink, conn, linkProtocol{
		interval: n.config.heartbeat(),
		next: func(occasion sendOccasion) outgoing {
			return outgoing{frames: n.pendingForReader(link, occasion)}
		},
		handle: func(frame *lapisv1.ControlFrame) error { return n.handleFromReader(link, frame) },
	})
}

func (n *Node) handleFromReader(link *readerLink, frame *lapisv1.ControlFrame) error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	switch body := frame.GetBody().(type) {
	case *lapisv1.ControlFrame_Endpoints:
		n.mergeEndpoints(body.Endpoints.GetEndpoints(), "")
	case *lapisv1.ControlFrame_Heartbeat:
		link.peerHead = body.Heartbeat.GetHeadRevision()
	default:
		return result.Errorf(result.ProtocolUnexpected, "frame %T from a reader", body)
	}
	return nil
}

// pendingForReader returns the endpoints that the other reader lacks and, at each
// tick, a heartbeat with the revision held.
func (n *Node) pendingForReader(link *readerLink, occasion sendOccasion) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	frames = n.appendOwnEndpoints(frames, &link.sentChange)
	if occasion.tick {
		frames = append(frames, heartbeatFrame(&lapisv1.Heartbeat{HeadRevision: n.holdings.Revision()}))
	}
	return frames
}
