package callmux

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// OtherDaemonError is returned when a different daemon (Found) than the expected one answers at an
// address.
type OtherDaemonError struct{ Address, Expected, Found string }

// Error implements error.
func (e *OtherDaemonError) Error() string {
	return fmt.Sprintf("daemon %s answers at %s, expected %s", e.Found, e.Address, e.Expected)
}

// Connect opens a session to the daemon node at address, which subsequent calls use. It replaces a
// session to an earlier process of the daemon. An open session to the same process carries calls and
// is kept. control returns the callbacks of the session; it is called before the first frame is read, so
// that they may use the link although Connect has not returned yet. Errors: CallNotRunUnreachable,
// *OtherDaemonError.
func (c *Client) Connect(ctx context.Context, node, address string, control func(Link) Control) (Link, error) {
	opened, err := c.open(ctx, node, address, control)
	if err != nil {
		return Link{}, err
	}
	link := c.link(address)
	link.mutex.Lock()
	defer link.mutex.Unlock()
	if link.session != nil && !link.session.isClosed() {
		if link.session.incarnation == opened.incarnation {
			opened.close(result.Errorf(result.CallNotRunUnreachable, "duplicate connection"))
			return Link{}, result.Errorf(result.CallNotRunUnreachable, "already connected to %s", address)
		}
		link.session.close(result.Errorf(result.CallUnknownOutcome, "replaced by a connection to a newer process"))
	}
	link.session = opened
	link.lastUsed = time.Now()
	return Link{opened}, nil
}

// open dials address and exchanges greetings, within openTimeout. node is the daemon to expect, or empty
// for any. No frame of another daemon is read, since control attributes frames to node. control may be nil.
// Errors: CallNotRunUnreachable, *OtherDaemonError.
func (c *Client) open(ctx context.Context, node, address string, control func(Link) Control) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	dialCtx, cancelDial := context.WithTimeout(ctx, dialTimeout)
	defer cancelDial()
	raw, err := c.Network.Dial(dialCtx, address)
	if err != nil {
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "dialing %s", address)
	}
	conn := wire.NewConn(raw, c.Counters)
	deadline, _ := ctx.Deadline()
	// This fails only on a closed connection, where the greeting fails as well.
	_ = raw.SetDeadline(deadline)
	welcome, err := c.greet(conn)
	if err != nil {
		_ = conn.Close() // The error of greet is the one to report.
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "greeting %s", address)
	}
	if found := welcome.GetNode(); node != "" && found != node {
		_ = conn.Close() // The other daemon sees the end, whatever the error.
		return nil, &OtherDaemonError{Address: address, Expected: node, Found: found}
	}
	_ = raw.SetDeadline(time.Time{})
	opened := newSession(conn, welcome.GetIncarnation(), c.Timing)
	opened.boundInFlight(welcome.GetInFlightBytes())
	opened.welcome = welcome
	if control != nil {
		opened.control = control(Link{opened})
	}
	go func() { _ = opened.receive(nil) }() // The error is kept as the cause of the session's end.
	go opened.keepAlive()
	return opened, nil
}

// greet exchanges the greetings. Errors: ProtocolUnexpected, and those of package wire.
func (c *Client) greet(conn *wire.Conn) (*lapisv1.Welcome, error) {
	if err := conn.WritePreface(); err != nil {
		return nil, err
	}
	hello := proto.CloneOf(c.Hello)
	hello.InFlightBytes = c.Timing.InFlightBytes()
	if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}}); err != nil {
		return nil, err
	}
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, err
	}
	if welcome := frame.GetWelcome(); welcome != nil {
		return welcome, nil
	}
	return nil, result.Errorf(result.ProtocolUnexpected, "frame %T in reply to Hello", frame.GetBody())
}
