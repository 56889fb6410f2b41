package topology

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/wire"
)

// errCut is the failure of a connection across a cut.
var errCut = errors.New("the network between the zones is cut")

// Topology knows in which zone each address is, how far zones are apart and
// which of them cannot reach each other now. It is safe for concurrent use.
type Topology struct {
	// ZoneDelay is the one-way delay between zones of a region, RegionDelay
	// that between regions.
	ZoneDelay, RegionDelay time.Duration

	// CutWithinZones makes it possible to cut off single nodes; every
	// connection is then followed, at some cost.
	CutWithinZones bool

	mutex  sync.Mutex
	places map[string]Place
	// isolated zones reach only themselves, isolated nodes nobody.
	isolated map[string]bool
	links    map[*delayedConn]struct{}
	// BetweenZones counts bytes that crossed from one zone to another.
	BetweenZones atomic.Int64
}

// Place is where an address is.
type Place struct{ Region, Zone, Node string }

// NewTopology returns a topology with the given one-way delays.
func NewTopology(betweenZones, betweenRegions time.Duration) *Topology {
	return &Topology{
		ZoneDelay: betweenZones, RegionDelay: betweenRegions,
		places: map[string]Place{}, isolated: map[string]bool{}, links: map[*delayedConn]struct{}{},
	}
}

// Place notes where an address is.
func (t *Topology) Place(address string, at Place) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.places[address] = at
}

// locate returns where an address is: as it was placed, else, in scale runs, as
// its loopback number tells. The caller holds mutex.
func (t *Topology) locate(address string) Place {
	if at, known := t.places[address]; known {
		return at
	}
	return placeOfLoopback(address)
}

// Delay returns the one-way delay between two places.
func (t *Topology) Delay(from, to Place) time.Duration {
	switch {
	case from.Region != to.Region:
		return t.RegionDelay
	case from.Zone != to.Zone:
		return t.ZoneDelay
	default:
		return 0
	}
}

// Isolate cuts the given regions, zones or nodes off from all others, or joins
// them again. Open connections across the cut go silent, as they do when a link
// fails.
func (t *Topology) Isolate(cut bool, names ...string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, name := range names {
		t.isolated[name] = cut
	}
	for link := range t.links {
		link.silent.Store(t.isCut(link.from, link.to))
	}
}

// isCut reports whether two places cannot reach each other; the caller holds
// mutex.
func (t *Topology) isCut(from, to Place) bool {
	if from.Region != to.Region && (t.isolated[from.Region] || t.isolated[to.Region]) {
		return true
	}
	if from.Zone != to.Zone && (t.isolated[from.Zone] || t.isolated[to.Zone]) {
		return true
	}
	return from.Node != to.Node && (t.isolated[from.Node] || t.isolated[to.Node])
}

// Network returns the network as seen from a place.
func (t *Topology) Network(at Place) wire.Network { return &placedNetwork{topology: t, place: at} }

// DialFrom returns a dialer as seen from a place.
func (t *Topology) DialFrom(at Place) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return t.dial(ctx, at, address) }
}

func (t *Topology) dial(ctx context.Context, from Place, address string) (net.Conn, error) {
	t.mutex.Lock()
	to := t.locate(address)
	cut := t.isCut(from, to)
	t.mutex.Unlock()
	if cut {
		// A cut looks like silence, not like a refusal.
		timer := time.NewTimer(wire.DialTimeout)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		return nil, errCut
	}
	raw, err := wire.TCP{}.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if from.Zone == to.Zone && !t.CutWithinZones {
		return raw, nil
	}
	return t.newDelayedConn(raw, from, to), nil
}

// placedNetwork is the network as seen from one place.
type placedNetwork struct {
	topology *Topology
	place    Place
}

func (p *placedNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	return p.topology.dial(ctx, p.place, address)
}

func (p *placedNetwork) Listen(address string) (net.Listener, error) {
	listener, err := wire.TCP{}.Listen(address)
	if err == nil {
		p.topology.Place(listener.Addr().String(), p.place)
	}
	return listener, err
}

// delayed is a piece of data that may be passed on from due on.
type delayed struct {
	data []byte
	due  time.Time
	err  error
}

