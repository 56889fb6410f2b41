package tree

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

const (
	// greetingTimeout bounds writing the preface and waiting for the answer to a Hello, each.
	// transport/peer closes a connection that has not greeted within the same time.
	greetingTimeout = 3 * time.Second
	// sendTimeout bounds the write of what one link sends at once. A peer that does not read for so
	// long loses the link. It is larger than the time in which a full update passes.
	sendTimeout = 5 * time.Second
)

// peerLink is the part that every connection of the tree has in common, whether its peer is the
// parent, a child or another reader. Its methods are safe for concurrent use.
type peerLink struct {
	cancel context.CancelFunc
	wake   chan struct{}
}

// newPeerLink returns a link and the context that ends with it.
func newPeerLink(ctx context.Context) (context.Context, peerLink) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, peerLink{cancel: cancel, wake: make(chan struct{}, 1)}
}

// signal makes the sender compute what the peer lacks.
func (l peerLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l peerLink) close() { l.cancel() }

// sendOccasion is why a link's sender asks for frames to send.
type sendOccasion struct {
	// tick is true at the link's regular interval and false after a signal.
	tick bool
	// idle is true at a tick when nothing was sent since the tick before.
	idle bool
	// silent is the time since frames were last sent.
	silent time.Duration
}

// outgoing is what a link sends next.
type outgoing struct {
	frames []proto.Message
	// pause is how long to wait before sending.
	pause time.Duration
	// last is true when the link ends after frames.
	last bool
}

// linkProtocol is what distinguishes one kind of link from another.
type linkProtocol struct {
	// interval is the time between the sender's ticks.
	interval time.Duration
	// next computes what the peer lacks at this moment.
	next func(sendOccasion) outgoing
	// handle applies a received frame; an error ends the link.
	handle func(*lapisv1.ControlFrame) error
}

// exchange sends and receives on conn until ctx or the link ends, and returns why it ended. A
// peer that is silent for LinkSilence is taken as lost. The caller closes conn afterwards.
func (n *Node) exchange(ctx context.Context, link peerLink, conn *wire.Conn, protocol linkProtocol) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := closeWith(ctx, conn)
	defer stop()
	failed := make(chan error, 1)
	go func() {
		defer closeConn(conn)
		if err := sendFrames(ctx, link, conn, protocol); err != nil {
			failed <- err
		}
	}()
	err := receiveFrames(conn, n.config.Tunables.LinkSilence.Get(), protocol.handle)
	select {
	case sending := <-failed:
		return sending
	default:
		return err
	}
}

// sendFrames sends what protocol says the peer lacks, at each signal and tick,
// until ctx ends, a write fails, or the last frame was sent.
func sendFrames(ctx context.Context, link peerLink, conn *wire.Conn, protocol linkProtocol) error {
	ticker := time.NewTicker(protocol.interval)
	defer ticker.Stop()
	lastSent := boottime.Now()
	idle := true
	for {
		var occasion sendOccasion
		select {
		case <-ctx.Done():
			return nil
		case <-link.wake:
		case <-ticker.C:
			occasion = sendOccasion{tick: true, idle: idle}
			idle = true
		}
		occasion.silent = boottime.Since(lastSent)
		pending := protocol.next(occasion)
		if !sleep.For(ctx, pending.pause) {
			return nil
		}
		if len(pending.frames) == 0 {
			continue
		}
		idle = false
		lastSent = boottime.Now()
		if err := sendWithin(conn, sendTimeout, pending.frames...); err != nil || pending.last {
			return err
		}
	}
}

// receiveFrames handles frames until one is refused, the peer is silent for
// longer than silence, or the connection ends.
func receiveFrames(conn *wire.Conn, silence time.Duration, handle func(*lapisv1.ControlFrame) error) error {
	for {
		frame, err := receiveWithin(conn, silence)
		if err != nil {
			return err
		}
		if err := handle(frame); err != nil {
			return err
		}
	}
}

// sendWithin writes frames. Errors: ProtocolTimeout.
func sendWithin(conn *wire.Conn, timeout time.Duration, frames ...proto.Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "bounding a write")
	}
	return conn.SendAll(frames...)
}

// receiveWithin reads the next frame and decompresses it. Errors: io.EOF,
// ProtocolTimeout, ProtocolTooLarge, ProtocolBadFrame.
func receiveWithin(conn *wire.Conn, timeout time.Duration) (*lapisv1.ControlFrame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, result.Wrap(result.ProtocolTimeout, err, "bounding a read")
	}
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, err
	}
	return wire.Decompress(frame)
}

// dial opens a connection to another daemon and sends the preface; the Hello
// must follow within greetingTimeout.
func (n *Node) dial(ctx context.Context, address string) (*wire.Conn, error) {
	raw, err := n.config.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := wire.NewConn(raw, n.config.Counters)
	if err := conn.SetWriteDeadline(time.Now().Add(greetingTimeout)); err != nil {
		closeConn(conn)
		return nil, result.Wrap(result.ProtocolTimeout, err, "bounding the preface")
	}
	if err := conn.WritePreface(); err != nil {
		closeConn(conn)
		return nil, err
	}
	return conn, nil
}

// identity returns a Hello with the fields that every purpose has in common.
func (n *Node) identity(purpose lapisv1.Hello_Purpose) *lapisv1.Hello {
	return &lapisv1.Hello{
		ProtocolVersion: wire.ProtocolVersion, Purpose: purpose,
		Node: n.config.Node, Incarnation: n.config.Incarnation,
		Zone: n.config.Zone, Region: n.config.Region, Address: n.config.Address,
	}
}

// closeWith closes conn when ctx ends, unless stop is called before.
func closeWith(ctx context.Context, conn *wire.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { closeConn(conn) })
}

// closeConn closes a connection that is no longer used. An error of closing is
// dropped: nothing depends on it, and readers and writers get an error of their own.
func closeConn(conn *wire.Conn) { _ = conn.Close() }

func refusalFrame(refusal *lapisv1.Refusal) *lapisv1.ControlFrame {
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: refusal}}
}

func helloFrame(hello *lapisv1.Hello) *lapisv1.ControlFrame {
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}}
}

func heartbeatFrame(heartbeat *lapisv1.Heartbeat) *lapisv1.ControlFrame {
	return &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Heartbeat{Heartbeat: heartbeat}}
}

// endpointsFrame returns batch as it is sent, compressed when that pays.
func endpointsFrame(batch *lapisv1.EndpointBatch) *lapisv1.ControlFrame {
	return wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Endpoints{Endpoints: batch}})
}
