package pipeline

import (
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"

	"github.com/lapisvane/lapisvane/internal/shared/containment"
)

// lengthUntilClose is the library's content length for a message that ends with its connection. The
// library reports it for a request without a length, which has no body.
const lengthUntilClose = -2

// continueResponse is the interim answer to a request with "Expect: 100-continue".
const continueResponse = "HTTP/1.1 100 Continue\r\n\r\n"

// serveNext reads one request and dispatches it. It reports whether another one may follow.
func (c *connection) serveNext() bool {
	if !c.awaitRequest() || !c.watchUntil(maxLookaheadBytes, c.hasRoom) {
		return false
	}
	exchange := c.newExchange()
	if err := c.readHead(exchange); err != nil {
		return c.dispatchFault(exchange, err)
	}
	if err := c.readBody(exchange); err != nil {
		return c.dispatchFault(exchange, err)
	}
	if exchange.Body == nil {
		return c.dispatch(exchange) && c.mayReadNext()
	}
	// The reader needs the request until the body is read or discarded, which may be after the
	// answer was written.
	exchange.references.Add(1)
	defer c.recycle(exchange)
	return c.dispatch(exchange) && c.awaitBody(exchange.Body) && c.mayReadNext()
}

// awaitRequest waits for the first byte of a request. It reports false if none will be read.
func (c *connection) awaitRequest() bool {
	c.mutex.Lock()
	if c.sealed {
		c.mutex.Unlock()
		return false
	}
	c.awaitingRequest, c.awaitingSince, c.pendingInput = true, time.Now(), c.hasBufferedInput()
	c.setIdleTimeout()
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
	c.pendingInput = true
	return true
}

// setIdleTimeout bounds the wait for the next request by IdleTimeout, or removes the bound while a
// request is open. The caller holds mutex.
func (c *connection) setIdleTimeout() {
	if len(c.open) > 0 {
		c.caller.setReadTimeout(0)
		return
	}
	c.caller.setReadTimeout(c.server.config.IdleTimeout)
}

// newExchange returns an exchange for the next request to be read.
func (c *connection) newExchange() *Exchange {
	request := c.core.GetCtxPool().Get().(*app.RequestContext)
	request.SetConn(c.conn)
	request.Response.Header.SetNoDefaultDate(true)
	request.Response.Header.SetNoDefaultContentType(true)
	exchange := &Exchange{Request: request, conn: c, sentAhead: c.nextSentAhead}
	exchange.references.Store(1)
	c.nextSentAhead = false
	return exchange
}

// readHead reads a request's head and checks it.
func (c *connection) readHead(exchange *Exchange) error {
	limits := c.server.config.HeadLimits()
	c.conn.LimitSection(limits.Bytes)
	c.mutex.Lock()
	c.caller.setReadTimeout(limits.Timeout)
	sealed := c.sealed
	c.mutex.Unlock()
	if sealed {
		return io.ErrClosedPipe
	}
	request := &exchange.Request.Request
	if err := c.parseHead(&request.Header, limits.Bytes); err != nil {
		return err
	}
	exchange.ArrivedAt = time.Now()
	return c.server.config.Check(exchange.Request)
}

// parseHead reads a head of at most limit bytes. It holds no mutex, so that a panic in the library's parser
// ends the connection only.
func (c *connection) parseHead(head *protocol.RequestHeader, limit int) (err error) {
	defer containment.Recover("reading a head", func(cause error) { err = cause })
	return req.ReadHeaderWithLimit(head, c.conn, limit)
}

// readBody reads a short body into memory and prepares a long or chunked one for streaming.
func (c *connection) readBody(exchange *Exchange) error {
	request := &exchange.Request.Request
	if request.MayContinue() {
		if err := c.sendContinue(); err != nil {
			return err
		}
	}
	length := int64(request.Header.ContentLength())
	if length == 0 || length == lengthUntilClose {
		return nil
	}
	if length < 0 {
		return c.prepareChunkedBody(exchange)
	}
	if length > int64(c.server.config.MaxBodyBytes) {
		return hertzerrors.ErrBodyTooLarge
	}
	if length > c.server.config.MaxBufferedBodyBytes || !exchange.reserveBody(length) {
		exchange.Body = newBody(c, c.conn, length)
		return nil
	}
	_, err := io.ReadFull(c.conn, exchange.BufferedBody)
	return err
}

// prepareChunkedBody prepares a chunked body for streaming. The library's reader decodes the chunks.
func (c *connection) prepareChunkedBody(exchange *Exchange) (err error) {
	defer containment.Recover("reading a body", func(cause error) { err = cause })
	request := &exchange.Request.Request
	if err := req.ContinueReadBodyStream(request, c.conn, c.server.config.MaxBodyBytes, false); err != nil {
		return err
	}
	exchange.Body = newBody(c, request.BodyStream(), lengthUnknown)
	return nil
}

// sendContinue sends the interim answer that a caller expects before it sends a body. It first waits
// until all earlier answers have been written.
func (c *connection) sendContinue() error {
	if !c.watchUntil(maxLookaheadBytes, c.idle) {
		return io.ErrClosedPipe
	}
	c.caller.setReadTimeout(c.server.config.BodyIdleTimeout)
	if _, err := c.conn.WriteBinary([]byte(continueResponse)); err != nil {
		return err
	}
	return c.conn.Flush()
}

// awaitBody waits until the handler is done with a body, and discards its unread part. Until the handler
// reads the body, which may take long while the request waits for an instance, it detects a disconnect of
// the caller. It reports whether another request can be read behind the body.
func (c *connection) awaitBody(body *Body) bool {
	// A disconnect cancels the request, so that its handler releases the body.
	c.watchUntil(maxBodyLookaheadBytes, body.isClaimed)
	close(body.watched)
	<-body.released
	if c.isSealed() {
		return false
	}
	if !body.discardUnread() {
		c.seal()
		return false
	}
	return true
}

// mayReadNext reports whether another request may be read, and releases the library's read buffer if
// so.
func (c *connection) mayReadNext() bool {
	if c.isSealed() {
		return false
	}
	// The library's release of its buffer always returns nil.
	_ = c.conn.Release()
	return true
}

// dispatchFault dispatches a request that could not be read, so that the error is answered after all
// earlier requests. It always returns false, since nothing is read behind such a request. There is
// no answer if the caller disconnected.
func (c *connection) dispatchFault(exchange *Exchange, err error) bool {
	fault := faultOf(err)
	if fault == nil || c.isSealed() {
		c.recycle(exchange)
		c.disconnectUnlessSealed()
		return false
	}
	exchange.Fault = fault
	if exchange.ArrivedAt.IsZero() {
		exchange.ArrivedAt = time.Now()
	}
	exchange.Body = nil
	exchange.closesConnection = true
	c.dispatch(exchange)
	return false
}
