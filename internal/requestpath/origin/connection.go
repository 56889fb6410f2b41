package origin

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of the connections to a back end. All are chosen, not measured.
const (
	// backendDialTimeout bounds the opening of a connection. The back end is on the same machine;
	// a call waits for it, so that it must be well below the usual deadlines, and above
	// crashProbeTimeout.
	backendDialTimeout = 300 * time.Millisecond
	// backendIdleTimeout is how long an unused connection is kept where the
	// back end does not say. It is short because a back end that closes one
	// just as a call is written to it makes that call's outcome unknown.
	backendIdleTimeout = 4 * time.Second
	// keepAliveMargin is taken off the time that a back end states, but not more than half of
	// it.
	keepAliveMargin = 2 * time.Second
	// backendBufferBytes is the size of each of a connection's two buffers.
	backendBufferBytes = 4 << 10
)

// connection is one connection to a back end. It carries one exchange at a
// time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reused is true from the second exchange on.
	reused bool
	// keepFor bounds the rest between two exchanges; rested is when the last
	// rest began and rest how long it was.
	keepFor time.Duration
	rested  time.Time
	rest    time.Duration
}

// connectionPool keeps the connections to one back end. It is safe for concurrent use. How long a
// connection rested is measured by the time since boot: the back end's clock may go on while this
// daemon's stands.
type connectionPool struct {
	address string
	dialer  net.Dialer
	resting idleBound

	// mutex protects everything below.
	mutex  sync.Mutex
	idle   []*connection
	open   int
	limit  int
	closed bool
}

func newConnectionPool(address string, limit int) *connectionPool {
	return &connectionPool{address: address, limit: limit, dialer: net.Dialer{Timeout: backendDialTimeout}}
}

// limitTo replaces the number of connections that may be open; 0 keeps it.
func (p *connectionPool) limitTo(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 {
		p.limit = limit
	}
}

// get returns a connection that is ready for an exchange, the one used last
// first. Errors: CallNotRunUnreachable, CallNotRunOverloaded when the limit is
// reached, CallNotRunExpired when ctx ended.
func (p *connectionPool) get(ctx context.Context) (*connection, error) {
	for {
		conn, err := p.take()
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx)
		}
		now := boottime.Now()
		conn.rest = now.Sub(conn.rested)
		if p.resting.allows(conn.rest, conn.keepFor, now) && quiet(conn.Conn) {
			conn.reused = true
			return conn, nil
		}
		p.discard(conn)
	}
}

// take removes the connection used last; nil means that one is to be dialed,
// which has been counted already.
func (p *connectionPool) take() (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if count := len(p.idle); count > 0 {
		conn := p.idle[count-1]
		p.idle = p.idle[:count-1]
		return conn, nil
	}
	if p.open >= p.limit {
		return nil, result.Errorf(result.CallNotRunOverloaded, "%d connections to %s are open", p.open, p.address)
	}
	p.open++
	return nil, nil
}

func (p *connectionPool) dial(ctx context.Context) (*connection, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		p.mutex.Lock()
		p.open--
		p.mutex.Unlock()
		if ctx.Err() != nil {
			return nil, result.Wrap(result.CallNotRunExpired, err, "no connection to %s in time", p.address)
		}
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "connecting to %s", p.address)
	}
	return &connection{
		Conn: raw, reader: bufio.NewReaderSize(raw, backendBufferBytes),
		writer: bufio.NewWriterSize(raw, backendBufferBytes), keepFor: backendIdleTimeout,
	}, nil
}

// put keeps a connection after an exchange that ended cleanly.
func (p *connectionPool) put(conn *connection) {
	conn.rested = boottime.Now()
	p.mutex.Lock()
	if !p.closed {
		p.idle = append(p.idle, conn)
		p.mutex.Unlock()
		return
	}
	p.mutex.Unlock()
	p.discard(conn)
}

// discard closes a connection.
func (p *connectionPool) discard(conn *connection) {
	_ = conn.Close() // It is given up either way, and nothing is in flight on it.
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// noteBroken records that a connection broke before an answer came, so long after
// the request was sent over it.
func (p *connectionPool) noteBroken(conn *connection, after time.Duration) {
	if conn.reused && after < forgottenWithin {
		p.resting.noteForgotten(conn.rest, boottime.Now())
	}
}

// closeOld closes the idle connections that rested too long, or all.
func (p *connectionPool) closeOld(all bool) {
	p.mutex.Lock()
	var old []*connection
	kept := p.idle[:0]
	now := boottime.Now()
	for _, conn := range p.idle {
		if all || !p.resting.allows(now.Sub(conn.rested), conn.keepFor, now) {
			old = append(old, conn)
			continue
		}
		kept = append(kept, conn)
	}
	p.idle = kept
	p.closed = p.closed || all
	p.mutex.Unlock()
	for _, conn := range old {
		p.discard(conn)
	}
}

// quiet reports whether a resting connection is open and nothing has arrived
// on it: bytes there belong to no request. One of a kind without a descriptor
// counts as quiet.
func quiet(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	calm := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		calm = receiveErr == syscall.EAGAIN || receiveErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && calm
}
