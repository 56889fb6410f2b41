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

// Machine is one machine of the emulated platform. It runs a daemon and an instance.
type Machine struct {
	Name    string
	Zone    string
	Service string

	site *Site
	// host is the machine's loopback address, storeAddress the address at which the store serves it.
	host, storeAddress string
	// daemonMutex is held during a restart of the daemon, instanceMutex during a restart of the
	// instance.
	daemonMutex, instanceMutex sync.Mutex
	// mutex protects everything below.
	mutex            sync.Mutex
	addresses        daemon.Addresses
	process          Process
	instance         *instance.Instance
	instancesStarted int
}

// start starts the daemon. Its addresses stay the same across restarts.
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
		Form: platform.Form, Addresses: []string{m.storeAddress},
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
	m.process = started
	m.addresses = started.Addresses()
	m.site.Versions.DaemonStarted(m.addresses.Caller, time.Now())
	return nil
}

// Ports of a machine. They are below the range of ephemeral ports, so that no outgoing connection
// occupies a port of a daemon that restarts.
const (
	portPeer = 20001 + iota
	portCaller
	portInstances
	portReadiness
	portMetrics
	// portFirstInstance is the port of a machine's first instance; each new instance uses the next port.
	portFirstInstance = 21000
)

func (m *Machine) address(port int) string { return fmt.Sprintf("%s:%d", m.host, port) }

// nextHost is the number of the newest machine in this process.
var nextHost atomic.Uint32

// newHost returns an unused loopback address. Mixing in the process id keeps the machines of processes
// that run at the same time apart.
func newHost() string {
	const perByte = 250
	process := os.Getpid()
	number := int(nextHost.Add(1))
	return fmt.Sprintf("127.%d.%d.%d", 1+process/perByte%perByte, 1+(process+number/perByte)%perByte, 1+number%perByte)
}

// Kill ends the daemon immediately and restarts it after the downtime.
func (m *Machine) Kill(down time.Duration) error {
	m.daemonMutex.Lock()
	defer m.daemonMutex.Unlock()
	address := m.Caller()
	if process := m.takeProcess(); process != nil {
		m.site.Ledger.DaemonsKilled(time.Now())
		m.site.Versions.DaemonDisturbed(address, time.Now())
		process.Kill()
		<-process.Done()
		m.site.Ledger.DaemonInterrupted(address)
	}
	time.Sleep(down)
	return m.start()
}

// RestartDaemon stops the daemon gracefully and restarts it after the downtime. It returns the number
// of calls that the stop cut.
func (m *Machine) RestartDaemon(down time.Duration) (cut int64, err error) {
	m.daemonMutex.Lock()
	defer m.daemonMutex.Unlock()
	address := m.Caller()
	if process := m.takeProcess(); process != nil {
		m.site.Ledger.StopBegan(address, time.Now())
		m.site.Versions.DaemonDisturbed(address, time.Now())
		process.Stop()
		<-process.Done()
		cut = process.CutCalls()
		m.site.Ledger.DaemonInterrupted(address)
	}
	time.Sleep(down)
	return cut, m.start()
}

func (m *Machine) takeProcess() Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	process := m.process
	m.process = nil
	return process
}

// Daemon returns the running daemon, nil if none runs.
func (m *Machine) Daemon() Process {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.process
}

// Evacuated reports whether the daemon follows an order to evacuate a zone. It reports false while no
// daemon runs.
func (m *Machine) Evacuated(zone string) bool {
	running := m.Daemon()
	return running != nil && running.Evacuated(zone)
}

// Instance returns the current instance of the machine.
func (m *Machine) Instance() *instance.Instance {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.instance
}

// Caller returns the address at which the daemon accepts calls; empty while no daemon runs.
func (m *Machine) Caller() string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.process == nil {
		return ""
	}
	return m.addresses.Caller
}

// Ready reports whether the daemon's readiness check succeeds.
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

