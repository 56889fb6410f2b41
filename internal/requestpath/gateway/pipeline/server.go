package pipeline

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
)

// Config configures a Server.
type Config struct {
	// MaxHeaderBytes bounds the head of a request, MaxBodyBytes its body, in bytes.
	MaxHeaderBytes int
	MaxBodyBytes   int
	// ShortBodyBytes is the longest body that is read whole before its request is passed on.
	ShortBodyBytes int64
	// IdleTime is how long a connection may rest without a request, HeaderTime how long a
	// request's head may take once its first byte is there, BodyIdle how long a caller may pause
	// within a body, and LingerTime how long is read on after the last answer.
	IdleTime, HeaderTime, BodyIdle, LingerTime time.Duration
	// Limits bound what is held for requests sent ahead; the zero value stands for DefaultLimits.
	Limits Limits
	// Check returns why a request cannot be served at all; nothing behind it is read then. It is
	// called in the order of the requests, before the next one is read.
	Check func(*app.RequestContext) error
	// Handle sees an exchange through. ctx ends when the caller disconnects.
	Handle func(ctx context.Context, exchange *Exchange)
	// Stopping reports whether connections are to be closed.
	Stopping func() bool
	// Unserved is called for each connection that this side ended although bytes of requests
	// had been read that it does not answer; nil for nothing.
	Unserved func(bytes int)
}

// Server serves callers' connections in place of the HTTP library's own server. It is safe for
// concurrent use.
type Server struct {
	config Config
	quota  quota
	// open counts the requests that were read and are not answered yet.
	open atomic.Int64
	// unserved counts the connections that Config.Unserved was called for.
	unserved    atomic.Int64
	connections connections
}

// connections are those that are served. It is safe for concurrent use; the zero value is empty.
type connections struct {
	// mutex protects everything below.
	mutex  sync.Mutex
	served map[*connection]bool
	// closed is true once no connection is served any more.
	closed bool
}

// add reports false where no connection is served any more.
func (c *connections) add(served *connection) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return false
	}
	if c.served == nil {
		c.served = map[*connection]bool{}
	}
	c.served[served] = true
	return true
}

// closeAll closes all of them, and has add take no further one.
func (c *connections) closeAll() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for connection := range c.served {
		_ = connection.caller.Close() // One that cannot be closed is closed already.
	}
}

func (c *connections) remove(served *connection) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.served, served)
}

// undelivered returns how many of them have an answer that may not have arrived.
func (c *connections) undelivered(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.served {
		if connection.undelivered(now) {
			count++
		}
	}
	return count
}

// receiving returns on how many of them the caller is sending a request.
func (c *connections) receiving(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	count := 0
	for connection := range c.served {
		if connection.receiving(now) {
			count++
		}
	}
	return count
}

// New returns a server.
func New(config Config) *Server {
	if config.Limits == (Limits{}) {
		config.Limits = DefaultLimits
	}
	return &Server{config: config, quota: quota{limits: config.Limits}}
}

// Open returns the number of requests that were read and are not answered yet.
func (s *Server) Open() int64 { return s.open.Load() }

// Undelivered returns the number of connections on which an answer was written that the end of the
// process could take away from its caller. It looks at each connection, and is for the end of
// the process.
func (s *Server) Undelivered() int { return s.connections.undelivered(time.Now()) }

// Receiving returns the number of connections on which the caller is sending a request that is not
// passed on yet, or a body that nobody reads. It looks at each connection, as Undelivered does.
func (s *Server) Receiving() int { return s.connections.receiving(time.Now()) }

// Unserved returns the number of connections so far that this side ended although bytes of requests
// had been read that it did not answer.
func (s *Server) Unserved() int64 { return s.unserved.Load() }

// Close closes all connections, as the end of the process does: nothing is read from them or written
// to them any more. Connections that are accepted later are closed.
func (s *Server) Close() { s.connections.closeAll() }

// Factory returns what the HTTP library registers under the name suite.HTTP1.
func (s *Server) Factory() suite.ServerFactory { return factory{s} }

// Listener wraps a listener whose connections come to the server.
func (s *Server) Listener(listener net.Listener) net.Listener {
	return callerListener{Listener: listener, headerTime: s.config.HeaderTime}
}

// OnAccept hands a connection that was accepted by Listener to the server.
func (s *Server) OnAccept(conn net.Conn) context.Context {
	return context.WithValue(context.Background(), callerKey{}, conn)
}

type factory struct{ server *Server }

// New implements suite.ServerFactory.
func (f factory) New(core suite.Core) (protocol.Server, error) {
	return protocolServer{server: f.server, core: core}, nil
}

// protocolServer serves with the library's pool of requests.
type protocolServer struct {
	server *Server
	core   suite.Core
}

// Serve implements protocol.Server; it returns when the connection is over. One that was not
// accepted by Server.Listener is not served.
func (p protocolServer) Serve(ctx context.Context, conn network.Conn) error {
	caller, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok {
		return nil
	}
	newConnection(p.server, p.core, conn, caller).serve()
	return nil
}

// callerKey is the context key under which the caller's connection is found.
type callerKey struct{}

type callerListener struct {
	net.Listener
	headerTime time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	caller := &callerConn{Conn: conn}
	caller.bound(l.headerTime)
	return caller, nil
}
