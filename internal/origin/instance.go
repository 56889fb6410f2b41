package origin

import (
	"context"
	"sync"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/admission"
	"github.com/lapisvane/lapisvane/internal/result"
)

// Times and bounds of an instance.
const (
	// downAfter is the number of failed connections in a row after which an
	// instance is taken as down.
	downAfter     = 3
	probeInterval = 200 * time.Millisecond
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
)

// Instance is one back end beside the daemon.
type Instance struct {
	Service string
	Name    string
	queue   *admission.Queue
	backend *backend
	started time.Time

	// mutex protects everything below.
	mutex     sync.Mutex
	lifecycle *stateless.StateMachine
	reasons   map[DrainReason]bool
	failures  int
}

func newInstance(service, name, address string, limits admission.Limits, connections int) *Instance {
	return &Instance{
		Service: service, Name: name,
		queue:   admission.NewQueue(limits, time.Now),
		backend: newBackend(address, limits.Slots, connections),
		started: time.Now(), lifecycle: newLifecycle(), reasons: map[DrainReason]bool{},
	}
}

// State returns the instance's state.
func (i *Instance) State() State {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.lifecycle.MustState().(State)
}

// advertised returns the state to announce to other daemons.
func (i *Instance) advertised() lapisv1.Endpoint_State {
	switch i.State() {
	case StateReady:
		return lapisv1.Endpoint_STATE_READY
	case StateRetired:
		return lapisv1.Endpoint_STATE_GONE
	default:
		return lapisv1.Endpoint_STATE_DRAINING
	}
}

// Drain adds a reason to take no new work; the calls in flight go on.
func (i *Instance) Drain(reason DrainReason) {
	i.mutex.Lock()
	i.reasons[reason] = true
	fire(i.lifecycle, triggerDrain)
	i.mutex.Unlock()
	code := result.CallNotRunDraining
	if reason == DrainStop {
		code = result.CallNotRunStopping
	}
	i.queue.Close(result.Errorf(code, "instance %s is leaving (%s)", i.Name, reason))
	go i.noteIdle()
}

func (i *Instance) noteIdle() {
	<-i.queue.Idle()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.reasons) > 0 {
		fire(i.lifecycle, triggerIdle)
	}
}

// Resume removes a reason; without any the instance takes work again.
func (i *Instance) Resume(reason DrainReason) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.reasons[reason] {
		return
	}
	delete(i.reasons, reason)
	if len(i.reasons) > 0 {
		return
	}
	fire(i.lifecycle, triggerResume)
	i.queue.Reopen()
}

// Retire ends the instance's part in its pool for good.
func (i *Instance) Retire() {
	i.Drain(DrainOperator)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fire(i.lifecycle, triggerRetire)
}

// noteConnection follows whether the back end accepts connections.
func (i *Instance) noteConnection(ok bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if ok {
		i.failures = 0
		fire(i.lifecycle, triggerUp)
		return
	}
	i.failures++
	if i.failures >= downAfter {
		fire(i.lifecycle, triggerDown)
	}
}

// watch probes the back end while it is starting or down, and calls changed
// after each change of what is announced.
func (i *Instance) watch(ctx context.Context, changed func()) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	announced := lapisv1.Endpoint_STATE_UNSPECIFIED
	for {
		if state := i.State(); state == StateStarting || state == StateDown {
			i.noteConnection(i.backend.reachable(ctx))
		}
		if now := i.advertised(); now != announced {
			announced = now
			changed()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
