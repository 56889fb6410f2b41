// Package testsite starts a small site for tests: stand-ins for the object API and back ends,
// real daemons in the test's process, and operators.
//
// All servers of a Site listen on loopback and stop with Site.Close. Only tests use the package,
// except for its certificates, which lapislab peer-keys writes.
package testsite

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/lab/backendstub"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/operators/ctl"
	"github.com/lapisvane/lapisvane/internal/operators/opapi"
	"github.com/lapisvane/lapisvane/internal/operators/operator"
	"github.com/lapisvane/lapisvane/internal/operators/query"
)

// Loopback is a listen address whose port the system chooses.
const Loopback = "127.0.0.1:0"

// Token and name of the operator of a Site.
const (
	AdminToken = "lab-admin-token"
	AdminName  = "lab-admin"
)

// Site is a platform stand-in with daemons and back ends, all in this process.
// It is not safe for concurrent changes.
type Site struct {
	Platform *objectapistub.Server
	Store    *objectapi.Client
	Ledger   *backendstub.Ledger
	Daemons  map[string]*Member
	Backends map[string]*backendstub.Server
	logger   logr.Logger
	profile  Profile
}

// Member is one daemon of a Site.
type Member struct {
	Daemon   *daemon.Daemon
	Settings *settings.Daemon
	stop     chan struct{}
	force    chan struct{}
	done     chan struct{}
	once     sync.Once
	// CutCalls is the number of calls that the daemon cut when it ended, valid after Stop or Kill.
	CutCalls int64
}

// NewSite starts the platform stand-in of a site without daemons and back ends.
func NewSite(profile Profile, logger logr.Logger) (*Site, error) {
	daemon.QuietHTTPLibrary()
	stub, err := objectapistub.Start(objectapistub.Options{Address: Loopback, MachineLag: profile.MachineLag, Seed: profile.Seed})
	if err != nil {
		return nil, err
	}
	site := &Site{
		Platform: stub, Store: objectapi.NewClient([]string{stub.Address()}, "", nil), Ledger: &backendstub.Ledger{},
		Daemons: map[string]*Member{}, Backends: map[string]*backendstub.Server{}, logger: logger, profile: profile,
	}
	operators, _ := json.Marshal([]operator.Operator{
		{Name: AdminName, Group: operator.AdminGroup, TokenSHA256: operator.HashToken(AdminToken)},
	})
	_, err = site.Store.Put(context.Background(), operator.TokensKey, operators, objectapi.VersionAny)
	return site, err
}

// AddBackend starts a back-end stand-in with the limits of the profile.
func (s *Site) AddBackend(service, instance string) (*backendstub.Server, error) {
	backend, err := backendstub.Start(backendstub.Options{
		Address: Loopback, Instance: instance, Slots: s.profile.Slots, ConnectionLimit: s.profile.Connections,
		ConnectionCost: s.profile.ConnectionCost, Ledger: s.Ledger, Seed: s.profile.Seed,
		Behaviour: backendstub.Behaviour{ServiceTime: s.profile.ServiceTime},
	})
	if err == nil {
		s.Backends[service+"/"+instance] = backend
	}
	return backend, err
}

// StartDaemon runs a daemon in zone that serves the given back ends
// ("service/instance") and holds the given services.
func (s *Site) StartDaemon(node, zone string, services []string, backends ...string) (*Member, error) {
	config := s.baseSettings(node, zone, backends...)
	config.Services = services
	return s.start(config)
}

// StartDaemonBeside runs a daemon in zone that holds all services and serves back ends that the site does not
// know, such as those of a single test.
func (s *Site) StartDaemonBeside(node, zone string, backends ...settings.Backend) (*Member, error) {
	config := s.baseSettings(node, zone)
	config.Services = []string{"*"}
	config.Backends = backends
	return s.start(config)
}

// StartTLSDaemon runs a daemon that also accepts callers over HTTPS.
func (s *Site) StartTLSDaemon(node, zone string) (*Member, error) {
	config := s.baseSettings(node, zone)
	config.Services = []string{"*"}
	config.CallerTLSAddress = Loopback
	return s.start(config)
}

