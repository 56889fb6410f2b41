package day

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Isolation emulates cuts between the daemon of a machine and all other daemons. While it lasts, nothing
// that either side sends arrives, and neither side gets an error. Connections that were open when it began
// stay silent, also after its end, and so do those that other daemons open meanwhile; dials of the isolated
// daemon wait for their timeout. It is safe for concurrent use.
type Isolation struct {
	// mutex protects the fields below.
	mutex  sync.Mutex
	active bool
	// open holds the connections that carry data, severed the silent ones that this side has closed.
	open    map[*isolatedConn]bool
	severed []net.Conn
}

// NewIsolation returns an isolation that has not begun.
func NewIsolation() *Isolation {
	return &Isolation{open: map[*isolatedConn]bool{}}
}

// LaunchIsolated returns a Launch that runs daemons in this process. The connections of those named in
// isolations to other daemons go through their isolation.
func LaunchIsolated(isolations map[string]*Isolation) Launch {
	return func(config *settings.Daemon, logger logr.Logger) (Process, error) {
		if isolation, isolated := isolations[config.Node]; isolated {
			return launchOn(isolation, config, logger)
		}
		return launchEmbedded(config, logger)
	}
}

// Begin begins the isolation.
func (i *Isolation) Begin() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.active = true
	for conn := range i.open {
		conn.sever()
	}
	clear(i.open)
}

// End ends the isolation. The other sides of the silent connections see them closed if this side closed
// them.
func (i *Isolation) End() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.active = false
	for _, conn := range i.severed {
		_ = conn.Close()
	}
	i.severed = nil
}

// Dial implements wire.Network.
func (i *Isolation) Dial(ctx context.Context, address string) (net.Conn, error) {
	i.mutex.Lock()
	active := i.active
	i.mutex.Unlock()
	if active {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := (&wire.TCP{}).Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return i.wrap(conn), nil
}

// Listen implements wire.Network.
func (i *Isolation) Listen(address string) (net.Listener, error) {
	listener, err := (&wire.TCP{}).Listen(address)
	if err != nil {
		return nil, err
	}
	return isolatedListener{listener, i}, nil
}

func (i *Isolation) wrap(conn net.Conn) net.Conn {
	wrapped := &isolatedConn{Conn: conn, isolation: i, severed: make(chan struct{}), closed: make(chan struct{})}
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.active {
		wrapped.sever()
	} else {
		i.open[wrapped] = true
	}
	return wrapped
}

// closeLater closes the connection below a severed one once the isolation has ended.
func (i *Isolation) closeLater(conn net.Conn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.active {
		_ = conn.Close()
		return
	}
	i.severed = append(i.severed, conn)
}

func (i *Isolation) forget(conn *isolatedConn) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	delete(i.open, conn)
}

type isolatedListener struct {
	net.Listener
	isolation *Isolation
}

// Accept implements net.Listener.
func (l isolatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.isolation.wrap(conn), nil
}

// isolatedConn is a connection that is silent once it is severed.
type isolatedConn struct {
	net.Conn
	isolation *Isolation
	// severed is closed by sever, and closed by Close.
	severed, closed chan struct{}
	closing         sync.Once

	// mutex protects deadline, the read deadline; zero for none.
	mutex    sync.Mutex
	deadline time.Time
}

// sever makes the connection silent and wakes a Read that waits.
func (c *isolatedConn) sever() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.severed)
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

func (c *isolatedConn) isSevered() bool {
	select {
	case <-c.severed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *isolatedConn) Read(buffer []byte) (int, error) {
	if !c.isSevered() {
		count, err := c.Conn.Read(buffer)
		if !c.isSevered() {
			return count, err
		}
	}
	return 0, c.awaitEnd()
}

// awaitEnd waits for the read deadline or the end of a severed connection.
func (c *isolatedConn) awaitEnd() error {
	c.mutex.Lock()
	deadline := c.deadline
	c.mutex.Unlock()
	if deadline.IsZero() {
		<-c.closed
		return net.ErrClosed
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-timer.C:
		return os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn.
func (c *isolatedConn) Write(content []byte) (int, error) {
	if c.isSevered() {
		return len(content), nil
	}
	return c.Conn.Write(content)
}

// SetReadDeadline implements net.Conn.
func (c *isolatedConn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	if c.isSevered() {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// SetDeadline implements net.Conn.
func (c *isolatedConn) SetDeadline(deadline time.Time) error {
	if err := c.Conn.SetWriteDeadline(deadline); err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *isolatedConn) Close() (err error) {
	c.closing.Do(func() {
		close(c.closed)
		c.isolation.forget(c)
		if c.isSevered() {
			c.isolation.closeLater(c.Conn)
			return
		}
		err = c.Conn.Close()
	})
	return err
}
