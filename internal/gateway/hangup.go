package gateway

import (
	"context"
	"net"
	"sync"
	"time"
)

// watchBufferBytes bounds what is read ahead while a caller is watched. It
// leaves room for the closing message of TLS before the end of the connection.
const watchBufferBytes = 512

// callerConn is a caller's connection that can be watched for hang-up while
// its request is being answered, and whose reading can be broken off.
type callerConn struct {
	net.Conn

	// mutex protects everything below.
	mutex    sync.Mutex
	ahead    []byte
	aheadErr error
	watching chan struct{}
}

// local reports whether the caller is on this machine: both ends have the same
// number.
func (c *callerConn) local() bool {
	here, hereOK := c.LocalAddr().(*net.TCPAddr)
	there, thereOK := c.RemoteAddr().(*net.TCPAddr)
	return hereOK && thereOK && here.IP.Equal(there.IP)
}

// Read returns bytes read ahead before it reads on.
func (c *callerConn) Read(buffer []byte) (int, error) {
	c.mutex.Lock()
	if len(c.ahead) > 0 {
		count := copy(buffer, c.ahead)
		c.ahead = c.ahead[count:]
		c.mutex.Unlock()
		return count, nil
	}
	err := c.aheadErr
	c.mutex.Unlock()
	if err != nil {
		return 0, err
	}
	return c.Conn.Read(buffer)
}

// watch calls hangUp when the caller closes the connection before unwatch. No
// other reads may happen in between.
func (c *callerConn) watch(hangUp context.CancelFunc) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.watching != nil || c.aheadErr != nil {
		return
	}
	done := make(chan struct{})
	c.watching = done
	_ = c.Conn.SetReadDeadline(time.Time{})
	go func() {
		defer close(done)
		c.readAhead(hangUp)
	}()
}

func (c *callerConn) readAhead(hangUp context.CancelFunc) {
	buffer := make([]byte, watchBufferBytes)
	filled := 0
	for filled < len(buffer) {
		count, err := c.Conn.Read(buffer[filled:])
		filled += count
		if err == nil {
			continue
		}
		c.mutex.Lock()
		c.ahead = append(c.ahead, buffer[:filled]...)
		timeout, isNetwork := err.(net.Error)
		if !isNetwork || !timeout.Timeout() {
			c.aheadErr = err
			hangUp()
		}
		c.mutex.Unlock()
		return
	}
	c.mutex.Lock()
	c.ahead = append(c.ahead, buffer[:filled]...)
	c.mutex.Unlock()
}

// unwatch ends a watch; reads are possible again afterwards.
func (c *callerConn) unwatch() {
	c.mutex.Lock()
	done := c.watching
	c.watching = nil
	c.mutex.Unlock()
	if done == nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-done
	_ = c.Conn.SetReadDeadline(time.Time{})
}

// interrupt makes a read in progress return.
func (c *callerConn) interrupt() { _ = c.Conn.SetReadDeadline(time.Unix(1, 0)) }

// linger bounds the coming reads. After an early answer it lets what the
// caller still sends be read for a moment, so that the connection is not reset
// before the caller has read the answer.
func (c *callerConn) linger(duration time.Duration) {
	_ = c.Conn.SetReadDeadline(time.Now().Add(duration))
}

// callerListener wraps accepted connections.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(headerTimeout))
	return &callerConn{Conn: conn}, nil
}
