package origin

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// BackendConfig names one back end beside the daemon.
type BackendConfig struct {
	Service  string
	Instance string
	Address  string
}

// Config configures an Origin.
type Config struct {
	Incarnation uint64
	Backends    []BackendConfig
	// Region is that of the daemon and of the instances beside it; empty where it is
	// not known.
	Region string
	// QueueLength and QueueTime bound the waiting calls of each group.
	QueueLength int
	QueueTime   time.Duration
	// Cold bounds what cold instances get.
	Cold ColdBound
	// Envelope names the header fields; the zero value stands for the default.
	Envelope callapi.Envelope
	// Crashes hears of instances that ended; nil where nobody wants to know.
	Crashes Crashes
	// Changed is called when the state of an instance changed.
	Changed func()
	// Decisions receives the lines about requests, nil for none, and Logger
	// those about instances.
	Decisions *decision.Log
	Logger    logr.Logger
}

// instanceKey names an instance.
type instanceKey struct{ service, instance string }

// Origin serves calls for the back ends beside the daemon.
type Origin struct {
	config    Config
	coldFalls coldFalls
	attempts  *memory
	keys      *memory
	running   sync.WaitGroup
	counts    Counts
	countLock sync.Mutex
	// executing counts the calls that instances have, repeating those of them
	// that are repeats.
	executing, repeating atomic.Int64

	// mutex protects everything below.
	mutex     sync.RWMutex
	instances map[instanceKey]*Instance
	// withdrawn are instances that left for good, with the time of the news.
	withdrawn map[string]time.Time
	current   *snapshot.Snapshot
	stopping  bool
	// endsBy is when all calls here must be over; zero while the daemon is not stopping.
	endsBy time.Time
	// evacuated is true while no instance here may get work.
	evacuated bool
	// evacuating is held while evacuated changes and the instances follow.
	evacuating sync.Mutex
	// runContext is set by Run and ends the watching of instances.
	runContext context.Context
}

// Counts are totals since the start.
type Counts struct {
	HandedOver, Refused, Duplicates, Broken int64
}

// New returns an origin for the configured back ends.
func New(config Config) *Origin {
	if config.Envelope == (callapi.Envelope{}) {
		config.Envelope = callapi.DefaultEnvelope
	}
	if config.Logger.GetSink() == nil {
		config.Logger = logr.Discard()
	}
	if config.Crashes == nil {
		config.Crashes = noCrashes{}
	}
	if config.Changed == nil {
		config.Changed = func() {}
	}
	origin := &Origin{
		config: config, instances: map[instanceKey]*Instance{}, withdrawn: map[string]time.Time{},
		attempts: newMemory(attemptMemory, time.Now), keys: newMemory(keyMemory, time.Now),
	}
	limits := admission.Limits{Slots: DefaultSlots, QueueLength: config.QueueLength, QueueTime: config.QueueTime}
	for _, backend := range config.Backends {
		key := instanceKey{backend.Service, backend.Instance}
		origin.instances[key] = newInstance(backend.Service, backend.Instance, backend.Address, limits, DefaultConnections, &origin.config.Envelope)
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
	o.running.Wait()
}

// watch follows an instance while the origin runs, and drops it once it is over;
// the caller holds mutex.
func (o *Origin) watch(instance *Instance) {
	ctx := o.runContext
	if ctx == nil || ctx.Err() != nil {
		return
	}
	o.running.Go(func() {
		instance.watch(ctx, o.config.Changed)
		if ctx.Err() == nil {
			o.drop(instance)
		}
	})
}

// drop forgets an instance that is over and closes its connections.
func (o *Origin) drop(instance *Instance) {
	o.mutex.Lock()
	delete(o.instances, instanceKey{instance.Service, instance.Name})
	o.mutex.Unlock()
	o.config.Logger.Info("instance.dropped", "instance", instance.Name, "service", instance.Service, "state", string(instance.State()))
	instance.queue.Close(result.Errorf(result.CallNotRunDraining, "instance %s left", instance.Name))
	instance.backend.pool.closeOld(true)
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
		endpoints = append(endpoints, instance.statement())
	}
	return endpoints
}

