package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// BackendConfig configures one local back end that sends no heartbeats.
type BackendConfig struct {
	Service  string
	Instance string
	Address  string
}

// Config configures an Origin.
type Config struct {
	Backends []BackendConfig
	// Region is the region of the daemon and its instances; empty if it is unknown.
	Region string
	// QueueLength and QueueTime limit the number of waiting calls of each group and their wait.
	QueueLength int
	QueueTime   time.Duration
	// Cold limits the calls that cold instances get.
	Cold ColdBound
	// Envelope names the header fields; the zero value selects callapi.DefaultEnvelope.
	Envelope callapi.Envelope
	// Crashes receives the crashes of instances; nil disables crash reports.
	Crashes CrashReporter
	// Departures keeps the departures of instances beyond the lifetime of all daemons; nil if no
	// instance announces its departure.
	Departures departure.Store
	// History knows the departures of earlier processes; nil if Departures is.
	History *departure.History
	// Changed is called, from any goroutine, when the result of Advertised changes.
	Changed func()
	// Decisions receives the log lines about requests (nil for none), Logger those about instances.
	Decisions *decision.Log
	Logger    logr.Logger
}

// Limits of the log lines about heartbeats of unconfigured services: the first lines are always
// written, then one per interval, so that a client that sends thousands of them cannot fill the
// log.
const (
	unknownServiceLines    = 5
	unknownServiceInterval = time.Second
)

type instanceKey struct{ service, instance string }

// Origin serves calls for the local instances. It is safe for concurrent use.
type Origin struct {
	config          Config
	startedAt       time.Time
	coldCrashes     coldCrashes
	attempts        *dedupCache
	idempotencyKeys *dedupCache
	goroutines      sync.WaitGroup
	counts          counters
	// departureCalls limits the calls of config.Departures.
	departureCalls *rate.Limiter
	// historyApplied is done once the instances of config.History are withdrawn.
	historyApplied sync.Once
	// departuresLost makes Run store lost departures again.
	departuresLost chan struct{}
	// candidates are the unknown instances of which the history says nothing because it is incomplete.
	candidates departure.Candidates
	// superseded are the incarnations that send heartbeats after the departure of one that started later.
	superseded departure.Candidates
	// executing counts the calls that run at instances, and executingRepeats the repeats among
	// them.
	executing, executingRepeats atomic.Int64

	// unknownServiceLog limits the log lines about heartbeats of unconfigured services.
	unknownServiceLog rate.Sometimes

	// mutex protects everything below.
	mutex     sync.RWMutex
	instances map[instanceKey]*Instance
	// withdrawn holds the instances that left permanently, by the name of their departure. departures
	// holds the same departures by the ID of the instance.
	withdrawn  map[string]withdrawnInstance
	departures map[string][]incarnation.Departure
	// successors holds the suspended instances, with the one for which each is suspended.
	successors map[*Instance]*Instance
	current    *snapshot.Snapshot
	stopping   bool
	// shutdownDeadline is when all calls here must have ended; zero while the daemon is not
	// stopping.
	shutdownDeadline time.Time
	// evacuated is true while no local instance may get calls because its zone is evacuated.
	evacuated bool
	// evacuationMutex is held while evacuated changes and the instances are drained or resumed.
	evacuationMutex sync.Mutex
	// runContext is the context of Run, or nil while the origin does not run or is ending; its end stops the
	// monitoring of instances.
	runContext context.Context
}

// Counts are totals of calls since the daemon started. HandedOver counts the calls that were sent
// to an instance, and Interrupted those among them that got no response. Refused counts the calls
// whose error proves that they did not run, Duplicates those whose attempt or idempotency key was
// received before.
type Counts struct {
	HandedOver, Refused, Duplicates, Interrupted int64
}

// counters are the running totals of Counts.
type counters struct{ handedOver, refused, duplicates, broken atomic.Int64 }

// New returns an origin for the configured back ends.
func New(config Config) *Origin {
	if config.Envelope == (callapi.Envelope{}) {
		config.Envelope = callapi.DefaultEnvelope
	}
	if config.Logger.GetSink() == nil {
		config.Logger = logr.Discard()
	}
	if config.Crashes == nil {
		config.Crashes = noReporter{}
	}
	if config.Changed == nil {
		config.Changed = func() {}
	}
	origin := &Origin{
		config: config, startedAt: time.Now(), instances: map[instanceKey]*Instance{}, withdrawn: map[string]withdrawnInstance{}, departures: map[string][]incarnation.Departure{}, successors: map[*Instance]*Instance{},
		attempts: newDedupCache(attemptTTL, time.Now), idempotencyKeys: newDedupCache(idempotencyKeyTTL, time.Now),
		departuresLost:    make(chan struct{}, 1),
		departureCalls:    rate.NewLimiter(departure.CallsPerSecond, departure.CallBurst),
		unknownServiceLog: rate.Sometimes{First: unknownServiceLines, Interval: unknownServiceInterval},
	}
	limits := admission.Limits{Slots: DefaultSlots, QueueLength: config.QueueLength, QueueTime: config.QueueTime}
	for _, backend := range config.Backends {
		identity := incarnation.Incarnation{ID: backend.Instance}
		key := instanceKey{backend.Service, identity.Name()}
		origin.instances[key] = newInstance(backend.Service, identity, backend.Address, limits, DefaultConnections, &origin.config.Envelope)
		origin.instances[key].logger = config.Logger
	}
	return origin
}

