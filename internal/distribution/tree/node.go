package tree

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/endpoint"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/revisionfloor"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/distribution/status"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Node implements the part of one daemon in the distribution tree.
type Node struct {
	config Config

	// catchUpLimiter limits the rate of large updates to children; joinLimiter limits the rate of
	// admissions.
	catchUpLimiter *rate.Limiter
	joinLimiter    *rate.Limiter

	// mutex protects everything below.
	mutex sync.Mutex

	holdings *holdings.Holdings
	// requestedInterest is the interest last requested from the parent, with subscription version
	// requestedVersion. pendingInterests maps the versions that no update has covered yet to their
	// interests. coveredVersion is the version that the holdings cover.
	requestedInterest holdings.Interest
	requestedVersion  uint64
	pendingInterests  map[uint64]holdings.Interest
	coveredVersion    uint64
	// shrinkableSince is the time since which requestedInterest exceeds the needed interest, zero
	// while it does not.
	shrinkableSince time.Time

	registry *endpoint.Registry
	// flushedChange is the registry change number up to which endpoints may be sent.
	flushedChange  uint64
	flushScheduled bool
	// localEndpoints are the instances of this machine, and sequence is the number of the last
	// statement about one of them.
	sequence       uint64
	localEndpoints []*lapisv1.Endpoint
	// leavingMachines is the set of machines that the machine list reports as leaving. Only readers
	// maintain it.
	leavingMachines map[string]bool

	floors *revisionfloor.Broker
	// floorRequestInFlight is true while this reader reads the floor or the parent has been sent a
	// floor request.
	floorRequestInFlight bool
	// floorReadID identifies the current floor read. It increases with every read that starts or is
	// aborted.
	floorReadID uint64
	floorKnown  bool
	floor       uint64
	// inForce is the revision last passed to the observer, 0 before the first.
	inForce uint64
	// lastRefusal describes the last update that could not be applied, nil after a later version
	// was put in force.
	lastRefusal *lapisv1.NodeStatus

	children map[string]*childSession
	parent   *parentLink
	mesh     map[string]*readerLink
	// path holds the names of the nodes from the root to this node inclusive; it is empty while
	// there is no path to a reader.
	path       []string
	candidates *membership.Candidates
	// learnedReaders are the readers listed by the parent.
	learnedReaders []*lapisv1.PeerAddress
	// sentReaders encodes the readers that were last sent to the children.
	sentReaders string
	seats       *seat.Table
	// storeReachable is false while the object API cannot be read.
	storeReachable bool
	lease          *seat.Lease
	// reader is true while the node holds a seat.
	reader bool
	// offered is the seat offered by the last parent, nil when there is none.
	offered *seat.Vacancy
	// stopping is true after Drain.
	stopping bool
	// counts holds the counters of Info with the same names.
	counts struct{ joins, resyncs, joinsServed, joinsRefused int64 }
}

// New returns a node that is inactive until Run is called.
func New(config Config) *Node {
	tunables := config.Tunables
	node := &Node{
		config:            config,
		catchUpLimiter:    rate.NewLimiter(rate.Limit(tunables.CatchUpBytesPerSecond), tunables.CatchUpBurstBytes),
		joinLimiter:       rate.NewLimiter(rate.Limit(tunables.JoinsPerSecond), int(tunables.JoinsPerSecond)),
		holdings:          holdings.New(),
		requestedInterest: config.Interest,
		pendingInterests:  map[uint64]holdings.Interest{},
		registry:          endpoint.NewRegistry(),
		leavingMachines:   map[string]bool{},
		floors:            &revisionfloor.Broker{},
		children:          map[string]*childSession{},
		mesh:              map[string]*readerLink{},
		candidates:        membership.NewCandidates(config.Address, config.Zone, config.Region, config.Seeds, config.Random),
		seats:             seat.NewTable(tunables.SeatLease.Get()),
		lease:             seat.NewLease(tunables.SeatLease.Get()),
	}
	node.requestedVersion = 1
	node.pendingInterests[1] = config.Interest
	return node
}