// Configure takes limits, shares and drains from a snapshot.
func (o *Origin) Configure(current *snapshot.Snapshot) {
	o.mutex.Lock()
	o.current = current
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		instance.configure(current)
	}
}

// instance returns an instance beside the daemon.
func (o *Origin) instance(service, name string) (*Instance, bool) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	instance, ok := o.instances[instanceKey{service, name}]
	return instance, ok
}

// FollowMachineList drains or resumes the instances that the endpoints show as
// draining although this daemon did not say so.
func (o *Origin) FollowMachineList(service string, endpoints []*lapisv1.Endpoint, node string) {
	for _, statement := range endpoints {
		instance, ok := o.instance(service, statement.GetInstance())
		if !ok || statement.GetNode() != node {
			continue
		}
		if statement.GetState() == lapisv1.Endpoint_STATE_DRAINING && instance.State() == StateReady {
			instance.Drain(DrainMachineList)
		}
		if statement.GetState() == lapisv1.Endpoint_STATE_READY {
			instance.Resume(DrainMachineList)
		}
	}
}

// Leave bounds the calls that still start, those included that wait already: from now on
// only those whose whole time is over by the given time. Stop ends that too.
func (o *Origin) Leave(by time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.endsBy = by
}

// checkLeaving refuses a call, which came at the given time, that may go on after the time
// when all must be over. Errors: CallNotRunStopping.
func (o *Origin) checkLeaving(open *lapisv1.CallOpen, came time.Time) error {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	if o.endsBy.IsZero() {
		return nil
	}
	lasts := time.Duration(open.GetDeadlineMillis()) * time.Millisecond
	if lasts == 0 || came.Add(lasts).After(o.endsBy) {
		return result.Errorf(result.CallNotRunStopping, "the daemon stops before the call must be over")
	}
	return nil
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
	o.countLock.Lock()
	defer o.countLock.Unlock()
	return o.counts
}

func (o *Origin) count(change func(*Counts)) {
	o.countLock.Lock()
	defer o.countLock.Unlock()
	change(&o.counts)
}

// Fence makes sure that an attempt is not started from now on, and reports
// whether it was started before.
func (o *Origin) Fence(attempt string) (started bool) { return o.attempts.Fence(attempt) }

// Handle implements callapi.Handler.
func (o *Origin) Handle(ctx context.Context, call *callapi.Call) (*callapi.Answer, error) {
	began := time.Now()
	answer, err := o.contained(ctx, call)
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		o.count(func(c *Counts) { c.Refused++ })
	}
	if err != nil {
		o.logFailure(call, err, began)
	}
	return answer, err
}