// Run monitors the state of the instances until ctx ends.
func (o *Origin) Run(ctx context.Context) {
	o.mutex.Lock()
	o.runContext = ctx
	for _, instance := range o.instances {
		o.watch(instance)
	}
	o.mutex.Unlock()
	o.goroutines.Go(func() { o.restoreDepartures(ctx) })
	o.followHistory(ctx)
	o.awaitGoroutines(ctx)
}

// awaitGoroutines waits until ctx and all goroutines have ended. None is started any more once the wait
// has begun: heartbeats and calls start them, and may still be served.
func (o *Origin) awaitGoroutines(ctx context.Context) {
	<-ctx.Done()
	o.mutex.Lock()
	o.runContext = nil
	o.mutex.Unlock()
	o.goroutines.Wait()
}

// watch monitors an instance while the origin runs, and removes it when it is to be dropped; the
// caller holds mutex.
func (o *Origin) watch(instance *Instance) {
	ctx := o.runContext
	if ctx == nil || ctx.Err() != nil {
		return
	}
	o.goroutines.Go(func() {
		instance.watch(ctx, o.config.Changed)
		if ctx.Err() == nil {
			o.removeInstance(instance)
		}
	})
}

// removeInstance removes an instance, refuses its waiting calls and closes its connections.
func (o *Origin) removeInstance(instance *Instance) {
	o.mutex.Lock()
	delete(o.instances, instanceKey{instance.Service, instance.Name})
	delete(o.successors, instance)
	o.mutex.Unlock()
	o.endSuspensionsFor(instance)
	o.config.Logger.Info("instance.dropped", "instance", instance.Name, "service", instance.Service, "state", string(instance.State()))
	instance.queue.Close(result.Errorf(result.CallNotRunDraining, "instance %s has left", instance.Name))
	instance.backend.pool.closeExpired(true)
	o.config.Changed()
}

// Instances returns the local instances.
func (o *Origin) Instances() []*Instance {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	instances := make([]*Instance, 0, len(o.instances))
	for _, instance := range o.instances {
		instances = append(instances, instance)
	}
	return instances
}

// Advertised returns the endpoints to announce to other daemons.
func (o *Origin) Advertised() []*lapisv1.Endpoint {
	instances := o.Instances()
	endpoints := make([]*lapisv1.Endpoint, 0, len(instances))
	for _, instance := range instances {
		endpoints = append(endpoints, instance.endpoint())
	}
	return endpoints
}

// Configure applies the limits, shares and drains of a snapshot.
func (o *Origin) Configure(current *snapshot.Snapshot) {
	o.mutex.Lock()
	o.current = current
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		instance.configure(current)
	}
}

// configuration returns the snapshot in force, nil before the first one.
func (o *Origin) configuration() *snapshot.Snapshot {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.current
}

// instance returns a local instance by its service and name.
func (o *Origin) instance(service, name string) (*Instance, bool) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	instance, ok := o.instances[instanceKey{service, name}]
	return instance, ok
}

// ApplyEndpointStates applies the endpoint states of the machine list to the instances of node, this
// daemon: a ready instance that is listed as draining is drained, and one that is listed as ready
// is resumed.
func (o *Origin) ApplyEndpointStates(service string, endpoints []*lapisv1.Endpoint, node string) {
	for _, endpoint := range endpoints {
		instance, ok := o.instance(service, endpoint.GetInstance())
		if !ok || endpoint.GetNode() != node {
			continue
		}
		if endpoint.GetState() == lapisv1.Endpoint_STATE_DRAINING && instance.State() == StateReady {
			instance.Drain(DrainMachineList)
		}
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			instance.Resume(DrainMachineList)
		}
	}
}

// Drain sets the time by which all calls must have ended because the daemon will stop. From then on
// a call starts only if its deadline is not after that time, even if it was already waiting. After
// Stop no call starts.
func (o *Origin) Drain(by time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.shutdownDeadline = by
}

func (o *Origin) currentShutdownDeadline() time.Time {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.shutdownDeadline
}

// Stop drains all instances because the daemon is stopping.
func (o *Origin) Stop() {
	o.mutex.Lock()
	o.stopping = true
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		instance.Drain(DrainStop)
	}
}

// InFlight returns the number of calls that hold a slot.
func (o *Origin) InFlight() int {
	total := 0
	for _, instance := range o.Instances() {
		total += instance.queue.Running()
	}
	return total
}

// Counts returns the totals of calls since the daemon started.
func (o *Origin) Counts() Counts {
	return Counts{
		HandedOver: o.counts.handedOver.Load(), Refused: o.counts.refused.Load(),
		Duplicates: o.counts.duplicates.Load(), Interrupted: o.counts.broken.Load(),
	}
}
