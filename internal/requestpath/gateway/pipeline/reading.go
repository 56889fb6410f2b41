package pipeline

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

// lengthUntilClose is what the library states for a request without a length, which has no
// body.
const lengthUntilClose = -2

// interimContinue asks for the body of a request that was sent with "Expect: 100-continue".
const interimContinue = "HTTP/1.1 100 Continue\r\n\r\n"

// next reads one request and passes it on. It reports whether another one may follow.
func (c *connection) next() bool {
	if !c.awaitRequest() || !c.watchUntil(c.hasRoom) {
		return false
	}
	exchange := c.newExchange()
	if err := c.readHead(exchange); err != nil {
		return c.passOnFault(exchange, err)
	}
	if err := c.readBody(exchange); err != nil {
		return c.passOnFault(exchange, err)
	}
	if exchange.Body == nil {
		return c.passOn(exchange) && c.readsOn()
	}
	// The answer may be written before the rest of the body is read.
	exchange.users.Add(1)
	defer c.recycle(exchange)
	return c.passOn(exchange) && c.awaitBody(exchange.Body) && c.readsOn()
}

// awaitRequest waits for the first byte of a request.
func (c *connection) awaitRequest() bool {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return false
	}
	c.awaitingRequest, c.behind = true, c.holdsBytes()
	c.boundIdle()
	c.mutex.Unlock()
	_, err := c.conn.Peek(1)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.awaitingRequest = false
	if c.sealed {
		return false
	}
	if err != nil {
		c.disconnectLocked()
		return false
	}
	c.behind = true
	return true
}

// boundIdle bounds how long the connection may stay without a request; there is no bound while
// one is open. The caller holds mutex.
func (c *connection) boundIdle() {
	if len(c.open) > 0 {
		c.caller.bound(0)
		return
	}
	c.caller.bound(c.server.config.IdleTime)
}

// newExchange returns an exchange for the request to be read.
func (c *connection) newExchange() *Exchange {
	request := c.core.GetCtxPool().Get().(*app.RequestContext)
	request.SetConn(c.conn)
	request.Response.Header.SetNoDefaultDate(true)
	request.Response.Header.SetNoDefaultContentType(true)
	exchange := &Exchange{Request: request, conn: c, sentAhead: c.nextSentAhead}
	exchange.users.Store(1)
	c.nextSentAhead = false
	return exchange
}

// readHead reads a request's head and checks it.
func (c *connection) readHead(exchange *Exchange) error {
	c.mutex.Lock()
	c.caller.bound(c.server.config.HeaderTime)
	sealed := c.sealed
	c.mutex.Unlock()
	if sealed {
		return io.ErrClosedPipe
	}
	request := &exchange.Request.Request
	if err := req.ReadHeaderWithLimit(&request.Header, c.conn, c.server.config.MaxHeaderBytes); err != nil {
		return err
	}
	exchange.Arrived = time.Now()
	return c.server.config.Check(exchange.Request)
}

// readBody reads a short body whole and prepares a long one for reading.
func (c *connection) readBody(exchange *Exchange) error {
	request := &exchange.Request.Request
	if request.MayContinue() {
		if err := c.askForBody(); err != nil {
			return err
		}
	}
	length := int64(request.Header.ContentLength())
	if length == 0 || length == lengthUntilClose {
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

// askForBody sends the interim answer that a caller waits for before it sends a body, once all
// earlier answers have been written.
func (c *connection) askForBody() error {
	if !c.watchUntil(c.idle) {
		return io.ErrClosedPipe
	}
	c.caller.bound(c.server.config.BodyIdle)
	if _, err := c.conn.WriteBinary([]byte(interimContinue)); err != nil {
		return err
	}
	return c.conn.Flush()
}

// awaitBody waits until the body of a request has been read, by its handler or to be dropped. It
// reports whether another request can be read behind it.
func (c *connection) awaitBody(body *Body) bool {
	<-body.released
	if c.isSealed() {
		return false
	}
	if !body.discardRest() {
		c.seal()
		return false
	}
	return true
}

// readsOn reports whether another request is read.
func (c *connection) readsOn() bool {
	if c.isSealed() {
		return false
	}
	// The library's release of its buffer always returns nil.
	_ = c.conn.Release()
	return true
}

// passOnFault passes on a request that cannot be read, which is answered after all earlier ones.
// It returns false: nothing is read behind it. A caller that disconnected gets no answer.
func (c *connection) passOnFault(exchange *Exchange, err error) bool {
	fault := faultOf(err)
	if fault == nil || c.isSealed() {
		c.recycle(exchange)
		c.disconnectUnlessSealed()
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
