// Package day runs simulated days on an emulated platform: machines with daemons and instances, a
// metadata store, an operator and clients, with faults that are injected at planned times. By default
// the daemons run in the current process. All connections use loopback addresses.
//
// A Site owns everything that it starts, until Close. The load, the faults and their times are derived
// from the day's seed, so that a failed seed can be repeated; the scheduling of goroutines is not
// reproducible. The package uses packages client, instance, objectstore and promise, and runs the
// unmodified daemon with its platform adapter.
package day

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/client"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
	"github.com/lapisvane/lapisvane/platform"
)

const pollInterval = 10 * time.Millisecond

// Site is an emulated platform with its machines.
type Site struct {
	Store    *objectstore.Server
	Machines []*Machine
	Ledger   *promise.Ledger
	// Versions checks which configuration versions are in force, by the outcomes of probes.
	Versions *promise.Versions

	options Options
	// mutex protects everything below. version is the version of the newest configuration.
	mutex   sync.Mutex
	version uint64
	// declaredConfig is the newest configuration. routes and accounts are those that it contains.
	declaredConfig platform.Config
	routes         []Route
	accounts       []Account
	// probes holds the probe routes that versions added, the oldest first.
	probes []addedProbe
	// coldCrashes counts the instances that crashed in slow start. restartErrors joins the errors of
	// restarts after a crash.
	coldCrashes   int
	restartErrors error
	closed        bool
}

// Start starts a site with a configuration of the given routes and waits until all daemons are ready.
// After an error the returned site may be partially started and must be closed unless it is nil.
func Start(ctx context.Context, options Options, routes []Route) (*Site, error) {
	site := &Site{Ledger: promise.NewLedger(options.bounds()), options: options, accounts: options.Accounts}
	site.Versions = promise.NewVersions(options.versionBounds(), func(request, detail string) { site.Ledger.Record(promise.Config, request, detail) })
	store, err := objectstore.Start(objectstore.Options{
		Address: "127.0.0.1:0", ReadsPerSecond: options.ReadsPerSecond, WritesPerSecond: options.WritesPerSecond, Seed: options.Seed,
		Disrupted: site.storeDisrupted,
	})
	if err != nil {
		return nil, err
	}
	site.Store = store
	if _, err := site.Declare(routes); err != nil {
		return nil, err
	}
	for _, placement := range options.Machines {
		if _, err := site.AddMachine(placement); err != nil {
			return site, err
		}
	}
	return site, site.AwaitReady(ctx)
}

// AddMachine starts a further machine. It must not be called while others use Machines.
func (s *Site) AddMachine(placement Placement) (machine *Machine, err error) {
	machine = &Machine{
		Name: fmt.Sprintf("machine-%s-%d", placement.Zone, len(s.Machines)+1), Zone: placement.Zone, Service: placement.Service, site: s, host: newHost(),
	}
	s.Machines = append(s.Machines, machine)
	if machine.storeAddress, err = s.Store.ListenAlso("127.0.0.1:0"); err != nil {
		return machine, err
	}
	if err := machine.start(); err != nil {
		return machine, err
	}
	return machine, machine.startInstance(machine.Service, "", "", warm)
}

// Close ends all daemons and instances and the store immediately.
func (s *Site) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	for _, machine := range s.Machines {
		if process := machine.takeProcess(); process != nil {
			process.Kill()
			<-process.Done()
		}
		machine.endInstance()
	}
	s.Store.Close()
}

// ContactTime returns the time after which all daemons know what one of them knows.
func (s *Site) ContactTime() time.Duration { return s.options.Contact }

// SetStoreFaults injects faults of the store for some machines, while the store serves the other
// machines and the operator.
func (s *Site) SetStoreFaults(faults objectstore.Faults, machines ...*Machine) {
	faults.Addresses = map[string]bool{}
	for _, machine := range machines {
		faults.Addresses[machine.storeAddress] = true
	}
	s.Store.SetFaults(faults)
}

