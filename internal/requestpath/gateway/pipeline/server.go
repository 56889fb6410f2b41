package pipeline

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// Config configures a Server.
type Config struct {
	// HeadLimits returns the limits of the requests that are read from now on.
	HeadLimits func() HeadLimits
	// MaxBodyBytes is the maximum size of a request's body, in bytes.
	MaxBodyBytes int
	// InputMemory is the budget for input that callers have not completed and for bodies that wait to be
	// read. Beyond it, heads longer than httpinput.MinBufferBytes are refused, short bodies are streamed, and a
	// caller that leaves behind a long body that waits is not noticed.
	InputMemory *httpinput.Memory
	// MaxBufferedBodyBytes is the longest body that is read into memory before its request is
	// dispatched. Longer bodies are streamed.
	MaxBufferedBodyBytes int64
	// IdleTimeout is the maximum time that a connection stays open without a request.
	// BodyIdleTimeout is the maximum pause of a caller within a body. LingerTimeout is the maximum
	// time for which input is read and discarded after the last answer.
	IdleTimeout, BodyIdleTimeout, LingerTimeout time.Duration
	// Limits bound the resources held for pipelined requests; the zero value stands for
	// DefaultLimits.
	Limits Limits
	// MaxConnections is the maximum number of connections that are served at the same time; 0 for no
	// limit. At the limit, idle connections are closed for a new one; without an idle one, the new one is
	// closed.
	MaxConnections int
	// OnConnectionLimit is called for each connection that is closed because of MaxConnections. The
	// function may be nil.
	OnConnectionLimit func()
	// Check returns an error for a request that must be rejected; no later request of the connection
	// is read then. It is called in request order, before the next request is read.
	Check func(*app.RequestContext) error
	// Handle handles a request and sets its answer. ctx ends when the caller disconnects.
	Handle func(ctx context.Context, exchange *Exchange)
	// Stopping reports whether connections should be closed after an answer.
	Stopping func() bool
	// OnUnserved is called for each connection that the server closed while it held input of
	// requests that it did not answer. bytes is the size of that input. The function may be nil.
	OnUnserved func(bytes int)
}

// HeadLimits bound the heads of requests, and the trailer sections behind their bodies.
type HeadLimits struct {
	// Bytes is the maximum size of a head, and that of a trailer section.
	Bytes int
	// Timeout is the maximum time from the first byte of a request to the end of its head.
	Timeout time.Duration
}

// Server serves callers' connections in place of the HTTP library's own server. It is safe for
// concurrent use.
type Server struct {
	config Config
	quota  quota
	// openRequests counts the requests that were dispatched and not yet answered.
	openRequests atomic.Int64
	// unservedConnections counts the connections reported to Config.OnUnserved.
	unservedConnections atomic.Int64
	connections         connectionSet
}

// New returns a server for the given configuration.
func New(config Config) *Server {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	return &Server{
		config: config, quota: quota{limits: config.Limits},
		connections: connectionSet{limit: config.MaxConnections, onLimit: config.OnConnectionLimit},
	}
}

// OpenRequests returns the number of requests that were dispatched and not yet answered.
func (s *Server) OpenRequests() int64 { return s.openRequests.Load() }

// UndeliveredConnections returns the number of connections with a written answer that its caller
// could lose if the process ended now. It inspects every connection and is meant for shutdown.
func (s *Server) UndeliveredConnections() int { return s.connections.countUndelivered(time.Now()) }

// ReceivingConnections returns the number of connections on which the caller is sending a request
// that is not dispatched yet, or a body that is being discarded. It inspects every connection, as
// UndeliveredConnections does.
func (s *Server) ReceivingConnections() int { return s.connections.countReceiving(time.Now()) }

// UnservedConnections returns the number of connections so far that the server closed while it held
// input of requests that it did not answer.
func (s *Server) UnservedConnections() int64 { return s.unservedConnections.Load() }

// Close closes all connections immediately, as the end of the process does: no more data is read
// from or written to them. Connections accepted later are closed as well.
func (s *Server) Close() { s.connections.closeAll() }

// Factory returns the protocol server factory to register with the HTTP library under suite.HTTP1.
func (s *Server) Factory() suite.ServerFactory { return factory{s} }

// Listener wraps a listener so that its connections can be served by s.
func (s *Server) Listener(listener net.Listener) net.Listener {
	return callerListener{Listener: listener, server: s}
}

// OnAccept returns a context that carries conn, which Listener accepted, to the protocol server.
func (s *Server) OnAccept(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), callerKey{}, conn)
}

type factory struct{ server *Server }

// New implements suite.ServerFactory.
func (f factory) New(core suite.Core) (protocol.Server, error) {
	return protocolServer{server: f.server, core: core}, nil
}

// protocolServer implements protocol.Server with the library's request pool, which core provides.
type protocolServer struct {
	server *Server
	core   suite.Core
}

// Serve implements protocol.Server; it returns when the connection has ended. It ignores a
// connection that was not accepted by Server.Listener.
func (p protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	caller, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return nil
	}
	newConnection(p.server, p.core, conn, caller).serve()
	return nil
}

// callerKey is the context key of the caller's connection, a *callerConn.
type callerKey struct{}

type callerListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: conn, lookahead: lookahead{memory: l.server.config.InputMemory}}
	caller.setReadTimeout(l.server.config.HeadLimits().Timeout)
	return caller, nil
}
