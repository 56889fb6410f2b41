// Package instance is a stand-in for an application instance of the emulated platform: it registers
// with the daemon beside it, works on requests in slots with a short queue, states its load, drains,
// crashes, and misbehaves as instances do. An Instance owns its listener, its connections and their
// goroutines until Crash or Shutdown, and records what it got in a promise.Ledger.
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

// Behaviour is what can be changed while an instance runs. The zero value is a well-behaved one.
type Behaviour struct {
	// Slowdown is how many times longer work takes; below 1 counts as 1.
	Slowdown float64
	// LoseAnswer is the share of the requests that run and are never answered.
	LoseAnswer float64
	// Cut is the share of the answers that break off.
	Cut float64
	// Extra is the share of the answers that come a second time.
	Extra float64
	// ExtraAfter is how long after the first the second one comes.
	ExtraAfter time.Duration
	// Unframed is the share of the answers without length, which end with the connection.
	Unframed float64
	// UnframedCut is the share of the answers without length whose connection is reset on the way.
	UnframedCut float64
	// Garbage is the share of the answers that are not HTTP.
	Garbage float64
	// Early is the share of the requests that are refused before their body is read.
	Early float64
	// Fail is the share of the requests that run and are answered with a failure.
	Fail float64
	// ForgetIdle is the idle time after which a connection is dropped without closing it: the next
	// request over it is reset. 0 keeps all.
	ForgetIdle time.Duration
	// Capacity bounds the requests at once, running and waiting; 0 for the slots and the queue.
	Capacity int
	// OnFull is what the instance does with a request beyond that.
	OnFull OnFull
	// Silent keeps the instance from reading, answering and registering.
	Silent bool
}

// OnFull is what an instance does with a request beyond its capacity.
type OnFull int

// Ways to treat such a request.
const (
	// OnFullRefuse says that the request did not run.
	OnFullRefuse OnFull = iota
	// OnFullHang never answers it, nor anything further on its connection.
	OnFullHang
)

// Options configure an Instance.
type Options struct {
	Service string
	Zone    string
	// Address is where to listen; "127.0.0.1:0" picks a port.
	Address string
	// Registration is where the daemon beside it takes heartbeats.
	Registration string
	// Outbound is where the daemon beside it takes calls, and Host the number of
	// the machine, from which the instance makes its own.
	Outbound string
	Host     string
	// ID is that of an earlier instance that starts again; empty for a new one.
	ID    string
	Slots int
	Queue int
	// ServiceTime is the mean time of work on a request.
	ServiceTime       time.Duration
	HeartbeatInterval time.Duration
	// ColdFor is how long the instance is cold after the start: its work takes twice as long.
	ColdFor time.Duration
	// Region is that of the machine.
	Region string
	// CrashesAbove is the number of requests in a second above which the instance crashes while it
	// is cold; 0 for never.
	CrashesAbove float64
	// ColdCrashed and PoisonCrashed are called when the instance crashes, by that or under a poison
	// request, and must end it. One of them is called, once.
	ColdCrashed   func(*Instance)
	PoisonCrashed func(*Instance)
	Ledger        *promise.Ledger
	Seed          uint64
}

// Instance is one incarnation of an instance.
type Instance struct {
	options   Options
	start     incarnation.Incarnation
	listener  net.Listener
	slots     chan struct{}
	waiting   atomic.Int64
	running   atomic.Int64
	received  atomic.Int64
	cold      coldness
	crashOnce sync.Once
	sequence  atomic.Uint64
	draining  atomic.Bool

	stopped context.Context
	stop    context.CancelFunc
	work    sync.WaitGroup
	calls   *http.Client

	// mutex protects everything below.
	mutex     sync.Mutex
	behaviour Behaviour
	random    *rand.Rand
	conns     map[net.Conn]bool
}

// nextID makes the ids of instances unique within the process, and newestStart their starts.
var nextID, newestStart atomic.Uint64