// Values of the isCold parameter of startInstance.
const (
	cold = true
	warm = false
)

// startInstance starts an instance of a service on the machine. An empty address stands for a new one,
// an empty id for a new id; an id that is not empty belongs to an earlier instance.
func (m *Machine) startInstance(service, address, id string, isCold bool) error {
	return m.startBehaving(service, address, id, isCold, instance.Behaviour{})
}

// startBehaving is like startInstance, for an instance with a behaviour from its start on.
func (m *Machine) startBehaving(service, address, id string, isCold bool, behaviour instance.Behaviour) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	options := m.site.options
	if address == "" {
		address = m.address(portFirstInstance + m.instancesStarted)
		m.instancesStarted++
	}
	coldFor := time.Duration(0)
	if isCold {
		coldFor = options.ColdDuration
	}
	started, err := instance.Start(instance.Options{
		Service: service, Zone: m.Zone, Address: address, ID: id, RegistrationAddress: m.addresses.Instances, OutboundAddress: m.addresses.Caller, Host: m.host,
		Slots: options.Slots, QueueLength: options.Slots, ServiceTime: options.ServiceTime, HeartbeatInterval: options.HeartbeatInterval,
		LeavingUnstated: options.LeavingUnstated, RetiresWithoutStart: options.RetiresWithoutStart, ColdDuration: coldFor, Region: options.region(m.Zone), ColdCrashRate: options.coldCrashRate(), OnColdCrash: m.restartAfterColdCrash,
		OnPoisonCrash: func(ended *instance.Instance) { m.restart(ended, m.site.isOpen) }, Ledger: m.site.Ledger, Seed: options.Seed,
		Behaviour: behaviour,
	})
	if err != nil {
		return fmt.Errorf("instance of %s: %w", service, err)
	}
	m.instance = started
	return nil
}

// CrashInstance crashes the instance and restarts it after the downtime with the same id at the same
// address. RestartInstance instead shuts it down gracefully and restarts it at another address.
func (m *Machine) CrashInstance(down time.Duration) error {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	ended := m.Instance()
	ended.Crash()
	time.Sleep(down)
	return m.startInstance(m.Service, ended.Address(), ended.ID(), cold)
}

// RestartInstanceUnheard is like CrashInstance without the slow start, for an instance of which no ready
// heartbeat arrives.
func (m *Machine) RestartInstanceUnheard(down time.Duration) error {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	ended := m.Instance()
	ended.Crash()
	time.Sleep(down)
	return m.startBehaving(m.Service, ended.Address(), ended.ID(), warm, instance.Behaviour{Unheard: true})
}

// ReplaceInstance shuts the instance down gracefully and starts a new one. It reports whether the drain
// was acknowledged.
func (m *Machine) ReplaceInstance(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool, err error) {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	leaving := m.Instance()
	acknowledged = leaving.Shutdown(ctx, keep, abrupt)
	return acknowledged, m.startInstance(m.Service, "", "", cold)
}

// RestartInstance shuts the instance down gracefully and restarts it with the same id at another
// address, unlike CrashInstance. It reports whether the drain was acknowledged.
func (m *Machine) RestartInstance(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool, err error) {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	leaving := m.Instance()
	acknowledged = leaving.Shutdown(ctx, keep, abrupt)
	return acknowledged, m.startInstance(m.Service, "", leaving.ID(), cold)
}

func (m *Machine) endInstance() {
	m.instanceMutex.Lock()
	defer m.instanceMutex.Unlock()
	if running := m.Instance(); running != nil {
		running.Crash()
	}
}