// Run takes part in the distribution until ctx ends: as a child and, while the node holds a seat,
// as a reader.
func (n *Node) Run(ctx context.Context) {
	go n.requestOwnFloor()
	go n.housekeep(ctx)
	for ctx.Err() == nil {
		vacancy, found := n.runChild(ctx)
		if found {
			n.runReader(ctx, vacancy)
		}
	}
	n.closeLinks()
}

// housekeepInterval is the time between two checks of conditions that only depend on time. Shorter
// intervals used 5% of the processor time of 1000 daemons in one process. It adds to GoneRetention
// and InterestShrinkDelay and must stay well below both.
const housekeepInterval = 5 * time.Second

// housekeep removes expired endpoints and idle interest every housekeepInterval until ctx ends.
func (n *Node) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.mutex.Lock()
			n.registry.Expire(now.Add(-n.config.Tunables.GoneRetention.Get()))
			n.shrinkIdleInterest(now)
			n.mutex.Unlock()
		}
	}
}

// closeLinks closes the links to all children and to all other readers.
func (n *Node) closeLinks() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, child := range n.children {
		child.close()
	}
	for _, link := range n.mesh {
		link.close()
	}
}

// Drain makes the children join another parent, as the first step of a planned stop. Afterwards the
// node admits no children and takes no seat, and a reader releases its seat.
func (n *Node) Drain() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stopping = true
	for _, child := range n.children {
		child.evict = true
		child.signal()
	}
}

// Info returns a snapshot of the node's state.
func (n *Node) Info() Info {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	info := Info{
		Node: n.config.Node, Zone: n.config.Zone, Role: n.role(),
		Revision: n.holdings.Revision(), InForce: n.inForce, FloorKnown: n.floorKnown,
		HasReaderPath: len(n.path) > 0, Children: len(n.children), Depth: len(n.path),
		Endpoints: n.registry.Len(),
		Joins:     n.counts.joins, Resyncs: n.counts.resyncs,
		JoinsServed: n.counts.joinsServed, JoinsRefused: n.counts.joinsRefused,
	}
	if n.reader {
		info.SeatState = string(n.lease.State(boottime.Now()))
	}
	return info
}

// role returns the node's role; the caller holds mutex.
func (n *Node) role() Role {
	switch {
	case n.reader:
		return RoleReader
	case len(n.children) > 0:
		return RoleRelay
	default:
		return RoleLeaf
	}
}

// report returns the status report of the subtree; the caller holds mutex.
func (n *Node) report() *lapisv1.StatusReport {
	self := &lapisv1.NodeStatus{
		Node: n.config.Node, Zone: n.config.Zone, Revision: n.inForce,
		Depth: uint32(len(n.path)), Reader: n.reader,
		RefusalCode: n.lastRefusal.GetRefusalCode(), RefusedRevision: n.lastRefusal.GetRefusedRevision(),
	}
	reports := make([]*lapisv1.StatusReport, 0, len(n.children))
	for _, child := range n.children {
		if child.report != nil {
			reports = append(reports, child.report)
		}
	}
	merged := status.Merge(self, reports)
	merged.HighestRevision = max(merged.HighestRevision, n.holdings.Revision())
	return merged
}

// setPath replaces the path from the root and sends it to the children; the caller holds mutex.
func (n *Node) setPath(path []string) {
	if slices.Equal(n.path, path) {
		return
	}
	n.path = path
	n.resendPath()
	n.startFloorRead()
}

// wakeChildren signals every child's sender; the caller holds mutex.
func (n *Node) wakeChildren() {
	for _, child := range n.children {
		child.signal()
	}
}

// publish passes the current version to the observer. It does nothing while the floor is unknown,
// when the version is below the floor or not newer than the version in force, or while the holdings
// do not cover the node's own services. The caller holds mutex.
func (n *Node) publish() {
	revision := n.holdings.Revision()
	if !n.floorKnown || revision < n.floor || revision <= n.inForce {
		return
	}
	if !n.holdings.Interest().Covers(n.config.Interest) {
		return
	}
	n.inForce = revision
	n.lastRefusal = nil
	n.config.Observer.Apply(Applied{
		Revision:           revision,
		AcceptedUnixMillis: n.holdings.AcceptedUnixMillis(),
		Bundles:            n.holdings.Bundles(n.config.Interest),
	})
}
