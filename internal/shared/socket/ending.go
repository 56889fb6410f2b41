package socket

import (
	"context"
	"net"
	"sync"
)

// closingListener is a net.Listener that tracks its accepted connections in order to close them.
type closingListener struct {
	net.Listener

	// mutex protects the fields below.
	mutex  sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

// CloseWithContext wraps a listener for a server that does not close its connections when it ends.
// When ctx ends, the listener and all connections that it accepted are closed. The caller must call
// stop after the server has ended.
func CloseWithContext(ctx context.Context, listener net.Listener) (wrapped net.Listener, stop func() bool) {
	closing := &closingListener{Listener: listener, open: map[*trackedConn]struct{}{}}
	return closing, context.AfterFunc(ctx, closing.closeAll)
}

// Accept implements net.Listener.
func (l *closingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &trackedConn{Conn: conn, listener: l}
	if !l.add(accepted) {
		_ = conn.Close() // The connection is unused, so the error is irrelevant.
		return nil, net.ErrClosed
	}
	return accepted, nil
}

// add registers an accepted connection. It returns false if the listener is already closed.
func (l *closingListener) add(conn *trackedConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.closed {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

func (l *closingListener) remove(conn *trackedConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, conn)
}

func (l *closingListener) closeAll() {
	_ = l.Listener.Close() // It may be closed already.
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.closed = true
	for conn := range l.open {
		_ = conn.Conn.Close() // It may be closed already.
	}
}

// trackedConn is a connection accepted by a closingListener. Close removes it from the listener.
type trackedConn struct {
	net.Conn
	listener *closingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