// Options configure a Site.
type Options struct {
	Machines []Placement
	Slots    int
	// ServiceTime is the mean time that a request runs at an instance.
	ServiceTime       time.Duration
	HeartbeatInterval time.Duration
	// LeavingUnstated is true if instances do not state in their answers that they leave.
	LeavingUnstated bool
	// RetiresWithoutStart is true if instances state their start in heartbeats, but not as they retire.
	RetiresWithoutStart bool
	// ColdDuration is the time for which an instance that starts during the day is cold.
	ColdDuration time.Duration
	// ColdRate is the capacity of a cold instance in requests per second, 0 for the capacity of a warm
	// one. A cold instance may receive ColdRate*ColdOvershoot+ColdSlack requests in any second.
	ColdRate, ColdOvershoot, ColdSlack float64
	// Accounts are the accounts that the operator declares at the start; nil if callers need no API key.
	// Revocation is the daemons' setting for how long they accept API keys without a confirmation of
	// their configuration.
	Accounts   []Account
	Revocation settings.Accounts
	// EvacuationBound is the time after which the instances of an evacuated zone receive no more
	// requests; 0 if no zone is evacuated.
	EvacuationBound time.Duration
	// Regions maps zones to regions. All other zones are in one default region.
	Regions map[string]string
	// Contact is the time after which all daemons know what one of them knows.
	Contact time.Duration
	// ApplyBound is the daemons' setting for the time within which a configuration must be in force.
	ApplyBound time.Duration
	// Grace is the time that a planned stop of a daemon may take.
	Grace time.Duration
	// DrainBound is the time after which a draining instance receives no more requests.
	DrainBound                      time.Duration
	ReadsPerSecond, WritesPerSecond float64
	Logger                          logr.Logger
	// DecisionLines is the maximum number of log lines about requests per daemon and second.
	DecisionLines int
	Seed          uint64
	// Launch starts the daemons; nil runs them in this process.
	Launch Launch
}

// launch returns the function that starts daemons.
func (o Options) launch() Launch {
	if o.Launch == nil {
		return launchEmbedded
	}
	return o.Launch
}

// lossSlack is the maximum time between the last byte of a request and the close of its connection for
// which the daemon need not have read the request. The platform's rules state the value.
const lossSlack = 200 * time.Millisecond

// bounds returns the bounds that the ledger checks. The cold rate allows for requests that are delayed
// by up to maxRequestDelay and then arrive together.
func (o Options) bounds() promise.Bounds {
	return promise.Bounds{
		DrainDelay: o.DrainBound, EvacuationDelay: o.EvacuationBound, PropagationDelay: o.Contact, LossSlack: lossSlack, GracePeriod: o.Grace, RevocationDelay: o.ApplyBound,
		MaxColdPerSecond: o.ColdRate*o.ColdOvershoot*(1+maxRequestDelay.Seconds()) + o.ColdSlack,
	}
}

// coldCrashRate returns the number of requests in a second above which a cold instance crashes; 0
// disables these crashes.
func (o Options) coldCrashRate() float64 {
	if o.ColdRate == 0 {
		return 0
	}
	return coldCrashFactor*o.ColdRate + o.ColdSlack
}

func (o Options) region(zone string) string {
	if region, given := o.Regions[zone]; given {
		return region
	}
	return defaultRegion
}

// Placement is the zone and the service of one machine.
type Placement struct{ Zone, Service string }

// DefaultOptions returns the options of a small site with two services in three zones and short
// timeouts.
func DefaultOptions() Options {
	return Options{
		Machines: []Placement{
			{"a", "desk"}, {"b", "desk"}, {"c", "desk"}, {"a", "yard"}, {"b", "yard"}, {"c", "yard"},
		},
		Slots: 6, ServiceTime: 10 * time.Millisecond, HeartbeatInterval: 200 * time.Millisecond, ColdDuration: 300 * time.Millisecond,
		Contact: 1500 * time.Millisecond, ApplyBound: time.Second, Grace: 4 * time.Second, DrainBound: time.Second,
		ReadsPerSecond: 2000, WritesPerSecond: 400, Logger: logr.Discard(), DecisionLines: 200, Seed: 1,
	}
}
