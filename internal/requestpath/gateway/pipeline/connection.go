package pipeline

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// interimContinue is the answer that asks for the body of a request that waits
// to be asked.
const interimContinue = "HTTP/1.1 100 Continue\r\n\r\n"

// connection serves one caller's connection.
type connection struct {
	server *Server
	core   suite.Core
	conn   network.Conn
	caller *callerConn
	// ctx ends when the caller hangs up.
	ctx    context.Context
	cancel context.CancelFunc
	// room wakes the reader where it waits and has read ahead all that it may.
	room chan struct{}

	// mutex protects everything below.
	mutex sync.Mutex
	// open are the requests that were passed on and are not answered, oldest
	// first.
	open []*Exchange
	// resting is signalled when every answer has been written.
	resting *sync.Cond
	// writing is true while one goroutine writes finished answers.
	writing bool
	// sealed is true once no further request is passed on, and gone once the
	// caller is not there any more.
	sealed, gone bool
	// awaiting is true while the reader waits for the first byte of a request,
	// watching while it only looks for a hang-up.
	awaiting, watching bool
	// bytes are those of answers at hand before their turn.
	bytes int64
	// ahead is true when the request to be read next counts as sent ahead. Only
	// the reader uses it.
	ahead bool
}

func newConnection(server *Server, core suite.Core, conn network.Conn, caller *callerConn) *connection {
	c := &connection{server: server, core: core, conn: conn, caller: caller, room: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.resting = sync.NewCond(&c.mutex)
	return c
}

// serve reads requests until the connection is over, and returns when all that
// were passed on have ended.
func (c *connection) serve() {
	defer c.cancel()
	for c.next() {
	}
	c.seal()
	c.watch(c.atRest)
	c.mutex.Lock()
	for !c.atRest() {
		c.resting.Wait()
	}
	gone := c.gone
	c.mutex.Unlock()
	c.server.quota.forget(c)
	if !gone {
		_, secure := c.conn.(network.ConnTLSer)
		c.caller.discard(c.server.config.LingerTime, !secure)
	}
}

// atRest reports whether every answer has been written. The caller holds mutex.
func (c *connection) atRest() bool { return len(c.open) == 0 && !c.writing }

// next reads one request and passes it on. It reports whether another one may
// follow.
func (c *connection) next() bool {
	if !c.awaitRequest() || !c.awaitRoom() {
		return false
	}
	exchange := c.newExchange()
	if err := c.readHead(exchange); err != nil {
		return c.endsReading(exchange, err)
	}
	if err := c.readBody(exchange); err != nil {
		return c.endsReading(exchange, err)
	}
	body := exchange.Body
	if !c.passOn(exchange) {
		return false
	}
	return c.awaitBody(body)
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest() bool {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return false
	}
	c.awaiting = true
	c.boundRest()
	c.mutex.Unlock()
	_, err := c.conn.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awaiting = false
	if c.sealed {
		return false
	}
	if err != nil {
		c.leave()
		return false
	}
	return true
}

// boundRest bounds how long the connection may rest: not at all while a request
// is open. The caller holds mutex.
func (c *connection) boundRest() {
	if len(c.open) > 0 {
		c.caller.bound(0)
		return
	}
	c.caller.bound(c.server.config.IdleTime)
}

// awaitRoom waits until another request may be passed on.
func (c *connection) awaitRoom() bool { return c.watch(c.hasRoom) }

// hasRoom reports whether another request may be passed on. The caller holds
// mutex. The first open request of a connection always may.
func (c *connection) hasRoom() bool {
	limits := &c.server.quota.limits
	if len(c.open) == 0 {
		return true
	}
	if len(c.open) >= limits.RequestsPerConnection || c.bytes >= limits.BytesPerConnection {
		return false
	}
	c.ahead = c.server.quota.takeRequest(c)
	return c.ahead
}

// watch reads ahead, to see a hang-up, until enough returns true; that is called
// with mutex held. It reports false when the caller is gone.
func (c *connection) watch(enough func() bool) bool {
	for {
		c.mutex.Lock()
		if c.gone {
			c.mutex.Unlock()
			return false
		}
		if enough() {
			c.mutex.Unlock()
			return true
		}
		c.watching = true
		c.caller.bound(0)
		c.mutex.Unlock()
		full, err := c.caller.readAhead()
		if full {
			c.awaitWake()
		}
		c.mutex.Lock()
		c.watching = false
		if err != nil {
			c.leave()
		}
		c.mutex.Unlock()
	}
}

// awaitWake waits until something changed for a reader that may not read.
func (c *connection) awaitWake() {
	select {
	case <-c.room:
	case <-c.ctx.Done():
	}
}

// wake makes the reader look again whether it may go on.
func (c *connection) wake() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.wakeLocked()
}

func (c *connection) wakeLocked() {
	if !c.watching {
		return
	}
	c.caller.interrupt()
	select {
	case c.room <- struct{}{}:
	default:
	}
}

// newExchange returns an exchange for the request to be read.
func (c *connection) newExchange() *Exchange {
	request := c.core.GetCtxPool().Get().(*app.RequestContext)
	request.SetConn(c.conn)
	request.Response.Header.SetNoDefaultDate(true)
	request.Response.Header.SetNoDefaultContentType(true)
	exchange := &Exchange{Request: request, conn: c, ahead: c.ahead}
	c.ahead = false
	return exchange
}

