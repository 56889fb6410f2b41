// Package instance emulates an application instance. It registers with the daemon on its machine, runs
// requests in a fixed number of slots with a short queue, reports its load, drains and crashes, and can
// be made to misbehave. An Instance owns its listener, its connections and their goroutines until Crash
// or Shutdown, and records the requests that it receives in a promise.Ledger.
package instance

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

// Behaviour is the misbehaviour of an instance, which can be changed while it runs. Shares are between 0
// and 1. The zero value is an instance without faults.
type Behaviour struct {
	// Slowdown is the factor by which work takes longer; values below 1 count as 1.
	Slowdown float64
	// LostAnswerShare is the share of requests that run but are never answered.
	LostAnswerShare float64
	// TruncatedShare is the share of answers that end before their declared length.
	TruncatedShare float64
	// DuplicateShare is the share of answers that are sent twice.
	DuplicateShare float64
	// DuplicateDelay is the time between an answer and its duplicate.
	DuplicateDelay time.Duration
	// UnframedShare is the share of answers without Content-Length, which end with the connection.
	UnframedShare float64
	// UnframedResetShare is the share of answers without Content-Length whose connection is reset before
	// the end of the body.
	UnframedResetShare float64
	// GarbageShare is the share of answers that are not HTTP.
	GarbageShare float64
	// EarlyRefusalShare is the share of requests with a body that are refused before the body is read.
	EarlyRefusalShare float64
	// FailureShare is the share of requests that run and are answered with status 500.
	FailureShare float64
	// IdleTimeout is the idle time after which a connection is dropped without being closed: the next
	// request on it is answered with a reset. 0 keeps all connections.
	IdleTimeout time.Duration
	// Capacity is the maximum number of running and waiting requests; 0 leaves the limit to the slots
	// and the queue.
	Capacity int
	// OnFull is the treatment of a request beyond the capacity.
	OnFull OnFull
	// Silent makes the instance stop answering requests and sending heartbeats.
	Silent bool
	// Unheard makes the heartbeats be lost that report the instance as ready.
	Unheard bool
	// Endless is what the instance answers to requests that it has run; the zero value is none.
	Endless EndlessAnswer
}

// EndlessAnswer is an answer that goes on until the other side closes the connection.
type EndlessAnswer struct {
	// Opening is sent once, with the ID of the request in place of RequestIDPlaceholder, and Repeated
	// again and again.
	Opening, Repeated string
}

// RequestIDPlaceholder stands for the ID of the request in EndlessAnswer.Opening.
const RequestIDPlaceholder = "{request-id}"

// OnFull is the treatment of a request beyond the capacity of an instance.
type OnFull int

// The treatments of such a request.
const (
	// OnFullRefuse answers that the request did not run.
	OnFullRefuse OnFull = iota
	// OnFullHang answers neither the request nor any later one on its connection.
	OnFullHang
)

// Options configure an Instance.
type Options struct {
	Service string
	Zone    string
	// Address is the listen address; "127.0.0.1:0" picks a free port.
	Address string
	// RegistrationAddress is the address at which the daemon on the machine accepts heartbeats.
	RegistrationAddress string
	// OutboundAddress is the address at which the daemon on the machine accepts calls. Host is the
	// machine's IP address, which is the source address of the instance's own calls.
	OutboundAddress string
	Host            string
	// ID is the id of an earlier instance that is restarted; empty for a new instance.
	ID          string
	Slots       int
	QueueLength int
	// ServiceTime is the mean time that a request runs.
	ServiceTime       time.Duration
	HeartbeatInterval time.Duration
	// LeavingUnstated is true if the instance does not state in its answers that it leaves.
	LeavingUnstated bool
	// RetiresWithoutStart is true if the message that the instance retires has no body, and so does not
	// state its start.
	RetiresWithoutStart bool
	// ColdDuration is the time for which the instance is cold after its start. Work takes coldSlowdown
	// times as long meanwhile.
	ColdDuration time.Duration
	// Region is the region of the machine.
	Region string
	// ColdCrashRate is the number of requests in a second above which the instance crashes while it is
	// cold; 0 disables these crashes.
	ColdCrashRate float64
	// OnColdCrash is called when the instance crashes from too many requests while it is cold, and
	// OnPoisonCrash when it crashes under a poison request. The callback must end the instance. Only one
	// of them is called, once.
	OnColdCrash   func(*Instance)
	OnPoisonCrash func(*Instance)
	Ledger        *promise.Ledger
	Seed          uint64
	// Behaviour is how the instance behaves from its start on.
	Behaviour Behaviour
}

