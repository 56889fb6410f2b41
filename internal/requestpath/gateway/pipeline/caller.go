package pipeline

import (
	"net"
	"sync"
	"time"
)

// callerConn is the network connection underneath the HTTP library. It can read ahead of the library
// to detect a disconnect of the caller, and its reads can be interrupted.
type callerConn struct {
	net.Conn

	// mutex protects everything below.
	mutex sync.Mutex
	// lookahead holds bytes that were read before the library asked for them, and lookaheadErr the
	// read error that followed them.
	lookahead    lookahead
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
	return c.lookahead.held
}

// discardLookahead drops the bytes that were read ahead. The connection must not be read afterwards.
func (c *callerConn) discardLookahead() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lookahead.discard()
}

// Read implements net.Conn. It returns the bytes that were read ahead before it reads more.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.mutex.Lock()
	if count := c.lookahead.take(buffer); count > 0 {
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

// readAhead reads into the lookahead buffer until it is interrupted, no more than limit bytes can be held
// (full is true) or the caller disconnects (an error). Only the goroutine that reads the connection may call
// it.
func (c *callerConn) readAhead(limit int) (full bool, err error) {
	for size := initialLookaheadBytes; ; size = min(2*size, maxLookaheadPieceBytes) {
		c.mutex.Lock()
		if c.lookaheadErr != nil {
			defer c.mutex.Unlock()
			return false, c.lookaheadErr
		}
		piece, ok := c.lookahead.newPiece(size, limit)
		c.mutex.Unlock()
		if !ok {
			return true, nil
		}
		switch err := c.fill(piece); {
		case err == nil:
		case isTimeout(err):
			return false, nil
		default:
			return false, err
		}
	}
}

// fill reads until piece is full or a read fails, and adds what was read to lookahead. It returns the read
// error.
func (c *callerConn) fill(piece lookaheadPiece) error {
	filled := 0
	var err error
	for filled < len(piece.content) && err == nil {
		var count int
		count, err = c.Conn.Read(piece.content[filled:])
		c.recordReceived(count)
		filled += count
	}
	piece.content = piece.content[:filled]
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lookahead.add(piece)
	if err != nil && !isTimeout(err) {
		c.lookaheadErr = err
	}
	return err
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