// contained carries a call out, and has a panic end that call only: the daemon would take all
// its calls with it, and the request come again at the next one.
func (o *Origin) contained(ctx context.Context, call *callapi.Call) (answer *callapi.Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			answer, err = nil, result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			o.config.Decisions.Failure(eventPanicked, o.requestID(call), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return o.handle(ctx, call)
}

func (o *Origin) handle(ctx context.Context, call *callapi.Call) (*callapi.Answer, error) {
	open := call.Open
	instance, ok := o.instance(open.GetService(), open.GetInstance())
	if !ok {
		return nil, o.unknown(open)
	}
	if err := o.checkLeaving(open, time.Now()); err != nil {
		return nil, err
	}
	if err := o.checkRegion(open); err != nil {
		return nil, err
	}
	if _, known := o.attempts.Claim(open.GetAttemptId(), attemptWaiting); known {
		o.count(func(c *Counts) { c.Duplicates++ })
		return nil, result.Errorf(result.CallNotRunDuplicate, "attempt %s came before", open.GetAttemptId())
	}
	release, err := o.claimKey(open)
	if err != nil {
		return nil, err
	}
	answer, err := o.admitAndRun(ctx, instance, call)
	if callapi.OutcomeOf(err) == callapi.OutcomeNotRun {
		release()
	}
	return answer, err
}

// unknown tells why there is no such instance as a call is for.
func (o *Origin) unknown(open *lapisv1.CallOpen) error {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	if _, left := o.withdrawn[open.GetInstance()]; left {
		return result.Errorf(result.CallNotRunDraining, "instance %s left", open.GetInstance())
	}
	return result.Errorf(result.CallNotRunUnknownHere, "no instance %s/%s here", open.GetService(), open.GetInstance())
}

// claimKey refuses a call whose idempotency key was seen here. release forgets
// the key again when the call did not run.
func (o *Origin) claimKey(open *lapisv1.CallOpen) (release func(), err error) {
	if open.GetIdempotencyKey() == "" {
		return func() {}, nil
	}
	key := open.GetService() + "\x00" + open.GetGroup() + "\x00" + open.GetIdempotencyKey()
	if _, known := o.keys.Claim(key, attemptStarted); known {
		o.count(func(c *Counts) { c.Duplicates++ })
		return nil, result.Errorf(result.CallNotRunDuplicate, "the idempotency key was used before")
	}
	return func() { o.keys.Forget(key) }, nil
}

func (o *Origin) admitAndRun(ctx context.Context, instance *Instance, call *callapi.Call) (*callapi.Answer, error) {
	open := call.Open
	request := admission.Request{
		Group: open.GetGroup(), Background: open.GetBackground(), Upload: open.GetUpload(), Priority: open.GetPriority(),
	}
	now, suspendedBefore := time.Now(), boottime.Suspended()
	if open.GetExpiresAfterMillis() > 0 {
		request.StartBy = now.Add(time.Duration(open.GetExpiresAfterMillis()) * time.Millisecond)
	}
	if open.GetTargetMillis() > 0 {
		request.Due = now.Add(time.Duration(open.GetTargetMillis()) * time.Millisecond)
	}
	request.Headroom = time.Duration(open.GetSlackMillis()) * time.Millisecond
	request.MaxWait = time.Duration(open.GetMaxWaitMillis()) * time.Millisecond
	request.NoWait = open.GetNoWait()
	slot, err := instance.queue.Acquire(ctx, request)
	if err != nil {
		return nil, err
	}
	over := false
	defer func() {
		if !over {
			// A panic must not keep the slot.
			slot.Release(false)
		}
	}()
	waited := time.Since(now)
	err = checkSuspended(open, waited, boottime.Suspended()-suspendedBefore)
	if err == nil {
		err = o.begin(call, now)
	}
	if err != nil {
		return nil, err
	}
	answer, err := o.run(ctx, instance, slot, call)
	over = true
	if err == nil {
		o.logAnswer(instance, call, answer, waited)
	}
	return answer, err
}

// checkSuspended refuses a call whose time passed while it waited and the machine was
// suspended: the clock that its time is bounded by stood then, and its caller is gone.
// Errors: CallNotRunExpired.
func checkSuspended(open *lapisv1.CallOpen, waited, suspended time.Duration) error {
	lasts := time.Duration(open.GetDeadlineMillis()) * time.Millisecond
	if suspended > 0 && lasts > 0 && waited+suspended >= lasts {
		return result.Errorf(result.CallNotRunExpired, "the machine was suspended for %s while the call waited", suspended)
	}
	return nil
}

// begin notes that a call, which came at the given time, starts; from then on it may have
// run. Errors, all proving that it did not start: CallNotRunStopping, CallNotRunQuarantined,
// CallNotRunDuplicate.
func (o *Origin) begin(call *callapi.Call, came time.Time) error {
	open := call.Open
	if err := o.checkQuarantine(call); err != nil {
		return err
	}
	if err := o.checkLeaving(open, came); err != nil {
		return err
	}
	if !o.attempts.Start(open.GetAttemptId()) {
		return result.Errorf(result.CallNotRunDuplicate, "attempt %s was fenced", open.GetAttemptId())
	}
	return nil
}

// RepeatShare returns the share of the calls that instances have now which are
// repeats.
func (o *Origin) RepeatShare() float64 {
	executing := o.executing.Load()
	if executing <= 0 {
		return 0
	}
	return min(float64(o.repeating.Load())/float64(executing), 1)
}

// execute counts a call as one that an instance has, until done is called.
func (o *Origin) execute(call *callapi.Call) (done func()) {
	repeats := int64(0)
	if call.Open.GetRepeat() {
		repeats = 1
	}
	o.executing.Add(1)
	o.repeating.Add(repeats)
	return func() {
		o.executing.Add(-1)
		o.repeating.Add(-repeats)
	}
}
