package pipeline

import (
	"net"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/pkg/errors"
)

// isConnectionError reports whether err is one of the network itself.
func isConnectionError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && !operation.Timeout()
}

// turnOf returns what is closed at an exchange's turn; nil when that has come.
func (c *connection) turnOf(exchange *Exchange) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange && !c.writing {
		return nil
	}
	if exchange.turn == nil {
		exchange.turn = make(chan struct{})
	}
	return exchange.turn
}

// begin prepares the head of an answer that is written in pieces.
func (c *connection) begin(exchange *Exchange) {
	c.mutex.Lock()
	c.decideEnd(exchange)
	exchange.begun = true
	c.mutex.Unlock()
	c.setPersistence(exchange)
}

// decideEnd decides whether the answer of the oldest exchange closes the
// connection; nothing is passed on behind it then. The caller holds mutex.
func (c *connection) decideEnd(exchange *Exchange) {
	if exchange.final || exchange.begun || len(c.open) > 1 || !c.server.config.Stopping() {
		return
	}
	exchange.final, c.sealed = true, true
}

// setPersistence adds the fields that tell whether the connection stays.
func (c *connection) setPersistence(exchange *Exchange) {
	header := &exchange.Request.Response.Header
	switch {
	case exchange.final:
		header.SetConnectionClose(true)
		header.Set("Connection", "close")
	case !exchange.Request.Request.Header.IsHTTP11():
		header.Set("Connection", "keep-alive")
	}
}

// hold counts the bytes of an answer before its turn; see Exchange.Hold.
func (c *connection) hold(exchange *Exchange, bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange {
		return true
	}
	if c.bytes+bytes > c.server.quota.limits.BytesPerConnection || !c.server.quota.takeBytes(bytes) {
		return false
	}
	c.bytes += bytes
	exchange.bytes += bytes
	return true
}

// finish notes that an exchange was handled. Whoever finishes the oldest one
// writes its answer and those behind it that are finished already.
func (c *connection) finish(exchange *Exchange) {
	c.mutex.Lock()
	exchange.done = true
	if c.writing || c.open[0] != exchange {
		c.mutex.Unlock()
		return
	}
	c.writing = true
	c.mutex.Unlock()
	for c.writeNext() {
	}
}

// writeNext writes the oldest answer. It reports false, and gives up writing, when
// that is not finished.
func (c *connection) writeNext() bool {
	exchange := c.nextFinished()
	if exchange == nil {
		return false
	}
	if c.isGone() || c.write(exchange) != nil {
		c.hangUp()
	}
	c.end(exchange)
	return true
}

// nextFinished returns the oldest exchange when it is finished. Otherwise what was
// written is sent, and the turn is given to that exchange.
func (c *connection) nextFinished() *Exchange {
	for flushed := false; ; flushed = true {
		c.mutex.Lock()
		if len(c.open) > 0 && c.open[0].done {
			exchange := c.open[0]
			c.decideEnd(exchange)
			c.mutex.Unlock()
			return exchange
		}
		if flushed || c.gone {
			c.giveTurn()
			c.mutex.Unlock()
			return nil
		}
		c.mutex.Unlock()
		if c.conn.Flush() != nil {
			c.hangUp()
		}
	}
}

// giveTurn ends the writing and tells the oldest exchange that its turn has come.
// The caller holds mutex.
func (c *connection) giveTurn() {
	c.writing = false
	if len(c.open) == 0 {
		c.rest()
		return
	}
	if turn := c.open[0].turn; turn != nil {
		close(turn)
		c.open[0].turn = nil
	}
}

// rest notes that nothing is open. The caller holds mutex.
func (c *connection) rest() {
	c.resting.Broadcast()
	c.wakeLocked()
	switch {
	case c.sealed:
		c.caller.interrupt()
	case c.awaiting:
		c.boundRest()
	}
}

// write writes a finished answer. An error means that the caller cannot read on.
func (c *connection) write(exchange *Exchange) error {
	request := exchange.Request
	if writer := request.Response.GetHijackWriter(); writer != nil {
		return writer.Finalize()
	}
	c.setPersistence(exchange)
	if request.Request.Header.IsHead() {
		request.Response.SkipBody = true
	}
	return resp.Write(&request.Response, c.conn)
}

func (c *connection) isGone() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.gone
}

// end removes the oldest exchange.
func (c *connection) end(exchange *Exchange) {
	c.mutex.Lock()
	c.open[0] = nil
	c.open = c.open[1:]
	c.bytes -= exchange.bytes
	c.wakeLocked()
	c.mutex.Unlock()
	c.server.open.Add(-1)
	c.server.quota.endBytes(exchange.bytes)
	c.recycle(exchange)
}

// recycle gives an exchange's request back to the library's pool.
func (c *connection) recycle(exchange *Exchange) {
	if exchange.ahead {
		c.server.quota.endRequest()
	}
	exchange.Request.Reset()
	c.core.GetCtxPool().Put(exchange.Request)
}
