package origin

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/qmuntal/stateless"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// Defaults and intervals of an instance.
const (
	// checkInterval is the time between two checks of an instance's state. For an instance without
	// heartbeats a check is a connection probe. It must be well below heartbeatTimeout, so that a
	// silent instance is detected soon.
	checkInterval = 200 * time.Millisecond
	// DefaultSlots and DefaultConnections apply until a configuration is known. They are the values
	// that the users' sites configure for an instance (about 6 slots and 130 connections).
	DefaultSlots       = 6
	DefaultConnections = 130
)

// Instance is one local back end with its state, its queue and its connections. It is safe for
// concurrent use.
type Instance struct {
	Service string
	// Name is identity.Name().
	Name      string
	identity  incarnation.Incarnation
	queue     *admission.Queue
	backend   *backend
	startedAt time.Time
	// registered is true for an instance that sends heartbeats. They determine its state, and it is
	// not probed at intervals.
	registered bool
	logger     logr.Logger
	// version is the version of the instance's software, as stated by its first heartbeat.
	version string
	// inFlight holds the calls in flight at the instance.
	inFlight inFlightCalls
	// anonymousPriority is the account priority of calls without an account.
	anonymousPriority atomic.Uint32
	// reportedWork is the slowdown that the instance reports.
	reportedWork reportedWork

	// mutex protects everything below.
	mutex sync.Mutex
	// slots, sequence and lastHeartbeatAt are from the latest heartbeat.
	slots           int
	sequence        uint64
	lastHeartbeatAt time.Time
	// resumedAt is when it was last served again after supersede; zero if it was not.
	resumedAt time.Time
	coldState coldState
	// stated is the rate limit that the instance states. statedLeaving is true once it has stated that
	// it is about to leave.
	stated        statedLimit
	statedLeaving bool
	lifecycle     *stateless.StateMachine
	drainReasons  map[DrainReason]bool
	// reachability holds what the results of calls show about the instance, and downByCalls is true
	// while the instance is down because of them. downByCalls is not a state of the lifecycle, because
	// it outlasts a drain: after the drain the instance is announced as ready only once a heartbeat
	// has arrived.
	reachability reachability
	downByCalls  bool
}

func newInstance(service string, identity incarnation.Incarnation, address string, limits admission.Limits, connections int, envelope *callapi.Envelope) *Instance {
	return &Instance{
		Service: service, Name: identity.Name(), identity: identity,
		queue:     admission.NewQueue(limits, time.Now),
		backend:   newBackend(address, identity.ID, envelope, connections),
		startedAt: time.Now(), stated: newStatedLimit(), lifecycle: newLifecycle(), drainReasons: map[DrainReason]bool{}, logger: logr.Discard(),
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

// advertisedState returns the state to announce to other daemons.
func (i *Instance) advertisedState() lapisv1.Endpoint_State {
	switch i.State() {
	case StateReady:
		return lapisv1.Endpoint_STATE_READY
	case StateRetired:
		return lapisv1.Endpoint_STATE_GONE
	case StateDown:
		if i.registered {
			// The next heartbeat may bring it up again.
			return lapisv1.Endpoint_STATE_SUSPECT
		}
		return lapisv1.Endpoint_STATE_DRAINING
	default:
		return lapisv1.Endpoint_STATE_DRAINING
	}
}

// checkHealth probes an instance without heartbeats while it is starting or down, and marks an
// instance with heartbeats as down when they stop.
func (i *Instance) checkHealth(ctx context.Context) {
	state := i.State()
	if i.registered {
		i.mutex.Lock()
		if isSilent(time.Since(i.lastHeartbeatAt)) && state == StateReady {
			i.markDown(downSilent)
		}
		i.mutex.Unlock()
		return
	}
	if state == StateStarting || state == StateDown {
		i.recordConnection(i.backend.probe(ctx))
	}
}

// shouldDrop reports whether to drop the instance; an instance without heartbeats is never dropped.
func (i *Instance) shouldDrop() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.registered {
		return false
	}
	return shouldDrop(time.Since(i.lastHeartbeatAt), i.lifecycle.MustState().(State), i.drainReasons)
}

// watch monitors the instance until it is to be dropped or ctx ends, and calls changed after each
// change of the announced endpoint.
func (i *Instance) watch(ctx context.Context, changed func()) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	announced := lapisv1.Endpoint_STATE_UNSPECIFIED
	for {
		i.checkHealth(ctx)
		warm := i.checkWarmedUp()
		i.backend.pool.closeExpired(false)
		if now := i.advertisedState(); now != announced || warm {
			announced = now
			changed()
		}
		if i.shouldDrop() {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// endpoint returns the endpoint to announce for the instance.
func (i *Instance) endpoint() *lapisv1.Endpoint {
	state := i.advertisedState()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return &lapisv1.Endpoint{
		Service: i.Service, Instance: i.Name, Version: i.version, State: state,
		StartedUnixMillis: i.startedAt.UnixMilli(), Slots: uint32(i.slots),
		ColdMillis: uint32(max(time.Until(i.coldState.coldUntil()).Milliseconds(), 0)),
	}
}

// configure applies the limits, shares and drains of a snapshot.
func (i *Instance) configure(current *snapshot.Snapshot) {
	service, ok := current.Service(i.Service)
	if !ok {
		return
	}
	i.mutex.Lock()
	slots := i.slots
	i.configureCold(service.Bundle.GetPool())
	i.mutex.Unlock()
	if slots == 0 {
		slots = int(service.Bundle.GetPool().GetSlots())
	}
	if current.Accounts != nil {
		i.anonymousPriority.Store(current.Accounts.MedianPriority())
		i.queue.ConfigureAccounts(slots, current.Accounts.Weights())
	} else {
		i.queue.Configure(slots, service.Shares)
	}
	i.backend.pool.setLimit(int(service.Bundle.GetPool().GetConnectionLimit()))
	switch {
	case service.Retired[i.identity.ID]:
		i.Retire()
	case service.Drained[i.identity.ID]:
		i.Drain(DrainOperator)
	default:
		i.Resume(DrainOperator)
	}
}
