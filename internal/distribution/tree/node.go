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
	// requested is the interest last asked of the parent, under
	// requestedVersion; asked holds the interests of versions not yet
	// reflected by an update.
	requested        holdings.Interest
	requestedVersion uint64
	asked            map[uint64]holdings.Interest
	coveredVersion   uint64
	shrinkSince      time.Time

	registry *endpoint.Registry
	// flushed is the registry change up to which endpoints may be sent.
	flushed        uint64
	flushScheduled bool
	sequence       uint64
	local          []*lapisv1.Endpoint
	// leaving names the machines that the machine list shows as leaving; only
	// a reader knows them.
	leaving map[string]bool

	floors *revisionfloor.Broker
	// floorIssued is true while a floor read is under way, here or above.
	floorIssued bool
	floorKnown  bool
	floor       uint64
	inForce     uint64
	refusal     *lapisv1.NodeStatus

	children map[string]*childSession
	parent   *parentLink
	mesh     map[string]*readerLink
	// path is the way from the root to this node, this node included; it is
	// empty when there is none.
	path       []string
	candidates *membership.Candidates
	// learnedReaders are the zone's readers as the parent named them.
	learnedReaders []*lapisv1.PeerAddress
	// holderNames is the set of readers that the children were last told of.
	holderNames string
	seats       *seat.Table
	// sourceSeen is false while the object API is out of sight.
	sourceSeen bool
	lease      *seat.Lease
	reader     bool
	offered    *seat.Vacancy
	stopping   bool
	counts     nodeCounts
}

type nodeCounts struct {
	joins, resyncs, joinsServed, joinsRefused int64
	fullUpdates, updates                      int64
}

// New returns a node that does nothing until Run.
func New(config Config) *Node {
	if config.Observer == nil {
		config.Observer = NopObserver{}
	}
	tunables := config.Tunables
	node := &Node{
		config:     config,
		catchUp:    rate.NewLimiter(rate.Limit(tunables.CatchUpBytesPerSecond), tunables.CatchUpBurstBytes),
		joins:      rate.NewLimiter(rate.Limit(tunables.JoinsPerSecond), int(tunables.JoinsPerSecond)),
		holdings:   holdings.New(),
		requested:  config.Interest,
		asked:      map[uint64]holdings.Interest{},
		registry:   endpoint.NewRegistry(),
		leaving:    map[string]bool{},
		floors:     &revisionfloor.Broker{},
		children:   map[string]*childSession{},
		mesh:       map[string]*readerLink{},
		candidates: membership.NewCandidates(config.Address, config.Zone, config.Region, config.Seeds, config.Random),
		seats:      seat.NewTable(tunables.SeatLease.Get()),
		lease:      seat.NewLease(tunables.SeatLease.Get()),
	}
	node.requestedVersion = 1
	node.asked[1] = config.Interest
	return node
}

// Run takes part in the distribution until ctx ends. The node alternates
// between being a child and, after taking a seat, being a reader.
func (n *Node) Run(ctx context.Context) {
	go n.askOwnFloor()
	go n.housekeep(ctx)
	for ctx.Err() == nil {
		vacancy, found := n.runChild(ctx)
		if found {
			n.runReader(ctx, vacancy)
		}
	}
	n.closeLinks()
}

// housekeepInterval is the time between looks at timed conditions.
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

// Leave tells the children to look for another parent, as the first step of a
// planned stop. The node accepts no children afterwards.
func (n *Node) Leave() {
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
	bundles, _ := n.holdings.Size()
	info := Info{
		Node: n.config.Node, Zone: n.config.Zone, Role: n.role(),
		Revision: n.holdings.Revision(), InForce: n.inForce, FloorKnown: n.floorKnown,
		Rooted: len(n.path) > 0, Children: len(n.children), Depth: len(n.path),
		Subtree: n.report().GetNodes(), Endpoints: n.registry.Len(), Bundles: bundles,
		Joins: n.counts.joins, Resyncs: n.counts.resyncs,
		JoinsServed: n.counts.joinsServed, JoinsRefused: n.counts.joinsRefused,
		FullUpdatesSent: n.counts.fullUpdates, UpdatesSent: n.counts.updates,
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

// setPath replaces the way from the root and tells the children; the caller
// holds mutex.
func (n *Node) setPath(path []string) {
	if slices.Equal(n.path, path) {
		return
	}
	n.path = path
	n.repeatPath()
	n.startFloorRead()
}

// wakeChildren makes every child session look for something to send; the
// caller holds mutex.
func (n *Node) wakeChildren() {
	for _, child := range n.children {
		child.signal()
	}
}

// publish hands the present version to the observer when the floor allows it;
// the caller holds mutex.
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
