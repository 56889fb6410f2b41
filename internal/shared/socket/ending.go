package socket

import (
	"context"
	"net"
	"sync"
)

// endingListener closes what it accepted together with itself.
type endingListener struct {
	net.Listener

	// mutex protects everything below.
	mutex sync.Mutex
	open  map[*endingConn]struct{}
	ended bool
}

// ClosedWith wraps a listener of a server that leaves open connections to its process: when ctx ends,
// the listener is closed and with it every connection that it accepted. The caller calls stop once the
// server has ended.
func ClosedWith(ctx context.Context, listener net.Listener) (wrapped net.Listener, stop func() bool) {
	ending := &endingListener{Listener: listener, open: map[*endingConn]struct{}{}}
	return ending, context.AfterFunc(ctx, ending.closeAll)
}

// Accept implements net.Listener.
func (l *endingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &endingConn{Conn: conn, listener: l}
	if !l.add(accepted) {
		_ = conn.Close() // Nobody uses it.
		return nil, net.ErrClosed
	}
	return accepted, nil
}

// add reports false once ctx has ended.
func (l *endingListener) add(conn *endingConn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.ended {
		return false
	}
	l.open[conn] = struct{}{}
	return true
}

func (l *endingListener) remove(conn *endingConn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.open, conn)
}

func (l *endingListener) closeAll() {
	_ = l.Listener.Close() // It may be closed already.
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.ended = true
	for conn := range l.open {
		_ = conn.Conn.Close() // It may be closed already.
	}
}

// endingConn is a connection that an endingListener accepted.
type endingConn struct {
	net.Conn
	listener *endingListener
}

// Close implements net.Conn.
func (c *endingConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
