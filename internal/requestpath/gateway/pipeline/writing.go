package pipeline

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// maxClosingAnswerBytes is the longest answer that closes a connection because the daemon stops, in
// bytes. 13 ms on a link of 10 Mbit/s, a few ways of the network.
const maxClosingAnswerBytes = 16 << 10

// isLong reports whether an exchange's answer is longer than maxClosingAnswerBytes, or may be.
func isLong(exchange *Exchange) bool {
	return exchange.begun || len(exchange.Request.Response.BodyBytes()) > maxClosingAnswerBytes
}

// earlierAnswers returns a channel that is closed when all answers before that of an exchange
// have been written; nil when they have.
func (c *connection) earlierAnswers(exchange *Exchange) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange && !c.writing {
		return nil
	}
	if exchange.isOldest == nil {
		exchange.isOldest = make(chan struct{})
	}
	return exchange.isOldest
}

// decideEnd decides whether the answer of the oldest exchange closes the
// connection; nothing is passed on behind it then. The caller holds mutex.
//
// This is decided no sooner than when the answer is written, and never while a request behind it
// was read, is being read or lies with the system: that one would end without an answer. Decided when a request was
// passed on, a planned stop lost 20 to 28 requests of callers that send ahead in 10 s on six
// daemons (TestPlannedWorkLosesNoRequest).
//
// Neither does an answer close it that is long, or that comes behind a long one whose caller may
// still be reading: what a caller sends until it has read of the close would be lost. Answers of
// 300 kB that are read at 10 Mbit/s cost 7 requests in three such days.
func (c *connection) decideEnd(exchange *Exchange) {
	if exchange.final || exchange.begun || len(c.open) > 1 || c.behind || !c.server.config.Stopping() {
		return
	}
	if isLong(exchange) || time.Since(c.longAnswerAt) < c.server.config.LingerTime ||
		socket.Unacknowledged(c.caller.Conn) > maxClosingAnswerBytes {
		return
	}
	if socket.Unread(c.caller.Conn) > 0 {
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

// hasBehind reports whether a request behind an exchange was read, or is being read.
func (c *connection) hasBehind(exchange *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.behind || c.open[len(c.open)-1] != exchange
}

// hold counts the bytes of an answer that waits for earlier ones; see Exchange.Hold.
func (c *connection) hold(exchange *Exchange, bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange {
		return true
	}
	if c.bytes+bytes > c.server.quota.limits.BytesPerConnection || !c.server.quota.acquireBytes(bytes) {
		return false
	}
	c.bytes += bytes
	exchange.bytes += bytes
	return true
}

// finish records that an exchange was handled. Whoever finishes the oldest one
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

// writeNext writes the oldest answer. It reports false, and ends the writing, when that is not
// finished.
func (c *connection) writeNext() bool {
	exchange := c.nextFinished()
	if exchange == nil {
		return false
	}
	if c.isDisconnected() || c.write(exchange) != nil {
		c.disconnect()
	}
	c.removeOldest(exchange)
	return true
}

// nextFinished returns the oldest exchange when it is finished. Otherwise it flushes what was
// written and lets that exchange write its answer later.
func (c *connection) nextFinished() *Exchange {
	for flushed := false; ; flushed = true {
		c.mutex.Lock()
		if len(c.open) > 0 && c.open[0].done {
			exchange := c.open[0]
			c.decideEnd(exchange)
			c.mutex.Unlock()
			return exchange
		}
		if flushed || c.disconnected {
			c.stopWriting()
			c.mutex.Unlock()
			return nil
		}
		c.mutex.Unlock()
		if c.conn.Flush() != nil {
			c.disconnect()
		}
	}
}

// stopWriting ends the writing and lets the oldest exchange write. The caller holds mutex.
func (c *connection) stopWriting() {
	c.writing = false
	c.writtenAt = time.Now()
	if len(c.open) == 0 {
		c.becomeIdle()
		return
	}
	if isOldest := c.open[0].isOldest; isOldest != nil {
		close(isOldest)
		c.open[0].isOldest = nil
	}
}

// becomeIdle wakes whoever waits for idle and bounds how long the connection may stay so. The
// caller holds mutex.
func (c *connection) becomeIdle() {
	c.idleChanged.Broadcast()
	c.wakeLocked()
	switch {
	case c.sealed:
		c.caller.interrupt()
	case c.awaitingRequest:
		c.boundIdle()
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

// removeOldest removes the oldest exchange, whose answer was written or given up.
func (c *connection) removeOldest(exchange *Exchange) {
	long := isLong(exchange)
	c.mutex.Lock()
	if long {
		c.longAnswerAt = time.Now()
	}
	c.open[0] = nil
	c.open = c.open[1:]
	c.bytes -= exchange.bytes
	c.wakeLocked()
	c.mutex.Unlock()
	c.server.open.Add(-1)
	c.server.quota.releaseBytes(exchange.bytes)
	c.recycle(exchange)
}
