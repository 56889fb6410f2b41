// Package peer accepts the connections of other daemons, reads their greeting
// within a bounded time and hands them to the part that speaks the wanted
// protocol.
//
// It owns the accepted connections and one goroutine for each, until the context of Serve ends. It
// relies on package wire for frames and on a handler for each purpose of a connection.
//
// What must hold: bytes that are not a greeting cost a bounded buffer and are logged with a
// result code; at most maxGreetings connections that have not greeted are held, each for
// GreetingTimeout at the most.
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

// Bounds of the greeting.
const (
	// GreetingTimeout bounds the time from accepting a connection to the whole of its greeting. It
	// must not be below the time that a dialer gives the opening (callmux).
	GreetingTimeout = 3 * time.Second
	// maxGreetings bounds the connections that have not greeted yet; further ones wait in the
	// kernel.
	maxGreetings = 256
)

// Handler speaks one protocol on a greeted connection until it ends.
type Handler func(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error

// Server accepts connections of other daemons. It is safe for concurrent use once its fields are
// set.
type Server struct {
	Node     string
	Logger   logr.Logger
	Counters *wire.Counters
	Handlers map[lapisv1.Hello_Purpose]Handler
}

// Serve accepts connections until ctx ends or the listener fails, then closes all of them and waits.
// Callers pass a listener that fails only once it is closed (socket.KeepAccepting).
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

// serve greets one connection, calls greeted, and runs the handler until it ends.
func (s *Server) serve(ctx context.Context, raw net.Conn, greeted func()) {
	conn := wire.NewConn(raw, s.Counters)
	// The reader reports why a connection ended; closing it adds nothing.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_ = raw.SetDeadline(time.Now().Add(GreetingTimeout)) // It fails on a closed connection only, and so does what follows.
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

// report logs protocol errors as errors and ordinary ends for debugging only.
func (s *Server) report(conn *wire.Conn, event string, err error, pairs ...any) {
	pairs = append(pairs, "remote", conn.RemoteAddr(), "error", err)
	code, coded := result.CodeOf(err)
	if errors.Is(err, io.EOF) || !coded || code == result.ProtocolTimeout || isReset(err) {
		s.Logger.V(1).Info(event, pairs...)
		return
	}
	s.Logger.Info(event, append(pairs, "code", uint32(code))...)
}

// isReset reports whether a connection ended below the protocol, which is ordinary.
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
		return nil, nil, result.Errorf(result.ProtocolUnexpected, "the first frame is %T", frame.GetBody())
	}
	if hello.GetProtocolVersion() != wire.ProtocolVersion {
		refusal := &lapisv1.Refusal{Code: uint32(result.ProtocolBadVersion), Reason: "version 1 is spoken here"}
		// The refusal is a courtesy; that the version is wrong is logged in any case.
		_ = conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Refusal{Refusal: refusal}})
		return nil, nil, result.Errorf(result.ProtocolBadVersion, "the peer speaks version %d", hello.GetProtocolVersion())
	}
	handler, ok := s.Handlers[hello.GetPurpose()]
	if !ok {
		return nil, nil, result.Errorf(result.ProtocolUnexpected, "purpose %s is not served", hello.GetPurpose())
	}
	return hello, handler, nil
}
