package day

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// Machine is one machine of the emulated platform: a daemon and the instance beside it.
type Machine struct {
	Name    string
	Zone    string
	Service string

	site *Site
	// host is the machine's own loopback address, and store where the store serves it.
	host, store string
	// daemonLock is held while the daemon is ended and started again, instanceLock while
	// the instance is.
	daemonLock, instanceLock sync.Mutex
	// mutex protects everything below.
	mutex     sync.Mutex
	addresses daemon.Addresses
	running   Process
	instance  *instance.Instance
	instances int
}

// start starts the daemon, at its earlier addresses after the first time.
func (m *Machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.Region, config.Service = m.Name, m.Zone, m.site.options.region(m.Zone), m.Service
	config.PeerAddress = m.address(portPeer)
	config.CallerAddress = m.address(portCaller)
	config.InstanceAddress = m.address(portInstances)
	config.ReadinessAddress = m.address(portReadiness)
	config.MetricsAddress = m.address(portMetrics)
	config.Platform = settings.Platform{
		Form: platform.Form, Addresses: []string{m.store},
		ReadsPerSecond: m.site.options.ReadsPerSecond, WritesPerSecond: m.site.options.WritesPerSecond,
		Contact: tunables.Duration(m.site.options.Contact), ApplyBound: tunables.Duration(m.site.options.ApplyBound),
	}
	config.Retries = settings.Retries{Fraction: 0.2, Burst: 64}
	config.EvacuationBound = tunables.Duration(m.site.options.EvacuationBound)
	config.ColdStarts = settings.ColdStarts{Overshoot: m.site.options.ColdOvershoot, Slack: m.site.options.ColdSlack}
	config.Accounts = m.site.options.Revocation
	config.StopLimit = tunables.Duration(m.site.options.Grace)
	config.DecisionLinesPerSecond = m.site.options.DecisionLines
	if err := config.Check(); err != nil {
		return err
	}
	started, err := m.site.options.launch()(&config, m.site.options.Logger)
	if err != nil {
		return err
	}
	m.running = started
	m.addresses = started.Addresses()
	return nil
}

// Ports of a machine. They lie below those that the system gives to outgoing
// connections, so that a daemon finds its own free when it starts again.
const (
	portPeer = 20001 + iota
	portCaller
	portInstances
	portReadiness
	portMetrics
	// portFirstInstance is that of a machine's first instance; each new one gets the next.
	portFirstInstance = 21000
)

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.host, port) }

// nextHost numbers the machines of a process.
var nextHost atomic.Uint32

// newHost returns a loopback address that no other machine has, of this process
// or of another that plays days at the same time.
func newHost() string {
	const perByte = 250
	process := os.Getpid()
	number := int(nextHost.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+process/perByte%perByte, 1+(process+number/perByte)%perByte, 1+number%perByte)
}

// Kill ends the daemon at once and starts it again after down.
func (m *Machine) Kill(down time.Duration) error {
	m.daemonLock.Lock()
	defer m.daemonLock.Unlock()
	if process := m.takeProcess(); process != nil {
		m.site.Ledger.DaemonsKilled(time.Now())
		process.Kill()
		<-process.Ended()
	}
	time.Sleep(down)
	return m.start()
}

// Roll stops the daemon as planned and starts it again after down. It returns
// the calls that were cut.
func (m *Machine) Roll(down time.Duration) (cut int64, err error) {
	m.daemonLock.Lock()
	defer m.daemonLock.Unlock()
	address := m.Caller()
	if process := m.takeProcess(); process != nil {
		m.site.Ledger.StopBegan(address, time.Now())
		process.Stop()
		<-process.Ended()
		cut = process.Cut()
	}
	time.Sleep(down)
	return cut, m.start()
}

func (m *Machine) takeProcess() Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	process := m.running
	m.running = nil
	return process
}

// Daemon returns the running daemon, nil while there is none.
func (m *Machine) Daemon() Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.running
}

// Evacuated reports whether the daemon follows an order to evacuate a zone; false while there is none.
func (m *Machine) Evacuated(zone string) bool {
	running := m.Daemon()
	return running != nil && running.Evacuated(zone)
}

// Instance returns the instance beside the daemon.
func (m *Machine) Instance() *instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.instance
}

// Caller returns where the daemon takes calls; empty while it does not run.
func (m *Machine) Caller() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return ""
	}
	return m.addresses.Caller
}

// Ready asks the daemon whether callers may come.
func (m *Machine) Ready(ctx context.Context) bool {
	m.mutex.Lock()
	address := m.addresses.Readiness
	m.mutex.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+platform.PathReadiness, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Temperatures of instances at their start.
const (
	cold = true
	warm = false
)

// startInstance starts an instance of service beside the daemon, at address or at any, under an id
// that an instance had or a new one.
func (m *Machine) startInstance(service, address, id string, isCold bool) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	options := m.site.options
	if address == "" {
		address = m.address(portFirstInstance + m.instances)
		m.instances++
	}
	coldFor := time.Duration(0)
	if isCold {
		coldFor = options.ColdFor
	}
	started, err := instance.Start(instance.Options{
		Service: service, Zone: m.Zone, Address: address, ID: id, RegistrationAddress: m.addresses.Instances, OutboundAddress: m.addresses.Caller, Host: m.host,
		Slots: options.Slots, QueueLength: options.Slots, ServiceTime: options.ServiceTime, HeartbeatInterval: options.HeartbeatInterval,
		ColdDuration: coldFor, Region: options.region(m.Zone), ColdCrashRate: options.crashesAbove(), OnColdCrash: m.crashedCold,
		OnPoisonCrash: func(ended *instance.Instance) { m.restart(ended, m.site.open) }, Ledger: m.site.Ledger, Seed: options.Seed,
	})
	if err != nil {
		return fmt.Errorf("instance of %s: %w", service, err)
	}
	m.instance = started
	return nil
}

