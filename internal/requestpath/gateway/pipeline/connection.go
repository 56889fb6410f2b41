package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/suite"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// connection serves one caller's connection. A single goroutine, the reader, reads from it; any
// goroutine may use the fields that mutex protects.
type connection struct {
	server *Server
	core   suite.Core
	// conn reads through caller. secure is true if it uses TLS.
	conn   *httpinput.Conn
	secure bool
	caller *callerConn
	// ctx ends when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// wakeUp wakes the reader in awaitWake.
	wakeUp chan struct{}

	// mutex protects everything below.
	mutex sync.Mutex
	// open holds the dispatched requests that are not answered yet, oldest first.
	open []*Exchange
	// becameIdle is signalled when every answer has been written.
	becameIdle *sync.Cond
	// writing is true while one goroutine writes finished answers.
	writing bool
	// lastWrittenAt is the time of the last written answer, lastLongAnswerAt that of the last long
	// answer (isLong).
	lastWrittenAt, lastLongAnswerAt time.Time
	// lingering is true once every answer was written and input is only read to be discarded.
	lingering bool
	// sealed is true once no further request is dispatched. disconnected is true once the caller
	// has closed the connection or the connection failed.
	sealed, disconnected bool
	// pendingInput is true while input may have been read that belongs to a request not yet
	// dispatched, or to a body that is being discarded.
	pendingInput bool
	// awaitingRequest is true while the reader waits for the first byte of a request, watching
	// while it is in watchUntil.
	awaitingRequest, watching bool
	// awaitingSince is the time at which awaitingRequest became true.
	awaitingSince time.Time
	// reservedBytes is the total size of answers held in memory until earlier ones are written.
	reservedBytes int64
	// nextSentAhead is true if the request to be read next counts towards Limits.PipelinedRequests.
	// Only the reader uses it.
	nextSentAhead bool
	// droppedRequest is true once a fully read request was not dispatched because the connection
	// was sealed. Only the reader uses it.
	droppedRequest bool
}

// maxSendingPause is the pause within a request after which the caller no longer counts as sending
// it.
const maxSendingPause = time.Second

func newConnection(server *Server, core suite.Core, conn network.Conn, caller *callerConn) *connection {
	// The limit for sections is set anew for each request.
	limits := httpinput.Limits{SectionBytes: httpinput.MinBufferBytes, Memory: server.config.InputMemory}
	c := &connection{server: server, core: core, conn: httpinput.Wrap(conn, limits), caller: caller, wakeUp: make(chan struct{}, 1)}
	_, c.secure = conn.(network.ConnTLSer)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.becameIdle = sync.NewCond(&c.mutex)
	return c
}

// serve reads requests until the connection ends, and returns when all dispatched requests have
// been answered or abandoned.
func (c *connection) serve() {
	defer c.cancel()
	defer c.caller.discardLookahead()
	defer c.conn.Discard()
	if !c.server.connections.add(c) {
		return
	}
	defer c.server.connections.remove(c)
	for c.serveNext() {
	}
	c.seal()
	c.watchUntil(maxLookaheadBytes, c.idle)
	c.mutex.Lock()
	for !c.idle() {
		c.becameIdle.Wait()
	}
	disconnected := c.disconnected
	c.mutex.Unlock()
	c.server.quota.remove(c)
	if disconnected {
		return
	}
	c.noteUnserved()
	c.setLingering()
	c.caller.linger(c.server.config.LingerTimeout, !c.secure)
}

func (c *connection) setLingering() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lingering = true
}

// hasUndelivered reports whether the caller could lose a written answer if the process ended now:
// either the last answer announced the close and the caller has not closed its side yet, or some
// sent bytes are not acknowledged. Both count only until LingerTimeout has passed.
func (c *connection) hasUndelivered(now time.Time) bool {
	c.mutex.Lock()
	lingering, writtenAt := c.lingering, c.lastWrittenAt
	c.mutex.Unlock()
	if lingering {
		return true
	}
	return now.Sub(writtenAt) < c.server.config.LingerTimeout && socket.Unacknowledged(c.caller.Conn) > 0
}

// isReceiving reports whether the caller is sending a request, or a body that is discarded because
// its request was answered. If the process ended now, the connection would be reset and the caller
// could also lose its answer. A caller that has paused for maxSendingPause does not count unless
// the socket's receive buffer holds unread input.
func (c *connection) isReceiving(now time.Time) bool {
	// Input moves from the socket to caller and then to the connection. It is looked for in this order, so
	// that it is not missed on its way.
	unread := socket.Unread(c.caller.Conn) > 0
	receivedAt := c.caller.lastReceivedAt()
	c.mutex.Lock()
	behind := c.pendingInput || c.awaitingRequest && receivedAt.After(c.awaitingSince)
	lingering := c.lingering
	c.mutex.Unlock()
	if lingering {
		return false
	}
	return unread || behind && now.Sub(receivedAt) < maxSendingPause
}

