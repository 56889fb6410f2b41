package pipeline

import (
	"net"
	"sync"
	"time"
)

// Bytes that are read ahead to see whether the caller disconnects: at first and at most; the buffer
// doubles in between. With maxLookahead bytes held a disconnect is not seen until some have been
// read.
const (
	firstLookahead = 512
	maxLookahead   = 32 << 10
)

// callerConn is a caller's connection below the HTTP library. It can be read ahead of the
// library to see whether the caller disconnects, and its reading can be interrupted.
type callerConn struct {
	net.Conn

	// mutex protects everything below.
	mutex sync.Mutex
	// lookahead are bytes that were read before the library asked for them, and lookaheadErr is
	// the error behind them.
	lookahead    []byte
	lookaheadErr error
	// receivedAt is when bytes were read last.
	receivedAt time.Time
}

// noteReceived records that bytes were read.
func (c *callerConn) noteReceived(count int) {
	if count == 0 {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.receivedAt = time.Now()
}

// lastReceived returns when bytes were read last.
func (c *callerConn) lastReceived() time.Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.receivedAt
}

// local reports whether the caller is on this machine: both ends have the same address.
func (c *callerConn) local() bool {
	here, hereOK := c.LocalAddr().(*net.TCPAddr)
	there, thereOK := c.RemoteAddr().(*net.TCPAddr)
	return hereOK && thereOK && here.IP.Equal(there.IP)
}

// held returns the number of bytes that were read ahead and not yet asked for.
func (c *callerConn) held() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.lookahead)
}

// Read returns bytes read ahead before it reads on.
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
	c.noteReceived(count)
	return count, err
}

// readAhead reads until it is interrupted, maxLookahead bytes are held (full) or the caller
// disconnects (an error). Only the goroutine that reads the connection may call it.
func (c *callerConn) readAhead() (full bool, err error) {
	c.mutex.Lock()
	held, err := len(c.lookahead), c.lookaheadErr
	c.mutex.Unlock()
	if err != nil {
		return false, err
	}
	for size := firstLookahead; held < maxLookahead; size *= 2 {
		buffer := make([]byte, min(size, maxLookahead-held))
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

// fill reads until buffer is full and keeps what it read for Read. It returns the
// error that ended it sooner.
func (c *callerConn) fill(buffer []byte) (int, error) {
	filled := 0
	var err error
	for filled < len(buffer) && err == nil {
		var count int
		count, err = c.Conn.Read(buffer[filled:])
		c.noteReceived(count)
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

// interrupt makes a read in progress return. A connection that takes no deadline is closed,
// and its reads return by themselves; bound relies on the same.
func (c *callerConn) interrupt() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// bound bounds the time of the coming reads; 0 for no bound.
func (c *callerConn) bound(duration time.Duration) {
	if duration <= 0 {
		_ = c.Conn.SetReadDeadline(time.Time{})
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(duration))
}

// linger reads and drops what the caller still sends, for at most duration, so that the
// connection is not reset before the caller has read the last answer. With halfClose the
// sending side is closed first; for TLS the library does that by an alert at its close.
func (c *callerConn) linger(duration time.Duration, halfClose bool) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && halfClose {
		// Where that fails the caller has closed the connection.
		_ = half.CloseWrite()
	}
	c.bound(duration)
	buffer := make([]byte, firstLookahead)
	for {
		if _, err := c.Conn.Read(buffer); err != nil {
			return
		}
	}
}
