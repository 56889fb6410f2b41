package pipeline

import (
	"net"
	"sync"
	"time"
)

// Sizes in bytes of the input that is read ahead to detect a disconnect of the caller. The buffer
// starts at initialLookaheadBytes and doubles up to maxLookaheadBytes. While maxLookaheadBytes are
// buffered, a disconnect is not detected until some of them are consumed.
const (
	initialLookaheadBytes = 512
	maxLookaheadBytes     = 32 << 10
)

// callerConn is the network connection underneath the HTTP library. It can read ahead of the library
// to detect a disconnect of the caller, and its reads can be interrupted.
type callerConn struct {
	net.Conn

	// mutex protects everything below.
	mutex sync.Mutex
	// lookahead holds bytes that were read before the library asked for them, and lookaheadErr the
	// read error that followed them.
	lookahead    []byte
	lookaheadErr error
	// receivedAt is the time of the last read that returned bytes.
	receivedAt time.Time
}

// recordReceived updates receivedAt if count is not 0.
func (c *callerConn) recordReceived(count int) {
	if count == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.receivedAt = time.Now()
}

// lastReceivedAt returns the time of the last read that returned bytes.
func (c *callerConn) lastReceivedAt() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.receivedAt
}

// isLocal reports whether the caller is on this machine, which is the case if both ends of the
// connection have the same IP address.
func (c *callerConn) isLocal() bool {
	here, hereOK := c.LocalAddr().(*net.TCPAddr)
	there, thereOK := c.RemoteAddr().(*net.TCPAddr)
	return hereOK && thereOK && here.IP.Equal(there.IP)
}

// bufferedBytes returns the number of bytes that were read ahead and not yet consumed.
func (c *callerConn) bufferedBytes() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.lookahead)
}

// Read implements net.Conn. It returns the bytes that were read ahead before it reads more.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.mutex.Lock()
	if len(c.lookahead) > 0 {
		count := copy(buffer, c.lookahead)
		c.lookahead = c.lookahead[count:]
		if len(c.lookahead) == 0 {
			c.lookahead = nil
		}
		c.mutex.Unlock()
		return count, nil
	}
	err := c.lookaheadErr
	c.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	count, err := c.Conn.Read(buffer)
	c.recordReceived(count)
	return count, err
}

// readAhead reads into the lookahead buffer until it is interrupted, the buffer holds
// maxLookaheadBytes (full is true) or the caller disconnects (an error). Only the goroutine that
// reads the connection may call it.
func (c *callerConn) readAhead() (full bool, err error) {
	c.mutex.Lock()
	held, err := len(c.lookahead), c.lookaheadErr
	c.mutex.Unlock()
	if err != nil {
		return false, err
	}
	for size := initialLookaheadBytes; held < maxLookaheadBytes; size *= 2 {
		buffer := make([]byte, min(size, maxLookaheadBytes-held))
		count, err := c.fill(buffer)
		held += count
		if err == nil {
			continue
		}
		if timeout, isNetwork := err.(net.Error); isNetwork && timeout.Timeout() {
			return false, nil
		}
		return false, err
	}
	return true, nil
}

// fill reads until buffer is full or a read fails, and appends the bytes to lookahead. It returns the
// number of bytes and the read error.
func (c *callerConn) fill(buffer []byte) (int, error) {
	filled := 0
	var err error
	for filled < len(buffer) && err == nil {
		var count int
		count, err = c.Conn.Read(buffer[filled:])
		c.recordReceived(count)
		filled += count
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lookahead = append(c.lookahead, buffer[:filled]...)
	if err == nil {
		return filled, nil
	}
	if timeout, isNetwork := err.(net.Error); !isNetwork || !timeout.Timeout() {
		c.lookaheadErr = err
	}
	return filled, err
}

// interruptRead makes a read in progress return with a timeout. The error of SetReadDeadline is
// ignored here and in setReadTimeout: it fails only for a closed connection, whose reads return
// anyway.
func (c *callerConn) interruptRead() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// setReadTimeout bounds the time of the following reads; 0 removes the bound.
func (c *callerConn) setReadTimeout(duration time.Duration) {
	if duration <= 0 {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(duration))
}

// linger reads and discards input for at most duration, and at most maxDiscardBytes, so that a caller
// that never stops sending does not occupy the processor. Closing a connection with unread input
// resets it, and the caller could lose the last answer. With halfClose the sending side is closed
// first; for TLS the library sends a close alert instead when it closes the connection.
func (c *callerConn) linger(duration time.Duration, halfClose bool) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && halfClose {
		// CloseWrite fails only if the caller has closed the connection.
		_ = half.CloseWrite()
	}
	c.setReadTimeout(duration)
	buffer := make([]byte, discardBufferBytes)
	for discarded := 0; discarded < maxDiscardBytes; {
		count, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		discarded += count
	}
}
