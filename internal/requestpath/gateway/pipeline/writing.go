package pipeline

import (
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// maxClosingAnswerBytes is the maximum size in bytes of an answer that may close a connection because
// the daemon stops. 16 KiB take 13 ms on a 10 Mbit/s link, a few one-way network delays.
const maxClosingAnswerBytes = 16 << 10

// isLong reports whether an exchange's answer is longer than maxClosingAnswerBytes. A streamed answer
// counts as long.
func isLong(exchange *Exchange) bool {
	return exchange.answerStarted || len(exchange.Request.Response.BodyBytes()) > maxClosingAnswerBytes
}

// earlierAnswersWritten returns a channel that is closed when all answers before that of exchange
// have been written, or nil if they are already written.
func (c *connection) earlierAnswersWritten(exchange *Exchange) <-chan struct{} {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange && !c.writing {
		return nil
	}
	if exchange.earlierWritten == nil {
		exchange.earlierWritten = make(chan struct{})
	}
	return exchange.earlierWritten
}

// decideClose decides whether the answer of the oldest exchange closes the connection because the
// daemon stops. If so, the connection is sealed. The caller holds mutex.
//
// The decision is made when the answer is written, and the connection stays open if a later request
// was read, is being read or is in the socket's receive buffer: that request would end without an
// answer. When the decision was made at dispatch, a planned stop of six daemons lost 20 to 28
// pipelined requests in 10 s (TestPlannedWorkLosesNoRequest).
//
// The connection also stays open if the answer is long, or follows a long answer that the caller may
// still be reading: requests that the caller sends before it reads the close would be lost. Closing
// after answers of 300 kB read at 10 Mbit/s lost 7 requests in three such days of test load.
func (c *connection) decideClose(exchange *Exchange) {
	if exchange.closesConnection || exchange.answerStarted || len(c.open) > 1 || c.pendingInput || !c.server.config.Stopping() {
		return
	}
	if isLong(exchange) || time.Since(c.lastLongAnswerAt) < c.server.config.LingerTimeout ||
		socket.Unacknowledged(c.caller.Conn) > maxClosingAnswerBytes {
		return
	}
	if socket.Unread(c.caller.Conn) > 0 {
		return
	}
	exchange.closesConnection, c.sealed = true, true
}

// setPersistence sets the Connection header field of the answer.
func (c *connection) setPersistence(exchange *Exchange) {
	header := &exchange.Request.Response.Header
	switch {
	case exchange.closesConnection:
		header.SetConnectionClose(true)
		header.Set("Connection", "close")
	case !exchange.Request.Request.Header.IsHTTP11():
		header.Set("Connection", "keep-alive")
	}
}

// hasLaterRequests reports whether a request behind exchange was read or is being read.
func (c *connection) hasLaterRequests(exchange *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.pendingInput || c.open[len(c.open)-1] != exchange
}

// reserveAnswerBytes implements Exchange.ReserveAnswerBytes.
func (c *connection) reserveAnswerBytes(exchange *Exchange, bytes int64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.open[0] == exchange {
		return true
	}
	if c.reservedBytes+bytes > c.server.quota.limits.BytesPerConnection || !c.server.quota.reserveBytes(bytes) {
		return false
	}
	c.reservedBytes += bytes
	exchange.reservedBytes += bytes
	return true
}

// finish records that an exchange was handled. The goroutine that finishes the oldest exchange writes
// its answer and the finished answers behind it.
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

// writeNext writes the answer of the oldest exchange. It reports false, and ends the writing, if that
// exchange is not finished.
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

// nextFinished returns the oldest exchange if it is finished. Otherwise it flushes the written answers,
// ends the writing and returns nil; the oldest exchange writes its answer when it finishes.
func (c *connection) nextFinished() *Exchange {
	for flushed := false; ; flushed = true {
		c.mutex.Lock()
		if len(c.open) > 0 && c.open[0].done {
			exchange := c.open[0]
			c.decideClose(exchange)
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

// stopWriting ends the writing and notifies the oldest exchange that all earlier answers are written.
// The caller holds mutex.
func (c *connection) stopWriting() {
	c.writing = false
	c.lastWrittenAt = time.Now()
	if len(c.open) == 0 {
		c.becomeIdle()
		return
	}
	if earlierWritten := c.open[0].earlierWritten; earlierWritten != nil {
		close(earlierWritten)
		c.open[0].earlierWritten = nil
	}
}

// becomeIdle wakes the goroutines that wait for idle, and starts the idle timeout. The caller holds
// mutex.
func (c *connection) becomeIdle() {
	c.becameIdle.Broadcast()
	c.wakeLocked()
	switch {
	case c.sealed:
		c.caller.interruptRead()
	case c.awaitingRequest:
		c.setIdleTimeout()
	}
}

// write writes a finished answer. After an error the connection cannot be used any more.
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

// removeOldest removes the oldest exchange after its answer was written or abandoned, and releases
// what it holds.
func (c *connection) removeOldest(exchange *Exchange) {
	long := isLong(exchange)
	c.mutex.Lock()
	if long {
		c.lastLongAnswerAt = time.Now()
	}
	c.open[0] = nil
	c.open = c.open[1:]
	c.reservedBytes -= exchange.reservedBytes
	c.wakeLocked()
	c.mutex.Unlock()
	c.server.openRequests.Add(-1)
	c.server.quota.releaseBytes(exchange.reservedBytes)
	c.recycle(exchange)
}