// readHead reads a request's head and checks it.
func (c *connection) readHead(exchange *Exchange) error {
	if !c.boundHead() {
		return io.ErrClosedPipe
	}
	request := &exchange.Request.Request
	if err := req.ReadHeaderWithLimit(&request.Header, c.conn, c.server.config.MaxHeaderBytes); err != nil {
		return err
	}
	exchange.Arrived = time.Now()
	return c.server.config.Check(exchange.Request)
}

// boundHead bounds the reading of a request's head. It reports false when no
// request is passed on any more.
func (c *connection) boundHead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.caller.bound(c.server.config.HeaderTime)
	return !c.sealed
}

// readBody takes in a short body whole and prepares a long one for reading.
func (c *connection) readBody(exchange *Exchange) error {
	request := &exchange.Request.Request
	if request.MayContinue() {
		if err := c.askForBody(); err != nil {
			return err
		}
	}
	length := int64(request.Header.ContentLength())
	if length == 0 || length == -2 {
		return nil
	}
	if length < 0 {
		return c.openChunks(exchange)
	}
	if length > int64(c.server.config.MaxBodyBytes) {
		return hertzerrors.ErrBodyTooLarge
	}
	if length > c.server.config.ShortBodyBytes {
		exchange.Body = newBody(c, c.conn, length)
		return nil
	}
	exchange.Content = make([]byte, length)
	_, err := io.ReadFull(c.conn, exchange.Content)
	return err
}

// openChunks prepares a body in chunks, which the library's reader decodes.
func (c *connection) openChunks(exchange *Exchange) error {
	request := &exchange.Request.Request
	if err := req.ContinueReadBodyStream(request, c.conn, c.server.config.MaxBodyBytes, false); err != nil {
		return err
	}
	exchange.Body = newBody(c, request.BodyStream(), lengthUnknown)
	return nil
}

// askForBody sends the interim answer that a caller waits for before it sends a
// body, once all answers ahead have been written.
func (c *connection) askForBody() error {
	if !c.watch(c.atRest) {
		return io.ErrClosedPipe
	}
	c.caller.bound(c.server.config.BodyIdle)
	if _, err := c.conn.WriteBinary([]byte(interimContinue)); err != nil {
		return err
	}
	return c.conn.Flush()
}

// endsReading passes a request that cannot be read on as a fault, which is
// answered behind all others; nothing is read after it. A caller that is gone
// gets no answer.
func (c *connection) endsReading(exchange *Exchange, err error) bool {
	fault := faultOf(err)
	if fault == nil || c.isSealed() {
		c.recycle(exchange)
		c.leaveUnlessSealed()
		return false
	}
	exchange.Fault = fault
	if exchange.Arrived.IsZero() {
		exchange.Arrived = time.Now()
	}
	exchange.Body = nil
	exchange.final = true
	c.passOn(exchange)
	return false
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

// leaveUnlessSealed notes that the caller is gone, unless the reading was ended
// from this side.
func (c *connection) leaveUnlessSealed() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.sealed {
		c.leave()
	}
}

// faultOf returns the numbered error that answers a request that cannot be read;
// nil where the caller is gone.
func faultOf(err error) error {
	var coded *result.Error
	switch {
	case errors.As(err, &coded):
		return err
	case isTimeout(err):
		return result.Wrap(result.CallRequestTimeout, err, "reading the request")
	case errors.Is(err, hertzerrors.ErrHeaderTooLarge):
		return result.Wrap(result.CallHeadTooLarge, err, "reading the request")
	case errors.Is(err, hertzerrors.ErrBodyTooLarge):
		return result.Wrap(result.CallBodyTooLarge, err, "reading the request")
	case isHangUp(err):
		return nil
	default:
		return result.Wrap(result.CallBadRequest, err, "reading the request")
	}
}

// passOn hands an exchange to the handler, unless the connection was closed for
// further requests meanwhile.
func (c *connection) passOn(exchange *Exchange) bool {
	request := exchange.Request
	stopping := c.server.config.Stopping()
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		c.recycle(exchange)
		return false
	}
	exchange.final = exchange.final || stopping || request.Request.Header.ConnectionClose()
	c.sealed = exchange.final
	c.open = append(c.open, exchange)
	c.server.open.Add(1)
	c.mutex.Unlock()
	go c.handle(exchange)
	return true
}

// handle sees one exchange through.
func (c *connection) handle(exchange *Exchange) {
	c.server.config.Handle(c.ctx, exchange)
	if exchange.Body != nil && !exchange.Body.stop() {
		c.mutex.Lock()
		exchange.final = true
		c.mutex.Unlock()
	}
	c.finish(exchange)
}

// awaitBody waits until the body of a request has been read. It reports whether
// another request can be read behind it.
func (c *connection) awaitBody(body *Body) bool {
	if body != nil {
		<-body.over
	}
	if c.isSealed() {
		return false
	}
	_ = c.conn.Release()
	return true
}

// hangUp notes that the caller is gone and ends its requests.
func (c *connection) hangUp() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.leave()
}

// leave is hangUp for a caller that holds mutex.
func (c *connection) leave() {
	c.gone, c.sealed = true, true
	c.cancel()
	c.caller.interrupt()
}

// isHangUp reports whether an error of reading says that the caller is gone.
func isHangUp(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.ErrClosedPipe) ||
		errors.Is(err, hertzerrors.ErrNothingRead) || errors.Is(err, hertzerrors.ErrConnectionClosed) || isConnectionError(err)
}