// delayQueue bounds the pieces under way in one direction.
const delayQueue = 256

// delayedConn delays both directions of a connection, and passes nothing on
// while it is silent.
type delayedConn struct {
	net.Conn
	topology *Topology
	from, to Place
	delay    time.Duration
	silent   atomic.Bool
	outbound chan delayed
	inbound  chan delayed
	closed   chan struct{}
	once     sync.Once

	// readMutex protects rest and readErr.
	readMutex sync.Mutex
	rest      []byte
	readErr   error
	deadline  atomic.Int64
}

func (t *Topology) newDelayedConn(raw net.Conn, from, to Place) *delayedConn {
	conn := &delayedConn{
		Conn: raw, topology: t, from: from, to: to, delay: t.Delay(from, to),
		outbound: make(chan delayed, delayQueue), inbound: make(chan delayed, delayQueue), closed: make(chan struct{}),
	}
	t.mutex.Lock()
	t.links[conn] = struct{}{}
	t.mutex.Unlock()
	go conn.pumpOut()
	go conn.pumpIn()
	return conn
}

func (c *delayedConn) count(bytes int) {
	if c.from.Zone != c.to.Zone {
		c.topology.BetweenZones.Add(int64(bytes))
	}
}

func (c *delayedConn) pumpOut() {
	for {
		select {
		case <-c.closed:
			return
		case piece := <-c.outbound:
			if !c.waitUntil(piece.due) {
				return
			}
			if _, err := c.Conn.Write(piece.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

// waitUntil waits until due and until the connection is not silent.
func (c *delayedConn) waitUntil(due time.Time) bool {
	const silentPoll = 50 * time.Millisecond
	wait := time.Until(due)
	for {
		if wait > 0 {
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-c.closed:
				timer.Stop()
				return false
			}
		}
		if !c.silent.Load() {
			return true
		}
		wait = silentPoll
	}
}

func (c *delayedConn) pumpIn() {
	for {
		buffer := make([]byte, 8<<10)
		count, err := c.Conn.Read(buffer)
		c.count(count)
		select {
		case c.inbound <- delayed{data: buffer[:count], due: time.Now().Add(c.delay), err: err}:
		case <-c.closed:
			return
		}
		if err != nil {
			return
		}
	}
}

// Read implements net.Conn.
func (c *delayedConn) Read(buffer []byte) (int, error) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for len(c.rest) == 0 {
		if c.readErr != nil {
			return 0, c.readErr
		}
		if err := c.nextPiece(); err != nil {
			return 0, err
		}
	}
	count := copy(buffer, c.rest)
	c.rest = c.rest[count:]
	return count, nil
}

func (c *delayedConn) nextPiece() error {
	var expired <-chan time.Time
	if deadline := c.deadline.Load(); deadline != 0 {
		timer := time.NewTimer(time.Until(time.Unix(0, deadline)))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case piece := <-c.inbound:
		if !c.waitUntil(piece.due) {
			return net.ErrClosed
		}
		c.rest = piece.data
		c.readErr = piece.err
		return nil
	case <-expired:
		return timeoutError{}
	case <-c.closed:
		return net.ErrClosed
	}
}

// Write implements net.Conn.
func (c *delayedConn) Write(data []byte) (int, error) {
	c.count(len(data))
	piece := delayed{data: append([]byte(nil), data...), due: time.Now().Add(c.delay)}
	select {
	case c.outbound <- piece:
		return len(data), nil
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// SetReadDeadline implements net.Conn for the delayed side.
func (c *delayedConn) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		c.deadline.Store(0)
		return nil
	}
	c.deadline.Store(deadline.UnixNano())
	return nil
}

// SetDeadline implements net.Conn.
func (c *delayedConn) SetDeadline(deadline time.Time) error {
	_ = c.Conn.SetWriteDeadline(deadline)
	return c.SetReadDeadline(deadline)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.topology.mutex.Lock()
		delete(c.topology.links, c)
		c.topology.mutex.Unlock()
	})
	return c.Conn.Close()
}

// timeoutError is the expiry of a read deadline.
type timeoutError struct{}

func (timeoutError) Error() string   { return "read deadline passed" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// PlatformPlace is the platform's name in the topology.
const PlatformPlace = "platform"
