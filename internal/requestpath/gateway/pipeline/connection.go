package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// connection serves one caller's connection. One goroutine, the reader, reads it; any
// goroutine may use what mutex protects.
type connection struct {
	server *Server
	core   suite.Core
	conn   network.Conn
	caller *callerConn
	// ctx ends when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// wakeUp wakes the reader in awaitWake.
	wakeUp chan struct{}

	// mutex protects everything below.
	mutex sync.Mutex
	// open are the requests that were passed on and are not answered, oldest first.
	open []*Exchange
	// idleChanged is signalled when every answer has been written.
	idleChanged *sync.Cond
	// writing is true while one goroutine writes finished answers.
	writing bool
	// writtenAt is when the newest answer was written, longAnswerAt when the newest long one was.
	writtenAt, longAnswerAt time.Time
	// lingering is true once every answer was written and no request is read any more.
	lingering bool
	// sealed is true once no further request is passed on, and disconnected once the caller
	// has closed the connection or it broke.
	sealed, disconnected bool
	// behind is true while bytes may have been read of a request that is not passed on yet.
	behind bool
	// awaitingRequest is true while the reader waits for the first byte of a request, watching
	// while it is in watchUntil.
	awaitingRequest, watching bool
	// bytes are those of answers that wait for earlier ones.
	bytes int64
	// nextSentAhead is true when the request to be read next counts as sent ahead. Only the
	// reader uses it.
	nextSentAhead bool
	// dropped is true once a request that was read whole was not passed on. Only the reader uses it.
	dropped bool
}

// sendingPause is how long a caller may pause amid a request before it counts as not sending.
const sendingPause = time.Second

func newConnection(server *Server, core suite.Core, conn network.Conn, caller *callerConn) *connection {
	c := &connection{server: server, core: core, conn: conn, caller: caller, wakeUp: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.idleChanged = sync.NewCond(&c.mutex)
	return c
}

// serve reads requests until the connection is over, and returns when all that were passed on
// have ended.
func (c *connection) serve() {
	defer c.cancel()
	if !c.server.connections.add(c) {
		return
	}
	defer c.server.connections.remove(c)
	for c.next() {
	}
	c.seal()
	c.watchUntil(c.idle)
	c.mutex.Lock()
	for !c.idle() {
		c.idleChanged.Wait()
	}
	disconnected := c.disconnected
	c.mutex.Unlock()
	c.server.quota.forget(c)
	if disconnected {
		return
	}
	c.noteUnserved()
	c.setLingering()
	_, secure := c.conn.(network.ConnTLSer)
	c.caller.linger(c.server.config.LingerTime, !secure)
}

func (c *connection) setLingering() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingering = true
}

// undelivered reports whether the end of the process could take an answer away that was written:
// its caller was told that the connection closes and has not closed it yet, or the caller's system
// has not acknowledged all of it. After the linger time neither is waited for.
func (c *connection) undelivered(now time.Time) bool {
	c.mutex.Lock()
	lingering, writtenAt := c.lingering, c.writtenAt
	c.mutex.Unlock()
	if lingering {
		return true
	}
	return now.Sub(writtenAt) < c.server.config.LingerTime && socket.Unacknowledged(c.caller.Conn) > 0
}

// receiving reports whether the caller is sending a request, or a body that is dropped because its
// request was answered: the end of the process would meet it amid that, and it might lose its answer
// too. A caller that pauses is not waited for, but what the system holds of it is.
func (c *connection) receiving(now time.Time) bool {
	c.mutex.Lock()
	behind, lingering := c.behind, c.lingering
	c.mutex.Unlock()
	if lingering {
		return false
	}
	return behind && now.Sub(c.caller.lastReceived()) < sendingPause || socket.Unread(c.caller.Conn) > 0
}

// noteUnserved reports what was read of requests that nobody will answer. Only the reader may
// call it.
func (c *connection) noteUnserved() {
	bytes := c.conn.Len() + c.caller.held()
	if bytes == 0 && !c.dropped {
		return
	}
	c.server.unserved.Add(1)
	if report := c.server.config.Unserved; report != nil {
		report(bytes)
	}
}

// idle reports whether no request is open and every answer was written. The caller holds
// mutex.
func (c *connection) idle() bool { return len(c.open) == 0 && !c.writing }

// passOn hands an exchange to the handler; it reports false when the connection was sealed
// meanwhile.
func (c *connection) passOn(exchange *Exchange) bool {
	request := exchange.Request
	// The body's reader notes it for a long body, at its end.
	behind := exchange.Body == nil && c.holdsBytes()
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		c.dropped = true
		c.recycle(exchange)
		return false
	}
	exchange.final = exchange.final || request.Request.Header.ConnectionClose()
	c.sealed, c.behind = exchange.final, behind
	c.open = append(c.open, exchange)
	c.server.open.Add(1)
	c.mutex.Unlock()
	go c.handle(exchange)
	return true
}

// holdsBytes reports whether bytes were read that nobody asked for yet. Only the goroutine that
// reads the connection may call it.
func (c *connection) holdsBytes() bool { return c.conn.Len() > 0 || c.caller.held() > 0 }

// setBehind records whether bytes behind the requests passed on were read.
func (c *connection) setBehind(behind bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.behind = behind
}

// handle runs the handler for one exchange and finishes it.
func (c *connection) handle(exchange *Exchange) {
	c.server.config.Handle(c.ctx, exchange)
	if exchange.Body != nil {
		c.endBody(exchange)
	}
	c.finish(exchange)
}

// endBody ends the use of an exchange's body. Where some of it was not read, the answer closes the
// connection unless the reader goes on behind the rest: requests may have been sent behind it.
func (c *connection) endBody(exchange *Exchange) {
	rest := exchange.Body.stop()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	exchange.final = exchange.final || rest == restLeft
}

// seal lets no further request be passed on.
func (c *connection) seal() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sealed = true
}

func (c *connection) isSealed() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.sealed
}

// disconnect records that the caller disconnected and ends its requests.
func (c *connection) disconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disconnectLocked()
}

// disconnectLocked is disconnect for a caller that holds mutex.
func (c *connection) disconnectLocked() {
	c.disconnected, c.sealed = true, true
	c.cancel()
	c.caller.interrupt()
}

// disconnectUnlessSealed is disconnect, unless this side ended the reading.
func (c *connection) disconnectUnlessSealed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.sealed {
		c.disconnectLocked()
	}
}

func (c *connection) isDisconnected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.disconnected
}

// recycle gives an exchange's request back to the library's pool, once its last user is done.
func (c *connection) recycle(exchange *Exchange) {
	if exchange.users.Add(-1) > 0 {
		return
	}
	if exchange.sentAhead {
		c.server.quota.releaseRequest()
	}
	exchange.Request.Reset()
	c.core.GetCtxPool().Put(exchange.Request)
}
