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

// Node is one daemon's part in the distribution.
type Node struct {
	config Config

	// catchUp paces full updates to children; joins paces admissions.
	catchUp *rate.Limiter
	joins   *rate.Limiter

	// mutex protects everything below.
	mutex sync.Mutex

	holdings *holdings.Holdings
	// requested is the interest last requested of the parent, under requestedVersion;
	// pendingInterests holds the interests of the versions that no update reflects yet,
	// and coveredVersion is the version that the holdings reflect.
	requested        holdings.Interest
	requestedVersion uint64
	pendingInterests map[uint64]holdings.Interest
	coveredVersion   uint64
	// shrinkSince is when the request was first seen to be wider than needed, zero
	// while it is not.
	shrinkSince time.Time

	registry *endpoint.Registry
	// flushed is the registry change up to which endpoints may be sent.
	flushed        uint64
	flushScheduled bool
	// local are the instances beside this daemon, sequence the number of the last
	// statement about one of them.
	sequence uint64
	local    []*lapisv1.Endpoint
	// leaving names the machines that the machine list shows as leaving; only readers read it.
	leaving map[string]bool

	floors *revisionfloor.Broker
	// floorIssued is true while a floor request is under way at this reader or was sent
	// to the parent.
	floorIssued bool
	floorKnown  bool
	floor       uint64
	// inForce is the revision last handed to the observer, 0 before the first.
	inForce uint64
	// refusal is the last version that could not be applied, nil since one could.
	refusal *lapisv1.NodeStatus

	children map[string]*childSession
	parent   *parentLink
	mesh     map[string]*readerLink
	// path is the names from the root to this node, itself included; it is empty
	// while there is no path to a reader.
	path       []string
	candidates *membership.Candidates
	// learnedReaders are the readers that the parent named.
	learnedReaders []*lapisv1.PeerAddress
	// sentReaderNames are the readers that a reader last sent to its children.
	sentReaderNames string
	seats           *seat.Table
	// storeReachable is false while the object API cannot be read.
	storeReachable bool
	lease          *seat.Lease
	// reader is true while the node holds a seat.
	reader bool
	// offered is the seat that the last parent offered, nil when there is none.
	offered *seat.Vacancy
	// stopping is true after Drain.
	stopping bool
	// counts are the numbers of the same names in Info.
	counts struct{ joins, resyncs, joinsServed, joinsRefused int64 }
}

// New returns a node that does nothing until Run.
func New(config Config) *Node {
	tunables := config.Tunables
	node := &Node{
		config:           config,
		catchUp:          rate.NewLimiter(rate.Limit(tunables.CatchUpBytesPerSecond), tunables.CatchUpBurstBytes),
		joins:            rate.NewLimiter(rate.Limit(tunables.JoinsPerSecond), int(tunables.JoinsPerSecond)),
		holdings:         holdings.New(),
		requested:        config.Interest,
		pendingInterests: map[uint64]holdings.Interest{},
		registry:         endpoint.NewRegistry(),
		leaving:          map[string]bool{},
		floors:           &revisionfloor.Broker{},
		children:         map[string]*childSession{},
		mesh:             map[string]*readerLink{},
		candidates:       membership.NewCandidates(config.Address, config.Zone, config.Region, config.Seeds, config.Random),
		seats:            seat.NewTable(tunables.SeatLease.Get()),
		lease:            seat.NewLease(tunables.SeatLease.Get()),
	}
	node.requestedVersion = 1
	node.pendingInterests[1] = config.Interest
	return node
}

// Run takes part in the distribution until ctx ends, as a child and, while the node holds a
// seat, as a reader.
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

// housekeepInterval is the time between two checks of conditions that depend on time
// alone. A shorter one took 5% of the processor time of 1000 daemons in one process; it
// must stay well under GoneAfter and InterestShrinkDelay, to which it adds.
const housekeepInterval = 5 * time.Second

func (n *Node) housekeep(ctx context.Context) {
	ticker := time.NewTicker(housekeepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.mutex.Lock()
			n.registry.Expire(now.Add(-n.config.Tunables.GoneAfter.Get()))
			n.considerShrinking(now)
			n.mutex.Unlock()
		}
	}
}

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

// Drain makes the children join another parent, as the first step of a planned stop. Afterwards
// the node accepts no children and takes no seat, and a reader gives its seat back.
func (n *Node) Drain() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stopping = true
	for _, child := range n.children {
		child.expel = true
		child.signal()
	}
}

// Info returns the node's condition.
func (n *Node) Info() Info {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	info := Info{
		Node: n.config.Node, Zone: n.config.Zone, Role: n.role(),
		Revision: n.holdings.Revision(), InForce: n.inForce, FloorKnown: n.floorKnown,
		Rooted: len(n.path) > 0, Children: len(n.children), Depth: len(n.path),
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

// report sums up the subtree; the caller holds mutex.
func (n *Node) report() *lapisv1.StatusReport {
	self := &lapisv1.NodeStatus{
		Node: n.config.Node, Zone: n.config.Zone, Revision: n.inForce,
		Depth: uint32(len(n.path)), Reader: n.reader,
		RefusalCode: n.refusal.GetRefusalCode(), RefusedRevision: n.refusal.GetRefusedRevision(),
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

// wakeChildren makes every child's sender compute what the child lacks; the caller holds mutex.
func (n *Node) wakeChildren() {
	for _, child := range n.children {
		child.signal()
	}
}

// publish hands the present version to the observer. It does not while the floor is not
// known, when the version is below the floor or not newer than what is in force, and
// while the holdings lack some of the node's own services. The caller holds mutex.
func (n *Node) publish() {
	revision := n.holdings.Revision()
	if !n.floorKnown || revision < n.floor || revision <= n.inForce {
		return
	}
	if !n.holdings.Interest().Covers(n.config.Interest) {
		return
	}
	n.inForce = revision
	n.refusal = nil
	n.config.Observer.Apply(Applied{
		Revision:           revision,
		AcceptedUnixMillis: n.holdings.AcceptedUnixMillis(),
		Bundles:            n.holdings.Bundles(n.config.Interest),
	})
}
