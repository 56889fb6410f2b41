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
	meshReconcileInterval = time.Second
	meshRedial            = 2 * time.Second
)

// meshLink is a link between two readers. Each tells the other the endpoints
// of its own subtree; nothing is passed on from one reader to a third.
// Node.mutex protects its fields.
type meshLink struct {
	peer       string
	address    string
	cancel     context.CancelFunc
	wake       chan struct{}
	connected  bool
	peerHead   uint64
	sentChange uint64
}

func (m *meshLink) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *meshLink) close() { m.cancel() }

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

// reconcileMesh dials the readers that lack a link. Of two readers the one
// with the smaller name dials. While the object API is out of sight the last
// known readers count.
func (n *Node) reconcileMesh(ctx context.Context) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	holders := n.seats.KnownHolders(seat.Prefix)
	if n.sourceSeen {
		holders = n.seats.Holders(seat.Prefix, now)
	}
	for _, holder := range holders {
		peer := holder.Peer.GetNode()
		if peer <= n.config.Node || n.mesh[peer] != nil {
			continue
		}
		link := n.newMeshLink(ctx, peer, holder.Peer.GetAddress())
		go n.dialMesh(link.context, link.meshLink)
	}
}

// pendingMesh is a link with the context of its life.
type pendingMesh struct {
	*meshLink
	context context.Context
}

// newMeshLink registers a link; the caller holds mutex.
func (n *Node) newMeshLink(ctx context.Context, peer, address string) pendingMesh {
	linkCtx, cancel := context.WithCancel(ctx)
	link := &meshLink{peer: peer, address: address, cancel: cancel, wake: make(chan struct{}, 1)}
	n.mesh[peer] = link
	return pendingMesh{meshLink: link, context: linkCtx}
}

func (n *Node) dropMesh(link *meshLink) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	link.cancel()
	link.connected = false
	if n.mesh[link.peer] == link {
		delete(n.mesh, link.peer)
	}
}

func (n *Node) dialMesh(ctx context.Context, link *meshLink) {
	defer n.dropMesh(link)
	// The pause keeps a reader that refuses from being dialed at once again.
	defer sleep.For(ctx, meshRedial)
	conn, err := n.dial(ctx, link.address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	hello := &lapisv1.Hello{
		ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_READER,
		Node: n.config.Node, Incarnation: n.config.Incarnation,
		Zone: n.config.Zone, Region: n.config.Region, Address: n.config.Address,
	}
	if conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}}) != nil {
		return
	}
	n.runMesh(ctx, link, conn)
}

// ServeReader serves a connection whose Hello came from another reader.
func (n *Node) ServeReader(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	n.mutex.Lock()
	if !n.reader {
		n.mutex.Unlock()
		return conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: &lapisv1.Refusal{
			Code: uint32(result.DistributionSeatLost), Reason: "not a reader",
		}}})
	}
	if previous := n.mesh[hello.GetNode()]; previous != nil {
		previous.close()
	}
	link := n.newMeshLink(ctx, hello.GetNode(), hello.GetAddress())
	n.mutex.Unlock()
	defer n.dropMesh(link.meshLink)
	return n.runMesh(link.context, link.meshLink, conn)
}

// runMesh exchanges frames until the link ends.
func (n *Node) runMesh(ctx context.Context, link *meshLink, conn *wire.Conn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	n.mutex.Lock()
	link.connected = true
	n.mutex.Unlock()
	go n.sendMesh(ctx, link, conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(n.config.Tunables.LinkSilence.Get()))
		frame, err := receive(conn)
		if err != nil {
			return err
		}
		if err := n.handleMesh(link, frame); err != nil {
			return err
		}
	}
}

func (n *Node) handleMesh(link *meshLink, frame *lapisv1.ControlFrame) error {
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

func (n *Node) sendMesh(ctx context.Context, link *meshLink, conn *wire.Conn) {
	ticker := time.NewTicker(n.config.heartbeat())
	defer ticker.Stop()
	defer func() { _ = conn.Close() }()
	link.signal()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return
		case <-link.wake:
		case <-ticker.C:
			tick = true
		}
		frames := n.pendingForMesh(link, tick)
		if len(frames) == 0 {
			continue
		}
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))
		if err := conn.SendAll(frames...); err != nil {
			return
		}
	}
}

func (n *Node) pendingForMesh(link *meshLink, tick bool) (frames []proto.Message) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	frames = n.appendEndpointsAbove(frames, &link.sentChange)
	if tick {
		heartbeat := &lapisv1.Heartbeat{HeadRevision: n.holdings.Revision()}
		frames = append(frames, &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Heartbeat{Heartbeat: heartbeat}})
	}
	return frames
}