// StartMTLSDaemon runs a daemon that uses mutual TLS with other daemons.
func (s *Site) StartMTLSDaemon(node, zone string, keys settings.PeerTLS, backends ...string) (*Member, error) {
	config := s.baseSettings(node, zone, backends...)
	config.Services = []string{"*"}
	config.PeerTLS = keys
	return s.start(config)
}

func (s *Site) baseSettings(node, zone string, backends ...string) *settings.Daemon {
	config := settings.DefaultDaemon()
	config.Node, config.Zone, config.Region = node, zone, s.profile.Name
	config.PeerAddress, config.CallerAddress, config.OperatorAddress = Loopback, Loopback, Loopback
	config.Platform.Addresses = []string{s.Platform.Address()}
	config.Profile = s.profile.Distribution
	config.Distribution = json.RawMessage(`{"first_source_ask": "100ms"}`)
	config.StopLimit = s.profile.StopLimit
	for _, name := range backends {
		service, instance, _ := strings.Cut(name, "/")
		config.Backends = append(config.Backends, settings.Backend{Service: service, Instance: instance, Address: s.Backends[name].Address()})
	}
	return &config
}

func (s *Site) start(config *settings.Daemon) (*Member, error) {
	if err := config.Check(); err != nil {
		return nil, err
	}
	running, err := daemon.New(config, daemon.Options{Logger: s.logger, SimulateKill: true})
	if err != nil {
		return nil, err
	}
	member := &Member{
		Daemon: running, Settings: config,
		stop: make(chan struct{}), force: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(member.done)
		member.CutCalls = running.Run(member.stop, member.force)
	}()
	s.Platform.SetMachine(objectapi.Machine{
		Node: config.Node, Address: running.Addresses().Peer, Zone: config.Zone, Region: config.Region, State: objectapi.MachineLive,
	})
	s.Daemons[config.Node] = member
	return member, nil
}

// Stop makes a planned stop of the daemon and waits for its end.
func (m *Member) Stop() {
	m.once.Do(func() { close(m.stop) })
	<-m.done
}

// Kill ends the daemon without waiting for calls in flight.
func (m *Member) Kill() {
	m.once.Do(func() { close(m.stop) })
	select {
	case <-m.force:
	default:
		close(m.force)
	}
	<-m.done
}

// Close ends all daemons, back ends and the platform stand-in.
func (s *Site) Close() {
	var closing sync.WaitGroup
	for _, member := range s.Daemons {
		closing.Go(member.Kill)
	}
	closing.Wait()
	for _, backend := range s.Backends {
		backend.Close()
	}
	s.Store.Close()
	s.Platform.Close()
}

// Command runs one command of the operator language at a daemon.
func (s *Site) Command(ctx context.Context, node, line string) (*opapi.Table, error) {
	command, err := query.Parse(line)
	if err != nil {
		return nil, err
	}
	return ctl.NewClient(s.Daemons[node].Daemon.Addresses().Operator, AdminToken).Run(ctx, command)
}

// Accept writes changes to the change log as the next revision, without the operator interface.
func (s *Site) Accept(ctx context.Context, operation string, file meshconfig.File) (uint64, error) {
	changes, err := file.Changes()
	if err != nil {
		return 0, err
	}
	log := changelog.New(s.Store, time.Now)
	state, err := log.Refresh(ctx)
	if err != nil {
		return 0, err
	}
	return log.Accept(ctx, &lapisv1.Proposal{
		OperationId: operation, Author: AdminName, BaseRevision: state.Revision, Changes: changes,
	})
}

// WaitInForce waits until revision or a later one is in force at every daemon.
func (s *Site) WaitInForce(ctx context.Context, revision uint64) error {
	for {
		lagging := ""
		for node, member := range s.Daemons {
			if member.Daemon.Info().InForce < revision {
				lagging = node
			}
		}
		if lagging == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s does not have revision %d in force: %w", lagging, revision, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// WaitEndpoints waits until every daemon knows at least count ready instances of
// service.
func (s *Site) WaitEndpoints(ctx context.Context, service string, count int) error {
	for {
		complete := true
		for _, member := range s.Daemons {
			if member.Daemon.ReadyEndpoints(service) < count {
				complete = false
			}
		}
		if complete {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("some daemons know fewer than %d ready instances of %s: %w", count, service, ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}
