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

// Bounds of the connections to a back end.
const (
	// backendDialTimeout bounds the opening of a connection. The back end is on the same machine;
	// a call waits for it, so that it must be well below the usual deadlines, and above
	// crashProbeTimeout.
	backendDialTimeout = 300 * time.Millisecond
	// backendIdleTimeout is how long an unused connection is kept where the
	// back end does not say. It is short because a back end that closes one
	// just as a call is written to it makes that call's outcome unknown.
	backendIdleTimeout = 4 * time.Second
	// keepAliveMargin is taken off the time that a back end states, but not more than half of it.
	keepAliveMargin = 2 * time.Second
	// backendBufferBytes is the size of each of a connection's two buffers.
	backendBufferBytes = 4 << 10
)

// connection is one connection to a back end. It carries one exchange at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// reused is true from the second exchange on.
	reused bool
	// idleTimeout bounds the time between two exchanges; idleSince is when the last such time began,
	// and idleFor how long it was.
	idleTimeout  time.Duration
	idleSince    time.Time
	idleDuration time.Duration
}

// connectionPool keeps the connections to one back end. It is safe for concurrent use. How long a
// connection was idle is measured by the time since boot: the back end's clock may go on while this
// daemon's stands.
type connectionPool struct {
	address   string
	dialer    net.Dialer
	idleBound idleBound

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

// setLimit replaces the number of connections that may be open; 0 keeps it.
func (p *connectionPool) setLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 {
		p.limit = limit
	}
}

// get returns a connection that is ready for an exchange, the one used last first. Errors:
// CallNotRunUnreachable, CallNotRunOverloaded when the limit is reached, CallNotRunExpired when ctx
// ended.
func (p *connectionPool) get(ctx context.Context) (*connection, error) {
	for {
		conn, err := p.takeIdle()
		if err != nil {
			return nil, err
		}
		if conn == nil {
			return p.dial(ctx)
		}
		now := boottime.Now()
		conn.idleDuration = now.Sub(conn.idleSince)
		if p.idleBound.allows(conn.idleDuration, conn.idleTimeout, now) && isUsable(conn.Conn) {
			conn.reused = true
			return conn, nil
		}
		p.discard(conn)
	}
}

// takeIdle removes the connection used last; nil means that one is to be dialed, which is counted as
// open already.
func (p *connectionPool) takeIdle() (*connection, error) {
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
		writer: bufio.NewWriterSize(raw, backendBufferBytes), idleTimeout: backendIdleTimeout,
	}, nil
}

// put keeps a connection after an exchange that ended cleanly.
func (p *connectionPool) put(conn *connection) {
	conn.idleSince = boottime.Now()
	p.mutex.Lock()
	if !p.closed {
		p.idle = append(p.idle, conn)
		p.mutex.Unlock()
		return
	}
	p.mutex.Unlock()
	p.discard(conn)
}

func (p *connectionPool) discard(conn *connection) {
	_ = conn.Close() // It is given up either way, and nothing is in flight on it.
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// recordBreak records that a connection broke before an answer came, so long after the request was
// sent over it.
func (p *connectionPool) recordBreak(conn *connection, after time.Duration) {
	if conn.reused && after < droppedConnectionWindow {
		p.idleBound.recordDrop(conn.idleDuration, boottime.Now())
	}
}

// closeExpired closes the connections that were idle for too long, or all idle ones, and then those in
// use as well at the end of their exchange.
func (p *connectionPool) closeExpired(all bool) {
	p.mutex.Lock()
	var expired []*connection
	kept := p.idle[:0]
	now := boottime.Now()
	for _, conn := range p.idle {
		if all || !p.idleBound.allows(now.Sub(conn.idleSince), conn.idleTimeout, now) {
			expired = append(expired, conn)
			continue
		}
		kept = append(kept, conn)
	}
	p.idle = kept
	p.closed = p.closed || all
	p.mutex.Unlock()
	for _, conn := range expired {
		p.discard(conn)
	}
}

// isUsable reports whether an idle connection is open and nothing has arrived on it: bytes there
// belong to no request. One without a file descriptor counts as usable.
func isUsable(conn net.Conn) bool {
	system, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	clean := false
	err = raw.Read(func(descriptor uintptr) bool {
		var peeked [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		clean = receiveErr == syscall.EAGAIN || receiveErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && clean
}

// Constants of idleBound.
const (
	// droppedConnectionWindow is the time after a request was sent in which a broken connection counts as one
	// that the back end had dropped while it was idle. It must be above a round trip on the machine
	// and below the usual service time, or calls that the back end broke off itself are counted.
	droppedConnectionWindow = 20 * time.Millisecond
	// idleBoundTTL is how long a lowered bound holds. It must be above backendIdleTimeout, or a
	// connection outlives what was learned.
	idleBoundTTL = 10 * time.Second
)

// idleBound learns how long a back end's connections may be idle. A back end may drop one without
// closing it, and a request that is then sent over it is lost without proof that it did not run. It
// is safe for concurrent use.
type idleBound struct {
	// mutex protects everything below.
	mutex     sync.Mutex
	maxIdle   time.Duration
	expiresAt time.Time
}

// recordDrop records that a connection was dropped while it was idle for so long. Half of that is
// allowed from now on, or less where less was learned before.
func (b *idleBound) recordDrop(idleDuration time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	limit := idleDuration / 2
	if now.Before(b.expiresAt) {
		limit = min(limit, b.maxIdle)
	}
	b.maxIdle = limit
	b.expiresAt = now.Add(idleBoundTTL)
}

// allows reports whether a connection may be used that was idle for so long and that the back end
// keeps for keepFor.
func (b *idleBound) allows(idleDuration, idleTimeout time.Duration, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Before(b.expiresAt) {
		idleTimeout = min(idleTimeout, b.maxIdle)
	}
	return idleDuration < idleTimeout
}