// idleState returns the state of a connection that waits for a request; idle is false if it does not.
func (c *connection) idleState() (state idleState, idle bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.idleStateLocked()
}

// idleStateLocked is idleState for a caller that holds mutex.
func (c *connection) idleStateLocked() (state idleState, idle bool) {
	if !c.awaitingRequest || c.sealed || c.pendingInput || !c.idle() || c.caller.lastReceivedAt().After(c.awaitingSince) {
		return idleState{}, false
	}
	state = idleState{served: !c.lastWrittenAt.IsZero(), since: c.awaitingSince}
	if c.lastWrittenAt.After(state.since) {
		state.since = c.lastWrittenAt
	}
	return state, true
}

// closeIdle ends the connection and returns true if it is idle and no request has arrived.
func (c *connection) closeIdle() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, idle := c.idleStateLocked(); !idle || socket.Unread(c.caller.Conn) > 0 {
		return false
	}
	c.disconnectLocked()
	return true
}

// noteUnserved counts and reports a connection that ends with input that will not be answered. Only
// the reader may call it.
func (c *connection) noteUnserved() {
	bytes := c.conn.Buffered() + c.caller.bufferedBytes()
	if bytes == 0 && !c.droppedRequest {
		return
	}
	c.server.unservedConnections.Add(1)
	if report := c.server.config.OnUnserved; report != nil {
		report(bytes)
	}
}

// idle reports whether no request is open and every answer was written. The caller holds
// mutex.
func (c *connection) idle() bool { return len(c.open) == 0 && !c.writing }

// dispatch starts the handler for an exchange. It reports false if the connection was sealed in the
// meantime.
func (c *connection) dispatch(exchange *Exchange) bool {
	request := exchange.Request
	// For a streamed body, Body.Read updates pendingInput at the end of the body.
	behind := exchange.Body == nil && c.hasBufferedInput()
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		c.droppedRequest = true
		c.recycle(exchange)
		return false
	}
	exchange.closesConnection = exchange.closesConnection || request.Request.Header.ConnectionClose()
	c.sealed, c.pendingInput = exchange.closesConnection, behind
	c.open = append(c.open, exchange)
	c.server.openRequests.Add(1)
	c.mutex.Unlock()
	go c.handle(exchange)
	return true
}

// hasBufferedInput reports whether input was read from the socket that is not yet consumed. Only the
// goroutine that reads the connection may call it.
func (c *connection) hasBufferedInput() bool {
	return c.conn.Buffered() > 0 || c.caller.bufferedBytes() > 0
}

// setPendingInput records whether input behind the dispatched requests was read.
func (c *connection) setPendingInput(pending bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingInput = pending
}

// handle runs the handler for one exchange and finishes it.
func (c *connection) handle(exchange *Exchange) {
	c.server.config.Handle(c.ctx, exchange)
	if exchange.Body != nil {
		c.endBody(exchange)
	}
	c.finish(exchange)
}

// endBody ends the use of an exchange's body. If part of the body stays unread, the answer closes
// the connection, because the reader cannot find the next request behind it.
func (c *connection) endBody(exchange *Exchange) {
	rest := exchange.Body.stop()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	exchange.closesConnection = exchange.closesConnection || rest == unreadLeft
}

// seal prevents further requests from being dispatched.
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

// disconnect records that the caller disconnected and cancels its requests.
func (c *connection) disconnect() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.disconnectLocked()
}

// disconnectLocked is disconnect for a caller that holds mutex.
func (c *connection) disconnectLocked() {
	c.disconnected, c.sealed = true, true
	c.cancel()
	c.caller.interruptRead()
}

// disconnectUnlessSealed calls disconnect unless the connection is sealed: then the read error was
// caused by this side, which stopped reading.
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

// recycle drops a reference to an exchange's request, and returns the request to the library's pool
// when it was the last one.
func (c *connection) recycle(exchange *Exchange) {
	if exchange.references.Add(-1) > 0 {
		return
	}
	if exchange.sentAhead {
		c.server.quota.releaseRequest()
	}
	exchange.releaseBody()
	exchange.Request.Reset()
	c.core.GetCtxPool().Put(exchange.Request)
}
