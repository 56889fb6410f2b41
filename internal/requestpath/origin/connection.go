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
	// backendDialTimeout limits the opening of a connection. A call waits for it and the back end
	// is on the same machine, so it must be well below the usual deadlines, and above
	// crashProbeTimeout.
	backendDialTimeout = 300 * time.Millisecond
	// backendIdleTimeout is how long an unused connection is kept if the back end states no time.
	// It is short because a call has an unknown outcome if the back end closes the connection while
	// the call is written.
	backendIdleTimeout = 4 * time.Second
	// keepAliveMargin is subtracted from the time that a back end states, up to half of that time.
	keepAliveMargin = 2 * time.Second
	// backendBufferBytes is the size of a connection's read buffer and of its write buffer.
	backendBufferBytes = 4 << 10
)

// connection is one connection to a back end. It carries one exchange at a time.
type connection struct {
	net.Conn
	// heads limits the response heads that reader reads.
	heads  *headLimiter
	reader *bufio.Reader
	writer *bufio.Writer
	// reused is true from the second exchange on.
	reused bool
	// idleTimeout is the maximum time between two exchanges. idleSince is when the connection last
	// became idle, and idleDuration how long it was idle before the current exchange.
	idleTimeout  time.Duration
	idleSince    time.Time
	idleDuration time.Duration
}

// connectionPool holds the connections to one back end. It is safe for concurrent use. Idle times
// are measured by the time since boot, because the back end's clock may run while this daemon's
// monotonic clock is stopped.
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

// setLimit sets the maximum number of open connections; 0 leaves it unchanged.
func (p *connectionPool) setLimit(limit int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 {
		p.limit = limit
	}
}

// get returns a connection that is ready for an exchange, preferring the one used last. Errors:
// CallNotRunUnreachable, CallNotRunOverloaded if the limit is reached, CallNotRunExpired if ctx
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

// takeIdle removes and returns the idle connection used last. If there is none it returns nil: the
// caller must then dial a connection, which is already counted as open.
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
	heads := &headLimiter{source: raw}
	return &connection{
		Conn: raw, heads: heads, reader: bufio.NewReaderSize(heads, backendBufferBytes),
		writer: bufio.NewWriterSize(raw, backendBufferBytes), idleTimeout: backendIdleTimeout,
	}, nil
}

// put returns a connection to the pool after an exchange that ended cleanly.
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
	_ = conn.Close() // The connection is discarded either way, and nothing is in flight on it.
	p.mutex.Lock()
	p.open--
	p.mutex.Unlock()
}

// recordBreak records that a connection broke before a response arrived; after is the time since
// the request was sent over it.
func (p *connectionPool) recordBreak(conn *connection, after time.Duration) {
	if conn.reused && after < droppedConnectionWindow {
		p.idleBound.recordDrop(conn.idleDuration, boottime.Now())
	}
}

// closeExpired closes the connections that were idle for too long. With all set it closes every
// idle connection, and those in use at the end of their exchange.
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

// isUsable reports whether an idle connection is open and has no unread bytes, which would belong
// to no request. A connection without a file descriptor counts as usable.
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
	// droppedConnectionWindow is the time after sending a request within which a broken connection
	// counts as dropped by the back end while it was idle. It must be above a round trip on the
	// machine and below the usual service time, or calls that the back end aborted itself are
	// counted.
	droppedConnectionWindow = 20 * time.Millisecond
	// idleBoundTTL is how long a lowered bound applies. It must be above backendIdleTimeout, or an
	// idle connection could outlive the bound that applies to it.
	idleBoundTTL = 10 * time.Second
)

// idleBound adapts the maximum idle time of a back end's connections to observed failures. A back
// end may drop a connection without closing it, and a request that is then sent over it is lost
// without proof that it did not run. It is safe for concurrent use.
type idleBound struct {
	// mutex protects everything below.
	mutex sync.Mutex
	// maxIdle is the lowered maximum idle time, which applies until expiresAt.
	maxIdle   time.Duration
	expiresAt time.Time
}

// recordDrop records that a connection was dropped while it was idle for idleDuration. The bound
// becomes half of that time, unless a lower bound still applies.
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

// allows reports whether a connection may be used that was idle for idleDuration and that the back
// end keeps for idleTimeout.
func (b *idleBound) allows(idleDuration, idleTimeout time.Duration, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if now.Before(b.expiresAt) {
		idleTimeout = min(idleTimeout, b.maxIdle)
	}
	return idleDuration < idleTimeout
}
