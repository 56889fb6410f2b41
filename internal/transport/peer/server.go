// Package peer accepts connections from other daemons, reads their greeting within a timeout and
// passes each connection to the Handler for the purpose that its greeting states.
//
// The package owns the accepted connections and one goroutine for each, until the context of Serve
// ends. It relies on package wire for frames and on one Handler for each purpose.
//
// Invariants: input that is not a valid greeting uses only a bounded buffer and is logged with a
// result code; at most maxGreetings connections without a greeting are held, each for at most
// GreetingTimeout.
package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Limits for the greeting.
const (
	// GreetingTimeout bounds the time from accepting a connection to the end of its greeting. It must
	// not be below the dialer's timeout for opening a session (openTimeout in callmux).
	GreetingTimeout = 3 * time.Second
	// maxGreetings limits the connections without a greeting. Further connections wait in the accept
	// queue of the kernel.
	maxGreetings = 256
)

// Handler serves a connection after its greeting was read, until the connection ends.
type Handler func(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error

// Server accepts connections from other daemons. It is safe for concurrent use once its fields are
// set.
type Server struct {
	Node     string
	Logger   logr.Logger
	Counters *wire.Counters
	Handlers map[lapisv1.Hello_Purpose]Handler
}

// Serve accepts connections until ctx ends or the listener fails, and returns after all of their
// handlers have ended. The listener must fail only once it is closed (socket.KeepAccepting).
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	greetings := make(chan struct{}, maxGreetings)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		raw, err := listener.Accept()
		if err != nil {
			return
		}
		greetings <- struct{}{}
		running.Add(1)
		go func() {
			defer running.Done()
			s.serve(ctx, raw, func() { <-greetings })
		}()
	}
}

// serve reads the greeting of one connection, calls greeted, and runs the handler until it returns.
func (s *Server) serve(ctx context.Context, raw net.Conn, greeted func()) {
	conn := wire.NewConn(raw, s.Counters)
	// Errors of Close are ignored: the goroutine that reads the connection reports why it ended.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_ = raw.SetDeadline(time.Now().Add(GreetingTimeout)) // This fails only on a closed connection, where the read fails as well.
	hello, handler, err := s.greet(conn)
	greeted()
	if err != nil {
		s.report(conn, "peer.greeting_refused", err)
		return
	}
	_ = raw.SetDeadline(time.Time{}) // As above.
	if err := handler(ctx, conn, hello); err != nil && ctx.Err() == nil {
		s.report(conn, "peer.connection_ended", err, "peer", hello.GetNode())
	}
}

// report logs the end of a connection: protocol errors as events, expected ends at debug level.
func (s *Server) report(conn *wire.Conn, event string, err error, pairs ...any) {
	pairs = append(pairs, "remote", conn.RemoteAddr(), "error", err)
	code, coded := result.CodeOf(err)
	if errors.Is(err, io.EOF) || !coded || code == result.ProtocolTimeout || isReset(err) {
		s.Logger.V(1).Info(event, pairs...)
		return
	}
	s.Logger.Info(event, append(pairs, "code", uint32(code))...)
}

// isReset reports whether err is a network error such as a TCP reset, an expected end of a connection.
func isReset(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) || errors.Is(err, net.ErrClosed)
}

// greet reads the greeting and returns the handler for its purpose. Errors:
// ProtocolBadVersion, ProtocolUnexpected, and those of package wire.
func (s *Server) greet(conn *wire.Conn) (*lapisv1.Hello, Handler, error) {
	if err := conn.ReadPreface(); err != nil {
		return nil, nil, err
	}
	frame := &lapisv1.ControlFrame{}
	if err := conn.Receive(frame); err != nil {
		return nil, nil, err
	}
	hello := frame.GetHello()
	if hello == nil {
		return nil, nil, result.Errorf(result.ProtocolUnexpected, "the first frame is %T, expected Hello", frame.GetBody())
	}
	if hello.GetProtocolVersion() != wire.ProtocolVersion {
		refusal := &lapisv1.Refusal{Code: uint32(result.ProtocolBadVersion), Reason: "version 1 is spoken here"}
		// The refusal is sent on a best-effort basis; the wrong version is logged in any case.
		_ = conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: refusal}})
		return nil, nil, result.Errorf(result.ProtocolBadVersion, "the peer uses protocol version %d", hello.GetProtocolVersion())
	}
	handler, ok := s.Handlers[hello.GetPurpose()]
	if !ok {
		return nil, nil, result.Errorf(result.ProtocolUnexpected, "purpose %s is not served", hello.GetPurpose())
	}
	return hello, handler, nil
}
