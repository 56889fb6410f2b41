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

// Times of the runner.
const (
	// TickEvery is how often decisions are made: a twentieth of the two seconds that a
	// roll-back may take beside what the test needs.
	TickEvery = 100 * time.Millisecond
	// ReportEvery is how often evidence is told to the deciders, and WordEvery how often a
	// word that has not changed is told to all; one that has is told at once.
	ReportEvery = 200 * time.Millisecond
	WordEvery   = time.Second
	// settleTime is how long after its start a daemon may not have heard of all instances:
	// longer than the interval of their heartbeats.
	settleTime = 2 * time.Second
)

// Store writes the status of orders. Orders are read elsewhere and come by Ordered.
type Store interface {
	// WriteStatus makes one conditional write; it returns when that is answered or given
	// up.
	WriteStatus(ctx context.Context, write Write) Answer
	// Ask returns the state of a service's order, nil when there is none. An error leaves
	// it unknown.
	Ask(ctx context.Context, service string) (*Order, error)
	// AnsweredAt returns when the store last answered this daemon anything, the zero time
	// for never.
	AnsweredAt() time.Time
}

// Links carries words and reports between daemons. What they carry may come late, twice
// or not at all. Neither method blocks.
type Links interface {
	// Members returns the daemons in touch, this one among them.
	Members() []string
	// Known returns the number of all daemons that are known to run, in touch or not.
	Known() int
	// Serving returns the number of daemons known that run an instance of a service.
	Serving(service string) int
	// Spread tells a word to some members, to all of them where nodes is nil.
	Spread(word Word, nodes []string)
	// Tell tells a report on a service's order to one member.
	Tell(node, service string, report Report)
}

// Instances knows the instances of services.
type Instances interface {
	// Of returns the endpoints of a service that may get calls, and those of them that
	// are cold now.
	Of(service string) (endpoints []*lapisv1.Endpoint, cold func(*lapisv1.Endpoint) bool)
}

// RunnerConfig is what a Runner needs. Every field but ExposureShare must be set.
type RunnerConfig struct {
	Node        string
	Incarnation uint64
	Store       Store
	Links       Links
	Instances   Instances
	// ExposureShare is the share of a service's calls that a bad version may get; 0
	// stands for the usual one, which a larger one does not raise.
	ExposureShare float64
	Logger        logr.Logger
	// Now is the monotonic clock.
	Now func() time.Time
}

// following is one order that a daemon follows.
type following struct {
	controller *Controller
	traffic    *Traffic
	// sequence counts the reports, reportedAt is when the last was sent; told is the last
	// word spread, and toldAt when.
	sequence   uint64
	reportedAt time.Time
	told       Word
	toldAt     time.Time
	deciders   []string
	// asking is true while the store is asked, and askedAt when it was last.
	asking  bool
	askedAt time.Time
}

// Runner follows the orders of all services on one daemon. It is safe for concurrent use.
type Runner struct {
	config  RunnerConfig
	started time.Time
	// traffic is what the request path reads: a map by service, replaced as a whole.
	traffic atomic.Pointer[map[string]*Traffic]

	// mutex protects everything below.
	mutex     sync.Mutex
	following map[string]*following
	// barred are the versions by service whose orders came to nothing.
	barred map[string][]string
}

// NewRunner returns a runner that follows nothing yet.
func NewRunner(config RunnerConfig) *Runner {
	runner := &Runner{
		config: config, started: config.Now(),
		following: map[string]*following{}, barred: map[string][]string{},
	}
	runner.traffic.Store(&map[string]*Traffic{})
	return runner
}

// Run decides until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	ticker := time.NewTicker(TickEvery)
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

// Traffic returns what the request path asks about a service, nil where there is no
// roll-out and every version may get calls.
func (r *Runner) Traffic(service string) *Traffic { return (*r.traffic.Load())[service] }

// Running returns the orders followed that have not ended, for which daemons must hear each
// other, in order of service.
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

// ProbedNodes returns the daemons beside the instances that are probed, in order.
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