// Instance is a running instance: one incarnation of an instance id.
type Instance struct {
	options     Options
	incarnation incarnation.Incarnation
	listener    net.Listener
	slots       chan struct{}
	waiting     atomic.Int64
	running     atomic.Int64
	received    atomic.Int64
	slowStart   slowStart
	crashOnce   sync.Once
	sequence    atomic.Uint64
	draining    atomic.Bool

	stopped    context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	httpClient *http.Client

	// mutex protects everything below.
	mutex     sync.Mutex
	behaviour Behaviour
	statement promise.Statement
	random    *rand.Rand
	conns     map[net.Conn]bool
}

// nextID makes instance ids unique within the process. lastBorn makes the start times of incarnations
// unique.
var nextID, lastBorn atomic.Uint64

// newIncarnation returns the next incarnation of an instance id. An empty id stands for a new one.
func newIncarnation(id string) incarnation.Incarnation {
	if id == "" {
		id = fmt.Sprintf("i-%08x", nextID.Add(1))
	}
	for {
		before := lastBorn.Load()
		born := max(uint64(time.Now().UnixMilli()), before+1)
		if lastBorn.CompareAndSwap(before, born) {
			return incarnation.Incarnation{ID: id, StartUnixMillis: born}
		}
	}
}

// Start opens the listener and starts registration and serving in the background.
func Start(options Options) (*Instance, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &Instance{
		options: options, incarnation: newIncarnation(options.ID), listener: listener,
		slots: make(chan struct{}, options.Slots), stopped: ctx, stop: cancel,
		random: rand.New(rand.NewPCG(options.Seed, nextID.Load())), conns: map[net.Conn]bool{}, behaviour: options.Behaviour,
	}
	started.slowStart.endsAt = time.Now().Add(options.ColdDuration)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(options.Host)}}
	started.httpClient = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	started.goroutines.Go(started.accept)
	started.goroutines.Go(started.sendHeartbeats)
	return started, nil
}

// ID returns the instance's id, which stays the same across restarts.
func (i *Instance) ID() string { return i.incarnation.ID }

// Name returns the name of this incarnation.
func (i *Instance) Name() string { return i.incarnation.Name() }

// Address returns the address at which the instance listens.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Running returns the number of requests that occupy a slot.
func (i *Instance) Running() int { return int(i.running.Load()) }

// Received returns the number of requests received so far that were addressed to the instance.
func (i *Instance) Received() int64 { return i.received.Load() }

// Set replaces the instance's behaviour.
func (i *Instance) Set(behaviour Behaviour) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.behaviour = behaviour
}

// SetStatement replaces what the instance states about itself in all its answers. While it shuts down, it
// also states that it leaves, unless Options.LeavingUnstated is set.
func (i *Instance) SetStatement(statement promise.Statement) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.statement = statement
}

// StateRate makes the instance state a rate limit, in requests per second, until ctx ends or the time has
// passed.
func (i *Instance) StateRate(ctx context.Context, perSecond float64, during time.Duration) {
	i.SetStatement(promise.Statement{PerSecond: perSecond})
	sleep.For(ctx, during)
	i.SetStatement(promise.Statement{})
	i.options.Ledger.StatedRateEnded(i.Name(), time.Now())
}

func (i *Instance) currentStatement() promise.Statement {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	current := i.statement
	current.Leaving = current.Leaving || (i.draining.Load() && !i.options.LeavingUnstated)
	return current
}

func (i *Instance) currentBehaviour() Behaviour {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.behaviour
}

// chance reports true with the given probability.
func (i *Instance) chance(probability float64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.random.Float64() < probability
}

