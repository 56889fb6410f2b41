package rollout

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Intervals of the runner.
const (
	// TickInterval is the interval between decisions: a twentieth of the two seconds that a roll-back
	// may take in addition to the time of the test.
	TickInterval = 100 * time.Millisecond
	// ReportInterval is the interval of the reports to the deciders. AnnouncementInterval is the
	// interval of unchanged announcements to all daemons; a changed announcement is sent immediately.
	ReportInterval       = 200 * time.Millisecond
	AnnouncementInterval = time.Second
	// discoveryTime is the time after the start in which a daemon may not know all instances yet.
	// It is longer than the interval of their heartbeats.
	discoveryTime = 2 * time.Second
)

// Store writes the status of orders. Orders are read elsewhere and passed to Runner.HandleOrder.
type Store interface {
	// WriteStatus does one conditional write, and returns once it is answered or given up.
	WriteStatus(ctx context.Context, write Write) Answer
	// Get returns the state of a service's order, or nil if there is none. After an error the state
	// is unknown.
	Get(ctx context.Context, service string) (*Order, error)
	// LastAnswerTime returns when the store last answered any request of this daemon, or the zero time
	// if it never did.
	LastAnswerTime() time.Time
}

// Links sends announcements and reports to other daemons. Messages may be delayed, duplicated or
// lost. No method blocks.
type Links interface {
	// Members returns the reachable daemons, including this one.
	Members() []string
	// Known returns the number of all daemons known to run, reachable or not.
	Known() int
	// Serving returns the number of known daemons that run an instance of a service.
	Serving(service string) int
	// Broadcast sends an announcement to the given members, or to all members if nodes is nil.
	Broadcast(announcement Announcement, nodes []string)
	// Send sends a report on a service's order to one member.
	Send(node, service string, report Report)
}

// Instances returns the known instances of services.
type Instances interface {
	// Of returns the endpoints of a service that may get calls, and a function that reports whether
	// one of them is currently cold.
	Of(service string) (endpoints []*lapisv1.Endpoint, cold func(*lapisv1.Endpoint) bool)
}

// RunnerConfig configures a Runner. Every field except ExposureShare must be set.
type RunnerConfig struct {
	Node        string
	Incarnation uint64
	Store       Store
	Links       Links
	Instances   Instances
	// ExposureShare is the maximum share of a service's calls that a bad version may get. 0 selects
	// the package's ExposureShare, which a larger value does not exceed.
	ExposureShare float64
	Logger        logr.Logger
	// Now returns the current time of a monotonic clock.
	Now func() time.Time
}

// followedOrder is the state of one order that a daemon follows.
type followedOrder struct {
	controller *Controller
	traffic    *Traffic
	// sequence is the number of reports, and reportedAt the time at which the newest one was sent;
	// lastAnnouncement is the newest announcement sent, and lastAnnouncementAt the time at which it
	// was sent.
	sequence           uint64
	reportedAt         time.Time
	lastAnnouncement   Announcement
	lastAnnouncementAt time.Time
	deciders           []string
	// asking is true while a query to the store is in progress, and askedAt is when the newest one
	// began.
	asking  bool
	askedAt time.Time
}

// Runner follows the orders of all services on one daemon. It is safe for concurrent use.
type Runner struct {
	config  RunnerConfig
	started time.Time
	// traffic holds the Traffic of each service for the request path; the map is replaced as a
	// whole.
	traffic atomic.Pointer[map[string]*Traffic]

	// mutex guards the fields below.
	mutex     sync.Mutex
	following map[string]*followedOrder
	// barred holds, by service, the versions whose orders ended without completion.
	barred map[string][]string
}

// NewRunner returns a runner that follows no order.
func NewRunner(config RunnerConfig) *Runner {
	runner := &Runner{
		config: config, started: config.Now(),
		following: map[string]*followedOrder{}, barred: map[string][]string{},
	}
	runner.traffic.Store(&map[string]*Traffic{})
	return runner
}

// Run decides at TickInterval until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Tick(ctx)
		}
	}
}

// Traffic returns the traffic of a service, or nil if the service has no roll-out and every version
// may get calls.
func (r *Runner) Traffic(service string) *Traffic { return (*r.traffic.Load())[service] }

// Running returns the followed orders that have not ended, sorted by service. Daemons must be
// connected to each other while there are any.
func (r *Runner) Running() []Identity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var running []Identity
	for _, service := range slices.Sorted(maps.Keys(r.following)) {
		if controller := r.following[service].controller; !controller.Ended() {
			running = append(running, controller.Order().Identity)
		}
	}
	return running
}

