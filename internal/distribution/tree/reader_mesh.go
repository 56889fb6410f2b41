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

// Timing of the links between readers.
const (
	// meshReconcileInterval is the interval at which a reader compares its links with the known
	// readers. It adds to the time until a new reader receives the endpoints below the other
	// readers.
	meshReconcileInterval = time.Second
	// meshRedialDelay is the time for which a reader does not redial a peer after the link ended,
	// for example because the peer refused it. It must be larger than meshReconcileInterval to have
	// an effect.
	meshRedialDelay = 2 * time.Second
)

// readerLink is a link between two readers. Each reader sends the endpoints of its own subtree;
// endpoints are not relayed from one reader to a third. Node.mutex protects its fields.
type readerLink struct {
	peerLink
	peer      string
	address   string
	connected bool
	// peerHeadRevision is the newest revision held by the peer.
	peerHeadRevision uint64
	// sentChange is the registry change number up to which endpoints were sent.
	sentChange uint64
}

// keepMesh maintains the full mesh of reader links, one to every other reader, until ctx ends.
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

// reconcileMesh dials the readers without a link. Of two readers, the one with the smaller name
// dials. While the object API cannot be read, the last known readers are used.
func (n *Node) reconcileMesh(ctx context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	holders := n.seats.LastKnownHolders(seat.Prefix)
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

// addReaderLink registers a link and returns a context that is cancelled when the link is closed;
// the caller holds mutex.
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

// dialReader serves a link that this reader dials until it ends, and keeps it registered for
// meshRedialDelay afterwards.
func (n *Node) dialReader(ctx context.Context, link *readerLink) {
	defer n.dropReaderLink(link)
	err := n.greetReader(ctx, link)
	n.config.Logger.V(1).Info("peer.connection_ended", "peer", link.peer, "error", err)
	// The link stays registered during the delay, so that reconcileMesh does not redial the peer.
	sleep.For(ctx, meshRedialDelay)
}

// greetReader connects to another reader, sends the Hello and serves the link until it ends.
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

// ServeReader serves a connection whose Hello was sent by another reader. It returns when the
// connection ends.
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
		next: func(event sendEvent) outgoing {
			return outgoing{frames: n.pendingReaderFrames(link, event)}
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
		link.peerHeadRevision = body.Heartbeat.GetHeadRevision()
	default:
		return result.Errorf(result.ProtocolUnexpected, "frame %T from a reader", body)
	}
	return nil
}

// pendingReaderFrames returns the endpoints that the other reader has not been sent yet and, at
// each tick, a heartbeat with the revision held.
func (n *Node) pendingReaderFrames(link *readerLink, event sendEvent) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	frames = n.appendOwnEndpoints(frames, &link.sentChange)
	if event.tick {
		frames = append(frames, heartbeatFrame(&lapisv1.Heartbeat{HeadRevision: n.holdings.Revision()}))
	}
	return frames
}