// Crash ends the instance immediately and closes its connections.
func (i *Instance) Crash() {
	i.options.Ledger.InstanceEnded(i.Name())
	i.stop()
	_ = i.listener.Close()
	i.mutex.Lock()
	for conn := range i.conns {
		_ = conn.Close()
	}
	i.mutex.Unlock()
	i.goroutines.Wait()
	i.httpClient.CloseIdleConnections()
}

// Shutdown stops the instance gracefully: it registers as draining, continues to serve for linger after
// the acknowledgement, deregisters and ends. With skipDrain it deregisters first instead. It reports
// whether the daemon acknowledged.
func (i *Instance) Shutdown(ctx context.Context, linger time.Duration, skipDrain bool) (acknowledged bool) {
	acknowledged = i.Leave(ctx, skipDrain)
	sleep.For(ctx, linger)
	if !skipDrain {
		_ = i.deregister(ctx)
	}
	i.Crash()
	return acknowledged
}

// Leave registers the instance as draining, or deregisters it with skipDrain, until the daemon
// acknowledges it or ctx ends. The instance continues to serve.
func (i *Instance) Leave(ctx context.Context, skipDrain bool) (acknowledged bool) {
	i.draining.Store(true)
	for !acknowledged && sleep.For(ctx, 0) {
		if skipDrain {
			acknowledged = i.deregister(ctx) == nil
		} else {
			acknowledged = i.heartbeat(ctx) == nil
		}
		if !acknowledged && !sleep.For(ctx, i.options.HeartbeatInterval/2) {
			break
		}
	}
	if acknowledged {
		i.options.Ledger.DrainAcknowledged(i.Name())
	}
	return acknowledged
}

func (i *Instance) sendHeartbeats() {
	for {
		if behaviour := i.currentBehaviour(); !behaviour.Silent && !behaviour.Unheard && !i.draining.Load() {
			_ = i.heartbeat(i.stopped)
		}
		if !sleep.For(i.stopped, i.options.HeartbeatInterval) {
			return
		}
	}
}

// heartbeat sends the next heartbeat. An error means that the daemon did not acknowledge it.
func (i *Instance) heartbeat(ctx context.Context) error {
	state := platform.StateReady
	if i.draining.Load() {
		state = platform.StateDraining
	}
	return i.sendHeartbeat(ctx, state, i.sequence.Add(1))
}

func (i *Instance) sendHeartbeat(ctx context.Context, state string, sequence uint64) error {
	heartbeat := platform.Heartbeat{
		Address: i.Address(),
		Info:    platform.HeartbeatInfo{Service: i.options.Service, Version: "v1", Zone: i.options.Zone, Slots: i.options.Slots},
		Status: platform.HeartbeatStatus{
			State: state, Sequence: sequence, ColdRemainingMillis: i.slowStart.remaining(time.Now()).Milliseconds(),
		},
		Start: platform.Start{Born: i.incarnation.StartUnixMillis},
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return err
	}
	return i.callRegistration(ctx, http.MethodPut, body)
}

// SendLateHeartbeat sends an old heartbeat that reports the instance as ready, to emulate one that was
// delayed until after the shutdown.
func (i *Instance) SendLateHeartbeat(ctx context.Context) {
	i.SendDelayedHeartbeat(ctx, 1)
}

// SendDelayedHeartbeat is like SendLateHeartbeat, for the heartbeat with the given sequence number.
func (i *Instance) SendDelayedHeartbeat(ctx context.Context, sequence uint64) {
	_ = i.sendHeartbeat(ctx, platform.StateReady, sequence)
}

// deregister reports the instance's retirement to the daemon.
func (i *Instance) deregister(ctx context.Context) error {
	if i.options.RetiresWithoutStart {
		return i.callRegistration(ctx, http.MethodDelete, nil)
	}
	body, err := json.Marshal(platform.Start{Born: i.incarnation.StartUnixMillis})
	if err != nil {
		return err
	}
	return i.callRegistration(ctx, http.MethodDelete, body)
}

// callRegistration sends a request to the registration endpoint of the daemon on the machine.
func (i *Instance) callRegistration(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.options.RegistrationAddress+platform.PathInstances+i.ID(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("daemon answered status %d", response.StatusCode)
	}
	return nil
}