func (s *Site) services() []string {
	seen := map[string]bool{}
	var services []string
	for _, placement := range s.options.Machines {
		if !seen[placement.Service] {
			seen[placement.Service] = true
			services = append(services, placement.Service)
		}
	}
	return services
}

// Declare acts as the operator: it writes a configuration with the given routes and returns its
// version. Versions increase in uneven steps.
func (s *Site) Declare(routes []Route) (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = routes
	return s.declareLocked()
}

// declareLocked writes the next version of the configuration. The caller holds mutex.
func (s *Site) declareLocked() (version uint64, err error) {
	s.version += 1 + s.version%3
	probes := s.nextProbes(time.Now())
	routes := slices.Clone(s.routes)
	for _, name := range slices.Sorted(maps.Keys(probes)) {
		routes = append(routes, probeRoute(name, probes[name]))
	}
	config := Config(s.version, s.services(), routes)
	if s.options.ColdRate > 0 {
		addColdRates(&config, s.options)
	}
	if s.accounts != nil {
		addAccounts(&config, routes, s.accounts)
	}
	s.declaredConfig = config
	s.Versions.Declare(s.version, probes, time.Now())
	err = s.Store.PutSpec(platform.KindConfig, platform.NameConfig, config)
	s.Versions.Acknowledge(time.Now())
	return s.version, err
}

// storeDisrupted tells Versions of the disruptions of the store.
func (s *Site) storeDisrupted(disruption objectstore.Disruption) {
	now := time.Now()
	switch disruption {
	case objectstore.Undisturbed:
		s.Versions.StoreUndisturbed(now)
	default:
		s.Versions.StoreDisrupted(now, disruption == objectstore.Outage)
	}
}

// minKnownInstances is the minimum number of instances of a service that each daemon of a large site
// knows. It is the number of daemons that a daemon links to in its zone.
const minKnownInstances = 6

// RestoreStore restores the store from a backup. It then acts as the operator and writes the newest
// configuration again, with an unchanged version.
func (s *Site) RestoreStore(backup *objectstore.Backup) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Store.Restore(backup)
	return s.Store.PutSpec(platform.KindConfig, platform.NameConfig, s.declaredConfig)
}

// AwaitReady waits until every daemon is ready and knows every instance. For a service with more than
// minKnownInstances instances, knowing that many is enough.
func (s *Site) AwaitReady(ctx context.Context) error {
	return s.await(ctx, "ready", func() bool {
		for _, machine := range s.Machines {
			running := machine.Daemon()
			if running == nil || !machine.Ready(ctx) {
				return false
			}
			for _, service := range s.services() {
				if !s.knowsEnough(running, service) {
					return false
				}
			}
		}
		return true
	})
}

func (s *Site) knowsEnough(running Process, service string) bool {
	known, all := running.ReadyEndpoints(service), s.instanceCount(service)
	return known == all || all > minKnownInstances && known >= minKnownInstances
}

func (s *Site) instanceCount(service string) int {
	count := 0
	for _, machine := range s.Machines {
		if machine.Service == service {
			count++
		}
	}
	return count
}

// AwaitInForce waits until every running daemon has a configuration version in force, or a newer one.
func (s *Site) AwaitInForce(ctx context.Context, version uint64) error {
	return s.await(ctx, fmt.Sprintf("version %d in force", version), func() bool {
		for _, machine := range s.Machines {
			if running := machine.Daemon(); running != nil && running.Revision() < version {
				return false
			}
		}
		return true
	})
}

func (s *Site) await(ctx context.Context, condition string, reached func() bool) error {
	for !reached() {
		if !sleep.For(ctx, pollInterval) {
			return fmt.Errorf("timed out waiting for condition: %s", condition)
		}
	}
	return nil
}

// Targets returns the machines that clients send requests from.
func (s *Site) Targets() []client.Target {
	targets := make([]client.Target, 0, len(s.Machines))
	for _, machine := range s.Machines {
		targets = append(targets, client.Target{
			Address: machine.Caller, Service: func() string { return machine.Service },
		})
	}
	return targets
}
