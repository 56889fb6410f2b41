package day

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/features"
	"github.com/lapisvane/lapisvane/internal/settings"
	"github.com/lapisvane/lapisvane/platform"
)

// Machine is one machine of the emulated platform: a daemon and the instance
// beside it.
type Machine struct {
	Name    string
	Zone    string
	Service string

	site *Site
	// mutex protects everything below.
	mutex     sync.Mutex
	addresses daemon.Addresses
	running   *running
	instance  *instance.Instance
}

// running is one process of a daemon.
type running struct {
	daemon      *daemon.Daemon
	stop, force chan struct{}
	ended       chan struct{}
	cut         int64
}

// start starts the daemon, at the addresses that it had before.
func (m *Machine) start() error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.Region, config.Service = m.Name, m.Zone, "region", m.Service
	config.PeerAddress = orAny(m.addresses.Peer)
	config.CallerAddress = orAny(m.addresses.Caller)
	config.InstanceAddress = orAny(m.addresses.Instances)
	config.ReadinessAddress = orAny(m.addresses.Readiness)
	config.Platform = settings.Platform{
		Form: platform.Form, Addresses: []string{m.site.Store.Address()},
		ReadsPerSecond: m.site.options.ReadsPerSecond, WritesPerSecond: m.site.options.WritesPerSecond,
		Contact: features.Duration(m.site.options.Contact),
	}
	config.Retries = settings.Retries{Fraction: 0.2, Burst: 64}
	config.StopLimit = features.Duration(m.site.options.Grace)
	if err := config.Check(); err != nil {
		return err
	}
	logger := m.site.options.Logger
	started, err := daemon.New(&config, daemon.Options{Logger: logger, Platform: platform.New(m.site.Store.Address(), logger)})
	if err != nil {
		return err
	}
	process := &running{daemon: started, stop: make(chan struct{}), force: make(chan struct{}), ended: make(chan struct{})}
	go func() {
		defer close(process.ended)
		process.cut = started.Run(process.stop, process.force)
	}()
	m.running = process
	m.addresses = started.Addresses()
	return nil
}

func orAny(address string) string {
	if address == "" {
		return "127.0.0.1:0"
	}
	return address
}

// Kill ends the daemon at once and starts it again after down.
func (m *Machine) Kill(down time.Duration) error {
	if process := m.take(); process != nil {
		close(process.force)
		<-process.ended
	}
	time.Sleep(down)
	return m.start()
}

// Roll stops the daemon as planned and starts it again after down. It returns
// the calls that were cut.
func (m *Machine) Roll(down time.Duration) (cut int64, err error) {
	if process := m.take(); process != nil {
		close(process.stop)
		<-process.ended
		cut = process.cut
	}
	time.Sleep(down)
	return cut, m.start()
}

func (m *Machine) take() *running {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	process := m.running
	m.running = nil
	return process
}

// Daemon returns the running daemon, nil while there is none.
func (m *Machine) Daemon() *daemon.Daemon {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.running == nil {
		return nil
	}
	return m.running.daemon
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

// startInstance starts an instance of service beside the daemon, at address or
// at any.
func (m *Machine) startInstance(service, address string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	options := m.site.options
	started, err := instance.Start(instance.Options{
		Service: service, Zone: m.Zone, Address: orAny(address), Registration: m.addresses.Instances, Outbound: m.addresses.Caller,
		Slots: options.Slots, Queue: options.Slots, ServiceTime: options.ServiceTime, Beat: options.Beat,
		ColdFor: options.ColdFor, Ledger: m.site.Ledger, Seed: options.Seed,
	})
	if err != nil {
		return fmt.Errorf("instance of %s: %w", service, err)
	}
	m.instance = started
	return nil
}

// Restart crashes the instance and starts another at its address.
func (m *Machine) Restart(down time.Duration) error {
	address := m.Instance().Address()
	m.Instance().Crash()
	time.Sleep(down)
	return m.startInstance(m.Service, address)
}

// Release lets the instance leave as planned and starts another. It reports
// whether the leaving was acknowledged.
func (m *Machine) Release(ctx context.Context, keep time.Duration, abrupt bool) (acknowledged bool, err error) {
	leaving := m.Instance()
	acknowledged = leaving.Leave(ctx, keep, abrupt)
	return acknowledged, m.startInstance(m.Service, "")
}

// Options size a Site.
type Options struct {
	// Zones gives the number of machines of each zone by service.
	Machines []Placement
	Slots    int
	// ServiceTime is the mean time of work on a request.
	ServiceTime time.Duration
	Beat        time.Duration
	ColdFor     time.Duration
	Contact     time.Duration
	Grace       time.Duration
	// DrainBound is the time after which a leaving instance gets nothing.
	DrainBound                      time.Duration
	ReadsPerSecond, WritesPerSecond float64
	Logger                          logr.Logger
	Seed                            uint64
}

// Placement is one machine of a service in a zone.
type Placement struct{ Zone, Service string }

// DefaultOptions is a small site of two services in three zones, with short
// times.
func DefaultOptions() Options {
	return Options{
		Machines: []Placement{
			{"a", "desk"}, {"b", "desk"}, {"c", "desk"}, {"a", "yard"}, {"b", "yard"}, {"c", "yard"},
		},
		Slots: 6, ServiceTime: 10 * time.Millisecond, Beat: 200 * time.Millisecond, ColdFor: 300 * time.Millisecond,
		Contact: 1500 * time.Millisecond, Grace: 4 * time.Second, DrainBound: time.Second,
		ReadsPerSecond: 2000, WritesPerSecond: 400, Logger: logr.Discard(), Seed: 1,
	}
}

// Ledger is where a site's promises are kept.
type Ledger = promise.Ledger
