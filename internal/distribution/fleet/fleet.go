package fleet

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Bounds and times of what is known of other daemons.
const (
	// maxMembers bounds the daemons that are remembered.
	maxMembers = 32768
	// forgetAfter is how long the instances of a daemon that cannot be reached
	// are remembered.
	forgetAfter = 30 * time.Second
	// doubtAfter is how long a daemon may be out of reach before another one is
	// taken in its place.
	doubtAfter = 3 * time.Second
	// withdrawnMemory is how long it is remembered that a daemon named an
	// instance as having left. It is longer than a heartbeat may be late.
	withdrawnMemory = 10 * time.Minute
	// unansweredAfter is that time for one that was never in reach since it is
	// wanted.
	unansweredAfter = 1200 * time.Millisecond
	// reviewInterval is the longest time between two looks at which daemons
	// are wanted.
	reviewInterval = time.Second
)

// Observer hears of changes. Its methods are called without a lock held.
type Observer interface {
	// Endpoints gives all instances known of a service. It is never called
	// twice at the same time.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
	// Members gives the number of daemons, this one included.
	Members(count int)
	// Offer brings a configuration that another daemon has in force.
	Offer(configuration *lapisv1.Configuration)
	// Ordered brings the operators' orders that another daemon follows.
	Ordered(set *orders.Set, from string)
	// Suspected brings what another daemon knows of requests under which instances ended.
	Suspected(records []quarantine.Record, from string)
	// Withdraw names an instance beside this daemon that left in an earlier
	// life of the daemon.
	Withdraw(instance string)
}

// Config configures a Fleet.
type Config struct {
	Self        Member
	Incarnation uint64
	Directory   Directory
	// Calls keeps the connections; its Maintained must be set.
	Calls    *callmux.Client
	Observer Observer
	// InForce returns the configuration in force, nil before the first.
	InForce func() *lapisv1.Configuration
	// Orders returns the operators' orders in force, nil before the first; it is nil
	// itself where operators give none.
	Orders func() *orders.Set
	// Suspects returns all that is known of requests under which instances ended; nil
	// where that is not told.
	Suspects func() []quarantine.Record
	// Freshness is how recently both were confirmed to be the newest.
	Freshness *configsource.Freshness
	// Withdrawn returns the instances beside this daemon that left for good.
	Withdrawn func() []string
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger
}

// Fleet is this daemon's knowledge of all others.
type Fleet struct {
	config  Config
	running sync.WaitGroup
	// changed wakes the reporting to the observer, review the choice of
	// daemons to connect to, behind the catching up.
	changed chan struct{}
	review  chan struct{}
	behind  chan struct{}
	// arrived wakes the catching up when a configuration came.
	arrived chan struct{}
	// outgoing is the configuration in force as it is sent to others.
	outgoing outgoing

	// mutex protects everything below and the fields of peers and listeners.
	mutex   sync.Mutex
	members map[string]*peer
	// listeners are the connections that other daemons opened.
	listeners map[*listener]bool
	local     []*lapisv1.Endpoint
	// withdrawn are the local instances that left for good.
	withdrawn []string
	// services are those reported to the observer before.
	services map[string]bool
}

// peer is what is known of another daemon; Fleet.mutex protects its fields.
type peer struct {
	Member
	// stop ends the keeping of a connection; nil while none is wanted. keptSince
	// is when that began.
	stop      context.CancelFunc
	keptSince time.Time
	// connected is true while calls can be sent there over link.
	connected bool
	// stalled is true while the daemon does not answer.
	stalled bool
	link    callmux.Link
	// generation numbers the connections opened; what comes late on an earlier
	// one does not count.
	generation uint64
	// lostAt is when it was last in reach, or first heard of.
	lostAt       time.Time
	announcement *lapisv1.Announcement
	revision     uint64
	// wake asks for a connection to be tried at once, ordered for the orders to be
	// sent on the one that there is.
	wake, ordered chan struct{}
	// untold is what it is to be told of suspects.
	untold untold
	// displacedAt is when another daemon was found at the address; zero while none
	// was.
	displacedAt time.Time
	// listed is what the directory said of the daemon while it was connected
	// elsewhere; nil when it said nothing else.
	listed *Member
	// withdrawn are the peer's instances that it said left for good, in this
	// or an earlier incarnation, with the time when it last said so.
	withdrawn map[string]time.Time
}

