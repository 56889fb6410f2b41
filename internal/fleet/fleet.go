package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callmux"
)

// announceDelay is how long changes that do not matter at once are gathered.
const announceDelay = 200 * time.Millisecond

// maxMembers bounds what is remembered of other daemons.
const maxMembers = 4096

// Observer hears of changes. Its methods are called without a lock held, and
// never at the same time.
type Observer interface {
	// Endpoints gives all instances known of a service.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
	// Members gives the number of daemons, this one included.
	Members(count int)
	// Offer brings a configuration that another daemon has in force.
	Offer(configuration *lapisv1.Configuration)
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
	// changed wakes the reporting to the observer.
	changed chan struct{}
	behind  chan struct{}

	// mutex protects everything below and the fields of members.
	mutex   sync.Mutex
	members map[string]*peer
	local   []*lapisv1.Endpoint
	// withdrawn are the local instances that left for good.
	withdrawn []string
	// sequence is that of this daemon's own announcement.
	sequence uint64
	leaving  bool
	// soon is true while an announcement is planned.
	soon bool
	// services are those reported to the observer before.
	services map[string]bool
	// runContext is set by Run.
	runContext context.Context
}

// peer is what is known of another daemon; Fleet.mutex protects its fields.
type peer struct {
	Member
	incarnation uint64
	// connected is true while calls can be sent there.
	connected    bool
	link         callmux.Link
	lostAt       time.Time
	announcement *lapisv1.Announcement
	// wake asks for an announcement to be sent, or for a connection to be
	// tried at once.
	wake chan struct{}
	// withdrawn are the peer's instances that it said left for good, in this
	// or an earlier incarnation.
	withdrawn map[string]bool
}

// New returns a fleet; Run makes it work.
func New(config Config) *Fleet {
	return &Fleet{
		config: config, changed: make(chan struct{}, 1), behind: make(chan struct{}, 1),
		members: map[string]*peer{}, services: map[string]bool{},
	}
}

// Run keeps in touch until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.mutex.Lock()
	f.runContext = ctx
	f.mutex.Unlock()
	f.running.Go(func() { f.followDirectory(ctx) })
	f.running.Go(func() { f.report(ctx) })
	f.running.Go(func() { f.catchUp(ctx) })
	<-ctx.Done()
	f.running.Wait()
}

// SetLocalEndpoints tells all daemons about the instances beside this one.
func (f *Fleet) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	withdrawn := f.config.Withdrawn()
	f.mutex.Lock()
	f.withdrawn = withdrawn
	for _, endpoint := range endpoints {
		f.own(endpoint, f.config.Self, f.config.Incarnation)
	}
	f.local = endpoints
	f.mutex.Unlock()
	f.AnnounceAll()
	signal(f.changed)
}

// AnnounceAll sends this daemon's announcement to all others.
func (f *Fleet) AnnounceAll() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sequence++
	for _, member := range f.members {
		signal(member.wake)
	}
}

// AnnounceSoon sends this daemon's announcement to all others a moment from now,
// together with what else changes until then.
func (f *Fleet) AnnounceSoon() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.soon {
		return
	}
	f.soon = true
	time.AfterFunc(announceDelay, func() {
		f.mutex.Lock()
		f.soon = false
		f.mutex.Unlock()
		f.AnnounceAll()
	})
}

// Leave tells all others that this daemon is about to stop.
func (f *Fleet) Leave() {
	f.mutex.Lock()
	f.leaving = true
	f.mutex.Unlock()
	f.AnnounceAll()
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

// learn takes in that a daemon exists.
func (f *Fleet) learn(member Member) {
	if member.Node == f.config.Self.Node || member.Node == "" || member.Address == "" {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.peerOf(member)
}

// peerOf returns the peer for a member, a new one if it was not known; the
// caller holds mutex. nil is returned for one that cannot be taken in.
func (f *Fleet) peerOf(member Member) *peer {
	known, ok := f.members[member.Node]
	if ok {
		if known.Address != member.Address {
			known.Address = member.Address
			signal(known.wake)
		}
		return known
	}
	ctx := f.runContext
	if ctx == nil || ctx.Err() != nil || len(f.members) >= maxMembers {
		return nil
	}
	added := &peer{Member: member, wake: make(chan struct{}, 1), withdrawn: map[string]bool{}, lostAt: time.Now()}
	f.members[member.Node] = added
	f.config.Logger.V(1).Info("fleet.member_known", "member", member.Node, "address", member.Address, "zone", member.Zone)
	f.running.Go(func() { f.maintain(ctx, added) })
	signal(f.changed)
	return added
}

// renewed notes the incarnation that a new connection showed; the caller holds
// mutex. What an earlier incarnation announced no longer holds.
func (p *peer) renewed(incarnation uint64) {
	if p.incarnation == incarnation {
		return
	}
	p.incarnation = incarnation
	p.announcement = nil
}

// own fills in who states an endpoint.
func (f *Fleet) own(endpoint *lapisv1.Endpoint, member Member, incarnation uint64) {
	endpoint.Node = member.Node
	endpoint.Address = member.Address
	endpoint.Zone = member.Zone
	endpoint.Incarnation = incarnation
}

// announcement returns this daemon's own; the caller holds mutex.
func (f *Fleet) announcement() *lapisv1.Announcement {
	revision := uint64(0)
	if configuration := f.config.InForce(); configuration != nil {
		revision = configuration.GetRevision()
	}
	self := f.config.Self
	return &lapisv1.Announcement{
		Node: self.Node, Address: self.Address, Zone: self.Zone, Incarnation: f.config.Incarnation,
		Sequence: f.sequence, Revision: revision, Endpoints: f.local, Leaving: f.leaving,
		Withdrawn: f.withdrawn,
	}
}

// announced takes in another daemon's announcement.
func (f *Fleet) announced(announcement *lapisv1.Announcement) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	member, ok := f.members[announcement.GetNode()]
	if !ok || announcement.GetIncarnation() != member.incarnation {
		return
	}
	if known := member.announcement; known != nil && announcement.GetSequence() < known.GetSequence() {
		return
	}
	for _, endpoint := range announcement.GetEndpoints() {
		f.own(endpoint, member.Member, member.incarnation)
	}
	for _, instance := range announcement.GetWithdrawn() {
		member.withdrawn[instance] = true
	}
	member.announcement = announcement
	signal(f.changed)
	if announcement.GetRevision() > f.revision() {
		signal(f.behind)
	}
}

func (f *Fleet) revision() uint64 {
	return f.config.InForce().GetRevision()
}

// endpoints returns all known instances by service, in order of instance; the
// caller holds mutex.
func (f *Fleet) endpoints() map[string][]*lapisv1.Endpoint {
	services := map[string][]*lapisv1.Endpoint{}
	for _, endpoint := range f.local {
		services[endpoint.GetService()] = append(services[endpoint.GetService()], endpoint)
	}
	for _, member := range f.members {
		if !member.connected && time.Since(member.lostAt) > forgetAfter {
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
	if p.connected || endpoint.GetState() != lapisv1.Endpoint_STATE_READY {
		return endpoint
	}
	suspect := &lapisv1.Endpoint{
		Service: endpoint.GetService(), Instance: endpoint.GetInstance(), Node: endpoint.GetNode(),
		Address: endpoint.GetAddress(), Zone: endpoint.GetZone(), Incarnation: endpoint.GetIncarnation(),
		Slots: endpoint.GetSlots(), State: lapisv1.Endpoint_STATE_SUSPECT,
	}
	return suspect
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