// ProbedNodes returns the sorted names of the daemons next to the instances that are probed.
func (r *Runner) ProbedNodes() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var nodes []string
	for _, followed := range r.following {
		for _, probe := range followed.controller.Probed() {
			nodes = append(nodes, probe.Node)
		}
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// HasTarget reports whether a followed order has the version of the service as its target.
func (r *Runner) HasTarget(service, version string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	followed := r.following[service]
	return followed != nil && followed.controller.Order().Target == version
}

// Idle reports whether there is nothing to decide: no order is followed, and no version is barred.
func (r *Runner) Idle() bool { return len(*r.traffic.Load()) == 0 }

// HandleOrder records a state of the object of a service's order, nil for a deleted one.
func (r *Runner) HandleOrder(service string, order *Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ordered(service, order)
}

// ordered records a state of an object. The caller must hold mutex.
func (r *Runner) ordered(service string, order *Order) {
	followed := r.following[service]
	if followed == nil {
		r.followFirst(service, order)
		return
	}
	known := followed.controller.Order()
	r.handleClassification(service, known, followed.controller.Observe(order), order)
}

// handleClassification switches to another order if the object's state was classified as one. The
// caller must hold mutex.
func (r *Runner) handleClassification(service string, known Order, classification Classification, order *Order) {
	if classification == ClassificationSame || classification == ClassificationOld {
		return
	}
	r.log(service, classification, order)
	r.unfollow(service, known)
	if order != nil && classification != ClassificationMalformed {
		r.follow(service, Adopt(&known, *order))
	}
}

// followFirst records the order of a service that has none. The caller must hold mutex.
func (r *Runner) followFirst(service string, order *Order) {
	if order == nil {
		return
	}
	classification := Classify(nil, *order)
	r.log(service, classification, order)
	if classification != ClassificationMalformed {
		r.follow(service, Adopt(nil, *order))
	}
}

// follow starts to follow an order. The caller must hold mutex.
func (r *Runner) follow(service string, order Order) {
	r.barred[service] = removeVersion(r.barred[service], order.Target)
	traffic := NewTraffic(order.Identity)
	traffic.Apply(InitialAllocation(order, slices.Clone(r.barred[service])))
	controller := NewController(r.config.Node, r.config.Incarnation, order, r.config.Now())
	if share := r.config.ExposureShare; share > 0 {
		controller.probeShare = min(controller.probeShare, probeFraction*share)
	}
	r.following[service] = &followedOrder{controller: controller, traffic: traffic}
	r.publish()
}

// unfollow stops following an order and bars its version, unless the order was completed. The
// caller must hold mutex.
func (r *Runner) unfollow(service string, order Order) {
	if order.End() == EndCompleted {
		delete(r.barred, service)
	} else {
		r.barred[service] = append(removeVersion(r.barred[service], order.Target), order.Target)
	}
	delete(r.following, service)
	r.publish()
}

// publish updates the traffic for the request path: that of the followed orders, and of services
// that only have barred versions. The caller must hold mutex.
func (r *Runner) publish() {
	traffic := make(map[string]*Traffic, len(r.following))
	for service, barred := range r.barred {
		if len(barred) > 0 {
			traffic[service] = NewTraffic(Identity{})
			traffic[service].Apply(Allocation{OnlyVersion: true, ExcludedVersions: slices.Clone(barred)})
		}
	}
	for service, followed := range r.following {
		traffic[service] = followed.traffic
	}
	r.traffic.Store(&traffic)
}

// removeVersion returns a copy of versions without the given one.
func removeVersion(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(other string) bool { return other == version })
}

// log logs how the state of an order's object was classified.
func (r *Runner) log(service string, classification Classification, order *Order) {
	pairs := []any{"service", service, "reading", classification}
	if order != nil {
		pairs = append(pairs, "target", order.Target, "revision", order.Revision,
			"duration_ms", order.Duration.Milliseconds(), "end", order.End())
	}
	r.config.Logger.Info("rollout.order", pairs...)
}

// HandleAnnouncement records an announcement of another daemon.
func (r *Runner) HandleAnnouncement(announcement Announcement) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if followed := r.following[announcement.Service]; followed != nil {
		followed.controller.Hear(r.config.Now(), announcement)
	}
}

// HandleReport records a report of another daemon on a service's order.
func (r *Runner) HandleReport(service string, report Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if followed := r.following[service]; followed != nil {
		followed.controller.Report(report)
	}
}

// HandleDisconnect records that a daemon restarted or that the link to it was lost.
func (r *Runner) HandleDisconnect(node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, followed := range r.following {
		followed.controller.Lost(node)
	}
}