// Restart crashes the instance and starts it again, at its address and under its id.
func (m *Machine) Restart(down time.Duration) error {
	m.instanceLock.Lock()
	defer m.instanceLock.Unlock()
	ended := m.Instance()
	ended.Crash()
	time.Sleep(down)
	return m.startInstance(m.Service, ended.Address(), ended.ID(), cold)
}

// Release shuts the instance down as planned and starts another. It reports whether the drain was
// acknowledged.
func (m *Machine) Release(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool, err error) {
	m.instanceLock.Lock()
	defer m.instanceLock.Unlock()
	leaving := m.Instance()
	acknowledged = leaving.Shutdown(ctx, keep, abrupt)
	return acknowledged, m.startInstance(m.Service, "", "", cold)
}

// Return shuts the instance down as planned and starts it again under its id, at another address. It
// reports whether the drain was acknowledged.
func (m *Machine) Return(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool, err error) {
	m.instanceLock.Lock()
	defer m.instanceLock.Unlock()
	leaving := m.Instance()
	acknowledged = leaving.Shutdown(ctx, keep, abrupt)
	return acknowledged, m.startInstance(m.Service, "", leaving.ID(), cold)
}

func (m *Machine) endInstance() {
	m.instanceLock.Lock()
	defer m.instanceLock.Unlock()
	if running := m.Instance(); running != nil {
		running.Crash()
	}
}

// Options size a Site.
type Options struct {
	Machines []Placement
	Slots    int
	// ServiceTime is the mean time of work on a request.
	ServiceTime       time.Duration
	HeartbeatInterval time.Duration
	// ColdFor is how long an instance is cold that starts during the day.
	ColdFor time.Duration
	// ColdRate is the capacity of a cold instance in requests a second, 0 for that of a warm one.
	// It may get ColdRate*ColdOvershoot+ColdSlack in any second.
	ColdRate, ColdOvershoot, ColdSlack float64
	// Accounts are those that the operator declares at the start; nil where callers need no key.
	// Revocation is what daemons are told of how old keys may be.
	Accounts   []Account
	Revocation settings.Accounts
	// EvacuationBound is the time after which the instances of an evacuated zone get
	// nothing; 0 where operators evacuate none.
	EvacuationBound time.Duration
	// Regions gives the region of each zone; others lie in one region.
	Regions map[string]string
	Contact time.Duration
	// ApplyBound is the time in which daemons are told that a configuration must be in force.
	ApplyBound time.Duration
	Grace      time.Duration
	// DrainBound is the time after which a draining instance gets nothing.
	DrainBound                      time.Duration
	ReadsPerSecond, WritesPerSecond float64
	Logger                          logr.Logger
	// DecisionLines bounds the lines about requests of each daemon a second.
	DecisionLines int
	Seed          uint64
	// Launch starts the daemons; nil for daemons in this process.
	Launch Launch
}

// launch returns how daemons are started.
func (o Options) launch() Launch {
	if o.Launch == nil {
		return launchEmbedded
	}
	return o.Launch
}

// lossSlack is how long after its last byte a request may still cross the end of its connection,
// as the platform's rules state it.
const lossSlack = 200 * time.Millisecond

// bounds are those that the ledger checks.
func (o Options) bounds() promise.Bounds {
	return promise.Bounds{
		DrainDelay: o.DrainBound, EvacuationDelay: o.EvacuationBound, PropagationDelay: o.Contact, LossSlack: lossSlack, GracePeriod: o.Grace, RevocationDelay: o.ApplyBound,
		MaxColdPerSecond: o.ColdRate*o.ColdOvershoot*(1+jam.Seconds()) + o.ColdSlack,
	}
}

// crashesAbove is the number of requests in a second above which a cold instance crashes; 0 for
// never.
func (o Options) crashesAbove() float64 {
	if o.ColdRate == 0 {
		return 0
	}
	return crashFactor*o.ColdRate + o.ColdSlack
}

func (o Options) region(zone string) string {
	if region, given := o.Regions[zone]; given {
		return region
	}
	return defaultRegion
}

// Placement is one machine of a service in a zone.
type Placement struct{ Zone, Service string }

// DefaultOptions is a small site of two services in three zones, with short times.
func DefaultOptions() Options {
	return Options{
		Machines: []Placement{
			{"a", "desk"}, {"b", "desk"}, {"c", "desk"}, {"a", "yard"}, {"b", "yard"}, {"c", "yard"},
		},
		Slots: 6, ServiceTime: 10 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, ColdFor: 300 * time.Millisecond,
		Contact: 1500 * time.Millisecond, ApplyBound: time.Second, Grace: 4 * time.Second, DrainBound: time.Second,
		ReadsPerSecond: 2000, WritesPerSecond: 400, Logger: logr.Discard(), DecisionLines: 200, Seed: 1,
	}
}