// Names reports whether an order that is followed names a version of a service.
func (r *Runner) Names(service, version string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	followed := r.following[service]
	return followed != nil && followed.controller.Order().Target == version
}

// Idle reports whether there is nothing to decide: no order is followed, and no version
// is kept from calls.
func (r *Runner) Idle() bool { return len(*r.traffic.Load()) == 0 }

// Ordered takes in the state of the object of a service's order, nil for one taken away.
func (r *Runner) Ordered(service string, order *Order) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.ordered(service, order)
}

// ordered takes in a state of an object; the caller holds mutex.
func (r *Runner) ordered(service string, order *Order) {
	followed := r.following[service]
	if followed == nil {
		r.first(service, order)
		return
	}
	known := followed.controller.Order()
	r.changed(service, known, followed.controller.Observe(order), order)
}

// changed goes over to another order where the object's state reads as one; the caller
// holds mutex.
func (r *Runner) changed(service string, known Order, reading Reading, order *Order) {
	if reading == ReadingSame || reading == ReadingOld {
		return
	}
	r.log(service, reading, order)
	r.leave(service, known)
	if order != nil && reading != ReadingMalformed {
		r.follow(service, Adopt(&known, *order))
	}
}

// first takes in an order of a service that has none; the caller holds mutex.
func (r *Runner) first(service string, order *Order) {
	if order == nil {
		return
	}
	reading := Read(nil, *order)
	r.log(service, reading, order)
	if reading != ReadingMalformed {
		r.follow(service, Adopt(nil, *order))
	}
}

// follow begins to follow an order; the caller holds mutex.
func (r *Runner) follow(service string, order Order) {
	r.barred[service] = without(r.barred[service], order.Target)
	traffic := NewTraffic(order.Identity)
	traffic.Apply(InitialAllocation(order, slices.Clone(r.barred[service])))
	controller := NewController(r.config.Node, r.config.Incarnation, order, r.config.Now())
	if share := r.config.ExposureShare; share > 0 {
		controller.probeShare = min(controller.probeShare, probePart*share)
	}
	r.following[service] = &following{controller: controller, traffic: traffic}
	r.publish()
}

// leave ends the following of an order, whose version is barred unless it is in force;
// the caller holds mutex.
func (r *Runner) leave(service string, order Order) {
	if order.End() == EndCompleted {
		delete(r.barred, service)
	} else {
		r.barred[service] = append(without(r.barred[service], order.Target), order.Target)
	}
	delete(r.following, service)
	r.publish()
}

// publish shows the request path what is followed, and what is barred where nothing is;
// the caller holds mutex.
func (r *Runner) publish() {
	traffic := make(map[string]*Traffic, len(r.following))
	for service, barred := range r.barred {
		if len(barred) > 0 {
			traffic[service] = NewTraffic(Identity{})
			traffic[service].Apply(Allocation{Sole: true, Barred: slices.Clone(barred)})
		}
	}
	for service, followed := range r.following {
		traffic[service] = followed.traffic
	}
	r.traffic.Store(&traffic)
}

// without returns versions without one.
func without(versions []string, version string) []string {
	return slices.DeleteFunc(slices.Clone(versions), func(other string) bool { return other == version })
}

// log writes how the state of an order's object was read.
func (r *Runner) log(service string, reading Reading, order *Order) {
	pairs := []any{"service", service, "reading", reading}
	if order != nil {
		pairs = append(pairs, "target", order.Target, "revision", order.Revision,
			"duration_ms", order.Duration.Milliseconds(), "end", order.End())
	}
	r.config.Logger.Info("rollout.order", pairs...)
}

// Heard takes in a word of another daemon.
func (r *Runner) Heard(word Word) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if followed := r.following[word.Service]; followed != nil {
		followed.controller.Hear(r.config.Now(), word)
	}
}

// Reported takes in what another daemon has seen of a service's order.
func (r *Runner) Reported(service string, report Report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if followed := r.following[service]; followed != nil {
		followed.controller.Report(report)
	}
}

// Lost notes that the link to a daemon is lost, or that it started again.
func (r *Runner) Lost(node string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, followed := range r.following {
		followed.controller.Lost(node)
	}
}
