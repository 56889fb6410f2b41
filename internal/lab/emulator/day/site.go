// Package day plays days on an emulated platform: machines with daemons and instances, a
// store, an operator and clients, disturbed at set times. Daemons run in the process that
// plays the day; all connections are on loopback.
//
// It owns everything that a Site starts and ends it with Close. A day follows from its seed: load,
// faults and their times are drawn from it, so that a seed that once failed is played again; what
// the processors do meanwhile is not. It relies on packages client, instance, objectstore and
// promise, and runs the product's daemon with its adapter unchanged.
package day

import (
	"context"
	"fmt"
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

	options Options
	// mutex protects everything below; version is the newest configuration's.
	mutex   sync.Mutex
	version uint64
	// declared is the newest configuration, of the routes and the accounts declared last.
	declared platform.Config
	routes   []Route
	accounts []Account
	// coldCrashes counts the instances that crashed in slow start; restartFailure holds the errors
	// of restarts after a crash.
	coldCrashes    int
	restartFailure error
	closed         bool
}

// Start starts a site whose operator has declared the given routes, and waits
// until all daemons are ready.
func Start(ctx context.Context, options Options, routes []Route) (*Site, error) {
	store, err := objectstore.Start(objectstore.Options{
		Address: "127.0.0.1:0", ReadsPerSecond: options.ReadsPerSecond, WritesPerSecond: options.WritesPerSecond, Seed: options.Seed,
	})
	if err != nil {
		return nil, err
	}
	site := &Site{Store: store, Ledger: promise.NewLedger(options.bounds()), options: options, accounts: options.Accounts}
	if _, err := site.Declare(routes); err != nil {
		return nil, err
	}
	for index, placement := range options.Machines {
		machine := &Machine{
			Name: fmt.Sprintf("machine-%s-%d", placement.Zone, index+1), Zone: placement.Zone, Service: placement.Service, site: site, host: newHost(),
		}
		site.Machines = append(site.Machines, machine)
		if machine.store, err = store.ListenAlso("127.0.0.1:0"); err != nil {
			return site, err
		}
		if err := machine.start(); err != nil {
			return site, err
		}
		if err := machine.startInstance(machine.Service, "", "", warm); err != nil {
			return site, err
		}
	}
	return site, site.AwaitReady(ctx)
}

// Close ends everything at once.
func (s *Site) Close() {
	s.mutex.Lock()
	s.closed = true
	s.mutex.Unlock()
	for _, machine := range s.Machines {
		if process := machine.takeProcess(); process != nil {
			process.Kill()
			<-process.Ended()
		}
		machine.endInstance()
	}
	s.Store.Close()
}

// Contact returns the time in which all daemons know what one of them does.
func (s *Site) Contact() time.Duration { return s.options.Contact }

// FailStoreFor puts faults of the store in force for some machines, while it
// serves the others and the operator.
func (s *Site) FailStoreFor(faults objectstore.Faults, machines ...*Machine) {
	faults.Addresses = map[string]bool{}
	for _, machine := range machines {
		faults.Addresses[machine.store] = true
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

// Declare writes a configuration as the operator does and returns its version.
// Versions climb in uneven steps.
func (s *Site) Declare(routes []Route) (version uint64, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.routes = routes
	return s.declare()
}

// declare writes the newest configuration; the caller holds mutex.
func (s *Site) declare() (version uint64, err error) {
	s.version += 1 + s.version%3
	config := Config(s.version, s.services(), s.routes)
	if s.options.ColdRate > 0 {
		addColdRates(&config, s.options)
	}
	if s.accounts != nil {
		addAccounts(&config, s.routes, s.accounts)
	}
	s.declared = config
	return s.version, s.Store.PutSpec(platform.KindConfig, platform.NameConfig, config)
}

// knownToEach is the number of instances of a service that each daemon of a large site knows at
// least: it links to so many daemons in its zone.
const knownToEach = 6

// ReturnStore makes the store come back from a copy, and writes again what the operator had written:
// the newest configuration, under the version that it had.
func (s *Site) ReturnStore(held *objectstore.Copy) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.Store.ComeBack(held)
	return s.Store.PutSpec(platform.KindConfig, platform.NameConfig, s.declared)
}

// AwaitReady waits until every daemon is ready and knows every instance; where there are more than
// knownToEach of a service, so many of them.
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
	known, all := running.ReadyEndpoints(service), s.count(service)
	return known == all || all > knownToEach && known >= knownToEach
}

func (s *Site) count(service string) int {
	count := 0
	for _, machine := range s.Machines {
		if machine.Service == service {
			count++
		}
	}
	return count
}

// AwaitInForce waits until every running daemon has a version in force.
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

func (s *Site) await(ctx context.Context, what string, reached func() bool) error {
	for !reached() {
		if !sleep.For(ctx, pollInterval) {
			return fmt.Errorf("not reached in time: %s", what)
		}
	}
	return nil
}

// Targets returns the machines that clients' requests start on.
func (s *Site) Targets() []client.Target {
	targets := make([]client.Target, 0, len(s.Machines))
	for _, machine := range s.Machines {
		targets = append(targets, client.Target{
			Address: machine.Caller, Service: func() string { return machine.Service },
		})
	}
	return targets
}