// New returns a fleet; Run makes it work.
func New(config Config) *Fleet {
	return &Fleet{
		config:  config,
		changed: make(chan struct{}, 1), review: make(chan struct{}, 1), behind: make(chan struct{}, 1), arrived: make(chan struct{}, 1),
		members: map[string]*peer{}, listeners: map[*listener]bool{}, services: map[string]bool{},
	}
}

// Run keeps in touch until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.running.Go(func() { f.followDirectory(ctx) })
	f.running.Go(func() { f.report(ctx) })
	f.running.Go(func() { f.catchUp(ctx) })
	f.running.Go(func() { f.keepWanted(ctx) })
	<-ctx.Done()
	f.running.Wait()
}

// SetLocalEndpoints tells the daemons that use them about the instances beside
// this one.
func (f *Fleet) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	withdrawn := f.config.Withdrawn()
	f.mutex.Lock()
	f.withdrawn = withdrawn
	for _, endpoint := range endpoints {
		own(endpoint, f.config.Self, f.config.Incarnation)
	}
	f.local = endpoints
	f.mutex.Unlock()
	f.announceAll()
	signal(f.changed)
}

// announceAll sends this daemon's announcement to all that listen.
func (f *Fleet) announceAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for open := range f.listeners {
		signal(open.wake)
	}
}

// Endpoints returns the known instances of a service.
func (f *Fleet) Endpoints(service string) []*lapisv1.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.endpoints()[service]
}

// Connected returns the number of daemons that calls can be sent to.
func (f *Fleet) Connected() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, member := range f.members {
		if member.connected {
			count++
		}
	}
	return count
}

// Known returns the number of other daemons known.
func (f *Fleet) Known() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.members)
}

// Stalled notes that the daemon at an address does not answer, or does again.
func (f *Fleet) Stalled(address string, stalled bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, member := range f.members {
		if member.Address != address || member.stalled == stalled {
			continue
		}
		member.stalled = stalled
		f.config.Logger.Info("fleet.stalled", "member", member.Node, "stalled", stalled)
		signal(f.changed)
	}
}

// peerOf returns the peer of a member's name, a new one if it was not known; the
// caller holds mutex. nil is returned for one that cannot be taken in.
func (f *Fleet) peerOf(member Member) *peer {
	if member.Node == f.config.Self.Node || member.Node == "" || member.Address == "" {
		return nil
	}
	if member.Address == f.config.Self.Address {
		// It had this daemon's address before.
		return nil
	}
	known, ok := f.members[member.Node]
	if !ok && len(f.members) >= maxMembers {
		return nil
	}
	if !ok {
		known = &peer{wake: make(chan struct{}, 1), ordered: make(chan struct{}, 1), untold: newUntold(), withdrawn: map[string]time.Time{}, lostAt: boottime.Now()}
		f.members[member.Node] = known
		f.config.Logger.V(1).Info("fleet.member_known", "member", member.Node, "address", member.Address, "zone", member.Zone)
		signal(f.changed)
		f.move(known, member)
	}
	return known
}

// keepWanted keeps connections to the daemons that are wanted until ctx ends.
func (f *Fleet) keepWanted(ctx context.Context) {
	ticker := time.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		f.reviewWanted(ctx)
		select {
		case <-ctx.Done():
			return
		case <-f.review:
		case <-ticker.C:
		}
	}
}

// reviewWanted starts what is wanted and not kept, and ends what is kept and
// not wanted, once no call uses it.
func (f *Fleet) reviewWanted(ctx context.Context) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	candidates := make([]candidate, 0, len(f.members))
	for _, member := range f.members {
		if !member.displaced(boottime.Now()) {
			candidates = append(candidates, candidate{Member: member.Member, doubtful: member.doubtful(boottime.Now()), evacuated: f.evacuated(member.Zone)})
		}
	}
	chosen := wantedBeside(f.config.Self, candidates)
	for node, member := range f.members {
		switch {
		case chosen[node] && member.stop == nil:
			keepCtx, stop := context.WithCancel(ctx)
			member.stop = stop
			member.keptSince = boottime.Now()
			f.running.Go(func() { f.maintain(keepCtx, member) })
		case !chosen[node] && member.stop != nil && (!member.connected || member.link.Active() == 0):
			member.stop()
			member.stop = nil
		}
	}
}

// doubtful reports whether a wanted connection is missing for so long that another
// is taken in its place. One that is not wanted is not tried, so that nothing speaks
// against it; Fleet.mutex is held.
func (p *peer) doubtful(now time.Time) bool {
	switch {
	case !p.displacedAt.IsZero():
		return true
	case p.stop == nil || p.connected:
		return false
	case p.lostAt.After(p.keptSince):
		return now.Sub(p.lostAt) > doubtAfter
	default:
		return now.Sub(p.keptSince) > unansweredAfter
	}
}