// newIncarnation returns the next start of an id, or the first one of a new id where that is empty.
func newIncarnation(id string) incarnation.Incarnation {
	if id == "" {
		id = fmt.Sprintf("i-%08x", nextID.Add(1))
	}
	for {
		before := newestStart.Load()
		born := max(uint64(time.Now().UnixMilli()), before+1)
		if newestStart.CompareAndSwap(before, born) {
			return incarnation.Incarnation{ID: id, StartUnixMillis: born}
		}
	}
}

// Start opens the listener, registers and serves in the background.
func Start(options Options) (*Instance, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	started := &Instance{
		options: options, start: newIncarnation(options.ID), listener: listener,
		slots: make(chan struct{}, options.Slots), stopped: ctx, stop: cancel,
		random: rand.New(rand.NewPCG(options.Seed, nextID.Load())), conns: map[net.Conn]bool{},
	}
	started.cold.until = time.Now().Add(options.ColdFor)
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(options.Host)}}
	started.calls = &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}
	started.work.Go(started.accept)
	started.work.Go(started.sendHeartbeats)
	return started, nil
}

// ID returns the instance's id, which it keeps when it starts again.
func (i *Instance) ID() string { return i.start.ID }

// Name returns the name of this incarnation.
func (i *Instance) Name() string { return i.start.Name() }

// Address returns where the instance listens.
func (i *Instance) Address() string { return i.listener.Addr().String() }

// Running returns the requests that are worked on.
func (i *Instance) Running() int { return int(i.running.Load()) }

// Received returns the requests so far that were meant for the instance.
func (i *Instance) Received() int64 { return i.received.Load() }

// Set replaces the behaviour.
func (i *Instance) Set(behaviour Behaviour) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.behaviour = behaviour
}

func (i *Instance) current() Behaviour {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.behaviour
}

// chance reports true for a share of the calls.
func (i *Instance) chance(share float64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.random.Float64() < share
}

// Crash ends the instance at once and closes its connections.
func (i *Instance) Crash() {
	i.options.Ledger.InstanceEnded(i.Name())
	i.stop()
	_ = i.listener.Close()
	i.mutex.Lock()
	for conn := range i.conns {
		_ = conn.Close()
	}
	i.mutex.Unlock()
	i.work.Wait()
	i.calls.CloseIdleConnections()
}

// Shutdown ends the instance as planned: it registers as draining, serves on for keep after the
// acknowledgement, deregisters and ends. With abrupt it deregisters at once. It reports whether the
// drain was acknowledged.
func (i *Instance) Shutdown(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool) {
	i.draining.Store(true)
	for !acknowledged && sleep.For(ctx, 0) {
		if abrupt {
			acknowledged = i.withdraw(ctx) == nil
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
	sleep.For(ctx, keep)
	if !abrupt {
		_ = i.withdraw(ctx)
	}
	i.Crash()
	return acknowledged
}

func (i *Instance) sendHeartbeats() {
	for {
		if !i.current().Silent && !i.draining.Load() {
			_ = i.heartbeat(i.stopped)
		}
		if !sleep.For(i.stopped, i.options.HeartbeatInterval) {
			return
		}
	}
}

// heartbeat sends the next heartbeat; an error means that it was not acknowledged.
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
			State: state, Sequence: sequence, ColdRemainingMillis: i.cold.remaining(time.Now()).Milliseconds(),
		},
		Start: platform.Start{Born: i.start.StartUnixMillis},
	}
	body, err := json.Marshal(heartbeat)
	if err != nil {
		return err
	}
	return i.callRegistration(ctx, http.MethodPut, body)
}

// SendLateHeartbeat sends a heartbeat from before the shutdown, as one that was delayed.
func (i *Instance) SendLateHeartbeat(ctx context.Context) {
	_ = i.sendHeartbeat(ctx, platform.StateReady, 1)
}

// withdraw says that the instance retires.
func (i *Instance) withdraw(ctx context.Context) error {
	body, err := json.Marshal(platform.Start{Born: i.start.StartUnixMillis})
	if err != nil {
		return err
	}
	return i.callRegistration(ctx, http.MethodDelete, body)
}

// callRegistration calls the registration of the daemon beside the instance.
func (i *Instance) callRegistration(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+i.options.Registration+platform.PathInstances+i.ID(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("answered %d", response.StatusCode)
	}
	return nil
}
