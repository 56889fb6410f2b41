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
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// BackendConfig names one back end beside the daemon, which sends no heartbeats.
type BackendConfig struct {
	Service  string
	Instance string
	Address  string
}

// Config configures an Origin.
type Config struct {
	Backends []BackendConfig
	// Region is that of the daemon and its instances; empty where it is not known.
	Region string
	// QueueLength and QueueTime bound the waiting calls of each group.
	QueueLength int
	QueueTime   time.Duration
	// Cold bounds what cold instances get.
	Cold ColdBound
	// Envelope names the header fields; the zero value stands for the default.
	Envelope callapi.Envelope
	// Crashes receives the crashes of instances; nil where nobody follows them.
	Crashes CrashReporter
	// Changed is called, from any goroutine, when what Advertised returns changed.
	Changed func()
	// Decisions receives the lines about requests, nil for none, and Logger those about instances.
	Decisions *decision.Log
	Logger    logr.Logger
}

// Lines about heartbeats of services that nobody declared are written for the first ones and then
// once in an interval. A writer that sends thousands must not fill the log.
const (
	unknownServiceLines    = 5
	unknownServiceInterval = time.Second
)

type instanceKey struct{ service, instance string }

// Origin serves calls for the back ends beside the daemon. It is safe for concurrent use.
type Origin struct {
	config          Config
	coldCrashes     coldCrashes
	attempts        *dedupCache
	idempotencyKeys *dedupCache
	goroutines      sync.WaitGroup
	counts          counters
	// executing counts the calls that instances have, executingRepeats those of them that are repeats.
	executing, executingRepeats atomic.Int64

	// unknownServiceLog bounds the lines about heartbeats of services that nobody declared.
	unknownServiceLog rate.Sometimes

	// mutex protects everything below.
	mutex     sync.RWMutex
	instances map[instanceKey]*Instance
	// withdrawn are instances that left for good, with the time of that report.
	withdrawn map[string]time.Time
	current   *snapshot.Snapshot
	stopping  bool
	// shutdownDeadline is when all calls here must be over; zero while the daemon is not stopping.
	shutdownDeadline time.Time
	// evacuated is true while no instance here may get work.
	evacuated bool
	// evacuationMutex is held while evacuated changes and the instances follow.
	evacuationMutex sync.Mutex
	// runContext is set by Run and ends the watching of instances.
	runContext context.Context
}

// Counts are totals of calls since the start.
type Counts struct {
	HandedOver, Refused, Duplicates, Broken int64
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
		config.Crashes = noopCrashReporter{}
	}
	if config.Changed == nil {
		config.Changed = func() {}
	}
	origin := &Origin{
		config: config, instances: map[instanceKey]*Instance{}, withdrawn: map[string]time.Time{},
		attempts: newDedupCache(attemptTTL, time.Now), idempotencyKeys: newDedupCache(idempotencyKeyTTL, time.Now),
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

// Run follows the back ends' state until ctx ends.
func (o *Origin) Run(ctx context.Context) {
	o.mutex.Lock()
	o.runContext = ctx
	for _, instance := range o.instances {
		o.watch(instance)
	}
	o.mutex.Unlock()
	<-ctx.Done()
	o.goroutines.Wait()
}

// watch follows an instance while the origin runs, and drops it when it says so; the caller holds
// mutex.
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

// removeInstance forgets an instance and closes its connections.
func (o *Origin) removeInstance(instance *Instance) {
	o.mutex.Lock()
	delete(o.instances, instanceKey{instance.Service, instance.Name})
	o.mutex.Unlock()
	o.config.Logger.Info("instance.dropped", "instance", instance.Name, "service", instance.Service, "state", string(instance.State()))
	instance.queue.Close(result.Errorf(result.CallNotRunDraining, "instance %s left", instance.Name))
	instance.backend.pool.closeExpired(true)
	o.config.Changed()
}

// Instances returns the instances beside the daemon.
func (o *Origin) Instances() []*Instance {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	instances := make([]*Instance, 0, len(o.instances))
	for _, instance := range o.instances {
		instances = append(instances, instance)
	}
	return instances
}

// Advertised returns the endpoints to announce.
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

// configuration returns the snapshot in force, nil before the first.
func (o *Origin) configuration() *snapshot.Snapshot {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.current
}

// instance returns an instance beside the daemon.
func (o *Origin) instance(service, name string) (*Instance, bool) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	instance, ok := o.instances[instanceKey{service, name}]
	return instance, ok
}

// FollowMachineList drains the ready instances of node, this daemon, that the endpoints show as
// draining, and resumes those that they show as ready.
func (o *Origin) FollowMachineList(service string, endpoints []*lapisv1.Endpoint, node string) {
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

// Drain bounds the calls that still start, those that wait already included: from now on only those
// whose deadline is not after the given time. After Stop none does.
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

// Counts returns the totals.
func (o *Origin) Counts() Counts {
	return Counts{
		HandedOver: o.counts.handedOver.Load(), Refused: o.counts.refused.Load(),
		Duplicates: o.counts.duplicates.Load(), Broken: o.counts.broken.Load(),
	}
}
