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
	// greetingTimeout limits two steps separately: the write of the preface, and the wait for the
	// answer to a Hello. transport/peer uses the same limit for the Hello of an accepted
	// connection.
	greetingTimeout = 3 * time.Second
	// sendTimeout limits the write of one batch of frames to a link. A link whose peer does not
	// read for that long is closed. It must be longer than the transmission of a full update.
	sendTimeout = 5 * time.Second
)

// peerLink is the part that all connections of the tree have in common: those to the parent, to a
// child and to another reader. Its methods are safe for concurrent use.
type peerLink struct {
	cancel context.CancelFunc
	wake   chan struct{}
}

// newPeerLink returns a link and a context that is cancelled when the link is closed.
func newPeerLink(ctx context.Context) (context.Context, peerLink) {
	ctx, cancel := context.WithCancel(ctx)
	return ctx, peerLink{cancel: cancel, wake: make(chan struct{}, 1)}
}

// signal wakes the sender, which then computes the frames to send.
func (l peerLink) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l peerLink) close() { l.cancel() }

// sendEvent describes the reason for which the sender of a link asks for frames.
type sendEvent struct {
	// tick is true for the link's regular interval and false for a signal.
	tick bool
	// idle is true at a tick when nothing was sent since the previous tick.
	idle bool
	// sinceLastSend is the time since frames were last sent.
	sinceLastSend time.Duration
}

// outgoing holds the frames that a link sends next.
type outgoing struct {
	frames []proto.Message
	// delay is the time to wait before sending.
	delay time.Duration
	// closeAfter is true when the link is closed after sending frames.
	closeAfter bool
}

// linkProtocol configures exchange for one kind of link.
type linkProtocol struct {
	// interval is the time between the sender's ticks.
	interval time.Duration
	// next returns the frames to send at this time.
	next func(sendEvent) outgoing
	// handle applies a received frame; an error ends the link.
	handle func(*lapisv1.ControlFrame) error
}

// exchange sends and receives on conn until ctx or the link ends, and returns the reason. A peer
// that is silent for LinkIdleTimeout is considered lost. The caller closes conn afterwards.
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
	err := receiveFrames(conn, n.config.Tunables.LinkIdleTimeout.Get(), protocol.handle)
	select {
	case sending := <-failed:
		return sending
	default:
		return err
	}
}

// sendFrames sends the frames returned by protocol.next at each signal and tick, until ctx ends, a
// write fails, or closeAfter is set.
func sendFrames(ctx context.Context, link peerLink, conn *wire.Conn, protocol linkProtocol) error {
	ticker := time.NewTicker(protocol.interval)
	defer ticker.Stop()
	lastSent := boottime.Now()
	idle := true
	for {
		var event sendEvent
		select {
		case <-ctx.Done():
			return nil
		case <-link.wake:
		case <-ticker.C:
			event = sendEvent{tick: true, idle: idle}
			idle = true
		}
		event.sinceLastSend = boottime.Since(lastSent)
		pending := protocol.next(event)
		if !sleep.For(ctx, pending.delay) {
			return nil
		}
		if len(pending.frames) == 0 {
			continue
		}
		idle = false
		lastSent = boottime.Now()
		if err := sendWithin(conn, sendTimeout, pending.frames...); err != nil || pending.closeAfter {
			return err
		}
	}
}

// receiveFrames handles frames until handle returns an error, the peer is silent for longer than
// silence, or the connection ends.
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

// sendWithin writes frames with a deadline. Errors: ProtocolTimeout.
func sendWithin(conn *wire.Conn, timeout time.Duration, frames ...proto.Message) error {
	if err := conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "setting the write deadline")
	}
	return conn.SendAll(frames...)
}

// receiveWithin reads the next frame with a deadline and decompresses it. Errors: io.EOF,
// ProtocolTimeout, ProtocolTooLarge, ProtocolBadFrame.
func receiveWithin(conn *wire.Conn, timeout time.Duration) (*lapisv1.ControlFrame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, result.Wrap(result.ProtocolTimeout, err, "setting the read deadline")
	}
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, err
	}
	return wire.Decompress(frame)
}

// dial opens a connection to another daemon and sends the preface. The caller must send the Hello
// within greetingTimeout.
func (n *Node) dial(ctx context.Context, address string) (*wire.Conn, error) {
	raw, err := n.config.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	conn := wire.NewConn(raw, n.config.Counters)
	if err := conn.SetWriteDeadline(time.Now().Add(greetingTimeout)); err != nil {
		closeConn(conn)
		return nil, result.Wrap(result.ProtocolTimeout, err, "setting the write deadline of the preface")
	}
	if err := conn.WritePreface(); err != nil {
		closeConn(conn)
		return nil, err
	}
	return conn, nil
}

// identity returns a Hello with the fields that are common to all purposes.
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

// closeConn closes a connection that is no longer used. The error of Close is ignored: reads and
// writes on the connection return their own errors.
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

// endpointsFrame returns the frame of batch, compressed when compression makes it smaller.
func endpointsFrame(batch *lapisv1.EndpointBatch) *lapisv1.ControlFrame {
	return wire.Compress(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Endpoints{Endpoints: batch}})
}
