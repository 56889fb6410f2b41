package origin

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/qmuntal/stateless"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Times and bounds of an instance.
const (
	// downAfter is the number of failed connections in a row after which an
	// instance is taken as down.
	downAfter     = 3
	probeInterval = 200 * time.Millisecond
	// beatSilence is the time without heartbeat after which a registered
	// instance is taken as down, and beatMemory that after which it is dropped;
	// its next heartbeat registers it anew.
	beatSilence = 6 * time.Second
	beatMemory  = time.Minute
	// DefaultSlots and DefaultConnections hold until a configuration is known.
	DefaultSlots       = 6
	DefaultConnections = 130
)

// DrainReason is why an instance takes no new work. An instance drains while
// there is any reason.
type DrainReason string

// Reasons to drain.
const (
	DrainOperator    DrainReason = "operator"
	DrainMachineList DrainReason = "machine-list"
	DrainStop        DrainReason = "stop"
	// DrainEvacuated is for an instance whose zone is evacuated; it may take work again.
	DrainEvacuated DrainReason = "evacuated"
	// DrainInstance is the instance's own statement that it leaves.
	DrainInstance DrainReason = "instance"
	// DrainReplaced is for an instance whose address another one has.
	DrainReplaced DrainReason = "replaced"
)

// drainReasons are all reasons; the first of those that hold is what calls are told.
var drainReasons = []DrainReason{DrainReplaced, DrainInstance, DrainStop, DrainOperator, DrainMachineList, DrainEvacuated}

// Instance is one back end beside the daemon.
type Instance struct {
	Service string
	Name    string
	queue   *admission.Queue
	backend *backend
	started time.Time
	// registered is true for an instance that announced itself; its heartbeats
	// then tell its state, and it is not probed.
	registered bool
	logger     logr.Logger
	// version is that of the instance's software, as its first heartbeat said.
	version string
	// inFlight are the calls that it has.
	inFlight inFlight

	// mutex protects everything below.
	mutex sync.Mutex
	// slots, sequence and lastBeat are from the newest heartbeat.
	slots     int
	sequence  uint64
	lastBeat  time.Time
	coldness  coldness
	lifecycle *stateless.StateMachine
	reasons   map[DrainReason]bool
	signs     signs
	// fallen is true while the instance is down by what its calls showed.
	fallen bool
}

func newInstance(service, name, address string, limits admission.Limits, connections int, envelope *callapi.Envelope) *Instance {
	return &Instance{
		Service: service, Name: name,
		queue:   admission.NewQueue(limits, time.Now),
		backend: newBackend(address, name, envelope, connections),
		started: time.Now(), lifecycle: newLifecycle(), reasons: map[DrainReason]bool{}, logger: logr.Discard(),
	}
}

// State returns the instance's state.
func (i *Instance) State() State {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.lifecycle.MustState().(State)
}

// Occupancy returns how much of the instance is in use.
func (i *Instance) Occupancy() admission.Occupancy { return i.queue.Occupancy() }

// advertised returns the state to announce to other daemons.
func (i *Instance) advertised() lapisv1.Endpoint_State {
	switch i.State() {
	case StateReady:
		return lapisv1.Endpoint_STATE_READY
	case StateRetired:
		return lapisv1.Endpoint_STATE_GONE
	case StateDown:
		if i.registered {
			// It may be back with its next heartbeat.
			return lapisv1.Endpoint_STATE_SUSPECT
		}
		return lapisv1.Endpoint_STATE_DRAINING
	default:
		return lapisv1.Endpoint_STATE_DRAINING
	}
}

// Drain adds a reason to take no new work; the calls in flight go on.
func (i *Instance) Drain(reason DrainReason) {
	i.mutex.Lock()
	i.reasons[reason] = true
	fire(i.lifecycle, triggerDrain)
	first, _ := i.remaining()
	i.queue.Close(i.refusal(first))
	i.mutex.Unlock()
	go i.noteIdle()
}

// refusal is what calls are told while the instance drains for a reason.
func (i *Instance) refusal(reason DrainReason) *result.Error {
	switch reason {
	case DrainStop:
		return result.Errorf(result.CallNotRunStopping, "instance %s is leaving (%s)", i.Name, reason)
	case DrainEvacuated:
		return result.Errorf(result.CallNotRunEvacuated, "the zone of instance %s is evacuated", i.Name)
	default:
		return result.Errorf(result.CallNotRunDraining, "instance %s is leaving (%s)", i.Name, reason)
	}
}

func (i *Instance) noteIdle() {
	<-i.queue.Idle()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.reasons) > 0 {
		fire(i.lifecycle, triggerIdle)
	}
}

// Resume removes a reason; without any the instance takes work again, at once if it
// registered and its heartbeats come.
func (i *Instance) Resume(reason DrainReason) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.reasons[reason] {
		return
	}
	delete(i.reasons, reason)
	if left, drains := i.remaining(); drains {
		i.queue.Close(i.refusal(left))
		return
	}
	fire(i.lifecycle, triggerResume)
	if !i.fallen {
		i.catchUpLifecycle()
	}
	i.fallen = false
	i.queue.Reopen()
}

// remaining returns the first of the reasons that hold; the caller holds mutex.
func (i *Instance) remaining() (reason DrainReason, drains bool) {
	for _, reason := range drainReasons {
		if i.reasons[reason] {
			return reason, true
		}
	}
	return "", false
}

// catchUpLifecycle takes in the heartbeats that came, or stayed out, while the instance
// drained; the caller holds mutex.
func (i *Instance) catchUpLifecycle() {
	if !i.registered || i.lastBeat.IsZero() {
		return
	}
	fire(i.lifecycle, triggerUp)
	if time.Since(i.lastBeat) > beatSilence {
		fire(i.lifecycle, triggerDown)
	}
}

// Retire ends the instance's part in its pool for good.
func (i *Instance) Retire() {
	i.Drain(DrainOperator)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fire(i.lifecycle, triggerRetire)
}

// check probes the back end while it is starting or down; one that registered
// is down when its heartbeats stay away.
func (i *Instance) check(ctx context.Context) {
	state := i.State()
	if i.registered {
		i.mutex.Lock()
		if time.Since(i.lastBeat) > beatSilence && state == StateReady {
			i.goDown(downSilent)
		}
		i.mutex.Unlock()
		return
	}
	if state == StateStarting || state == StateDown {
		i.noteConnection(i.backend.connect(ctx))
	}
}

// over reports whether the instance has no part here any more: it left for good
// or fell silent long ago, and no call of it is in flight.
func (i *Instance) over() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.registered {
		return false
	}
	switch i.lifecycle.MustState() {
	case StateDrained:
		return i.reasons[DrainInstance] || i.reasons[DrainReplaced]
	case StateDown:
		return time.Since(i.lastBeat) > beatMemory
	default:
		return false
	}
}

// watch follows the back end's state until it is over or ctx ends, and calls
// changed after each change of what is announced.
func (i *Instance) watch(ctx context.Context, changed func()) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	announced := lapisv1.Endpoint_STATE_UNSPECIFIED
	for {
		i.check(ctx)
		warm := i.noteWarm()
		i.backend.pool.closeOld(false)
		if now := i.advertised(); now != announced || warm {
			announced = now
			changed()
		}
		if i.over() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