// own fills in who states an endpoint.
func own(endpoint *lapisv1.Endpoint, member Member, incarnation uint64) {
	endpoint.Node = member.Node
	endpoint.Address = member.Address
	endpoint.Zone = member.Zone
	endpoint.Region = member.Region
	endpoint.Incarnation = incarnation
}

// announcement returns this daemon's own; the caller holds mutex.
func (f *Fleet) announcement() *lapisv1.Announcement {
	self := f.config.Self
	return &lapisv1.Announcement{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Region: self.Region, Incarnation: f.config.Incarnation,
		Revision: f.revision(), Endpoints: f.local, Withdrawn: f.withdrawn,
	}
}

// announced takes in another daemon's announcement, which came on the
// connection that this daemon opened.
func (f *Fleet) announced(member *peer, generation uint64, announcement *lapisv1.Announcement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if announcement.GetNode() != member.Node || generation != member.generation {
		return
	}
	if region := announcement.GetRegion(); region != "" && region != member.Region {
		// Its entry in the directory was written before entries had one.
		member.Region = region
		signal(f.review)
	}
	for _, endpoint := range announcement.GetEndpoints() {
		own(endpoint, member.Member, announcement.GetIncarnation())
	}
	member.noteWithdrawn(announcement.GetWithdrawn(), boottime.Now())
	member.announcement = announcement
	f.noteRevision(member, announcement.GetRevision())
	signal(f.changed)
}

// noteWithdrawn notes which instances a peer says have left, and forgets those
// that it has not named for long; Fleet.mutex is held.
func (p *peer) noteWithdrawn(instances []string, now time.Time) {
	for _, instance := range instances {
		p.withdrawn[instance] = now
	}
	maps.DeleteFunc(p.withdrawn, func(_ string, said time.Time) bool { return now.Sub(said) > withdrawnMemory })
}

// noteRevision notes what a daemon has in force; the caller holds mutex.
func (f *Fleet) noteRevision(member *peer, revision uint64) {
	member.revision = max(member.revision, revision)
	if revision > f.revision() {
		signal(f.behind)
	}
}

func (f *Fleet) revision() uint64 { return f.config.InForce().GetRevision() }

// endpoints returns all known instances by service, in order of instance; the
// caller holds mutex.
func (f *Fleet) endpoints() map[string][]*lapisv1.Endpoint {
	services := map[string][]*lapisv1.Endpoint{}
	for _, endpoint := range f.local {
		services[endpoint.GetService()] = append(services[endpoint.GetService()], endpoint)
	}
	for _, member := range f.members {
		if member.stop == nil || (!member.connected && boottime.Since(member.lostAt) > forgetAfter) {
			continue
		}
		for _, endpoint := range member.announcement.GetEndpoints() {
			services[endpoint.GetService()] = append(services[endpoint.GetService()], member.seen(endpoint))
		}
	}
	for _, endpoints := range services {
		slices.SortFunc(endpoints, func(a, b *lapisv1.Endpoint) int {
			return strings.Compare(a.GetInstance(), b.GetInstance())
		})
	}
	return services
}

// seen returns an endpoint as this daemon sees it: one that it cannot reach is
// suspect.
func (p *peer) seen(endpoint *lapisv1.Endpoint) *lapisv1.Endpoint {
	if (p.connected && !p.stalled) || endpoint.GetState() != lapisv1.Endpoint_STATE_READY {
		return endpoint
	}
	return &lapisv1.Endpoint{
		Service: endpoint.GetService(), Instance: endpoint.GetInstance(), Node: endpoint.GetNode(),
		Address: endpoint.GetAddress(), Zone: endpoint.GetZone(), Region: endpoint.GetRegion(), Incarnation: endpoint.GetIncarnation(),
		Slots: endpoint.GetSlots(), State: lapisv1.Endpoint_STATE_SUSPECT,
	}
}

// report tells the observer of changes until ctx ends.
func (f *Fleet) report(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		}
		f.mutex.Lock()
		endpoints := f.endpoints()
		count := len(f.members) + 1
		for service := range f.services {
			if _, ok := endpoints[service]; !ok {
				endpoints[service] = nil
			}
		}
		for service := range endpoints {
			f.services[service] = true
		}
		f.mutex.Unlock()
		for service, known := range endpoints {
			f.config.Observer.Endpoints(service, known)
		}
		f.config.Observer.Members(count)
	}
}

// signal wakes whoever waits on channel, without waiting itself.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
