package fleet

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Observer receives what the fleet learns from other daemons. Its methods are called without locks
// held. All except Endpoints and Members may be called concurrently.
type Observer interface {
	// Endpoints passes all known instances of a service. It is not called concurrently.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
	// Members passes the number of daemons, including this one.
	Members(count int)
	// OfferConfiguration passes a configuration that another daemon has in force; from is its name.
	OfferConfiguration(configuration *lapisv1.Configuration, from string)
	// OfferOrders passes the operators' orders that another daemon follows.
	OfferOrders(set *orders.Set, from string)
	// OfferSuspects passes another daemon's suspect records.
	OfferSuspects(records []quarantine.Record, from string)
	// Withdraw names an instance on this machine that left for good during an earlier incarnation
	// of this daemon; from is the name of the daemon that reports it.
	Withdraw(instance, from string)
}

type Config struct {
	Self Member
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	Directory   Directory
	// Calls manages the connections. Its Maintained field must be set.
	Calls    *callmux.Client
	Observer Observer
	// InForce returns the configuration in force, nil before the first one.
	InForce func() *lapisv1.Configuration
	// Orders holds the operators' orders in force. It is nil if operators give no orders here.
	Orders *orders.Current
	// Rollouts receives rollout messages of other daemons. It is nil if operators order no rollouts
	// here.
	Rollouts RolloutObserver
	// Suspects returns all suspect records. It is nil if they are not exchanged.
	Suspects func() []quarantine.Record
	// Allowances enforces rate limits that daemons share. It is nil if there are none.
	Allowances Allowances
	// Departures knows the departures of this daemon's instances. It is nil if none are announced.
	Departures DepartureHistory
	// Freshness tracks when configuration and orders were last confirmed as the newest.
	Freshness *configsource.Freshness
	// Withdrawn returns the instances on this machine that left for good.
	Withdrawn func() []string
	// LinkMegabits is the rate of the machine's network link in Mbit/s, 0 if unknown.
	LinkMegabits float64
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger
}

// Fleet holds the known daemons and the links to some of them. It is safe for concurrent use. Run
// may be called once.
type Fleet struct {
	// entryLost is true if this daemon's directory entry may have been lost.
	entryLost atomic.Bool
	// fleetKnown is true once the directory, or a daemon that knows the fleet, has named the others.
	fleetKnown atomic.Bool
	config     Config
	running    sync.WaitGroup
	// reportDue wakes report, reviewLinks wakes maintainLinks, and catchUpDue wakes catchUp.
	reportDue   chan struct{}
	reviewLinks chan struct{}
	catchUpDue  chan struct{}
	// configurationArrived ends catchUp's wait for an answer.
	configurationArrived chan struct{}
	// encoded caches the encoded configuration in force.
	encoded             encodedConfiguration
	configurationSender *configurationSender

	// mutex protects the fields below and the fields of peers and inbound links.
	mutex   sync.Mutex
	peers   map[string]*peer
	inbound map[*inboundLink]bool
	local   []*lapisv1.Endpoint
	// withdrawn are the local instances that left for good.
	withdrawn []string
	// rankings rank the daemons. In addition to the daemons needed for calls, this daemon links to
	// the first linksPerRanking reachable daemons of each ranking.
	rankings        []Ranking
	linksPerRanking int
	// additionalNodes are the names of other daemons to link to, whatever their rank.
	additionalNodes []string
	// services are the services reported to the observer so far.
	services map[string]bool
}

// New returns a fleet that does nothing until Run is called.
func New(config Config) *Fleet {
	return &Fleet{
		config:    config,
		reportDue: make(chan struct{}, 1), reviewLinks: make(chan struct{}, 1),
		catchUpDue: make(chan struct{}, 1), configurationArrived: make(chan struct{}, 1),
		configurationSender: newConfigurationSender(),
		peers:               map[string]*peer{},
		inbound:             map[*inboundLink]bool{},
		services:            map[string]bool{},
	}
}

// Run maintains the links to other daemons until ctx ends, and waits for its goroutines.
func (f *Fleet) Run(ctx context.Context) {
	f.running.Go(func() { f.followDirectory(ctx) })
	f.running.Go(func() { f.report(ctx) })
	f.running.Go(func() { f.catchUp(ctx) })
	f.running.Go(func() { f.sendConfigurations(ctx) })
	f.running.Go(func() { f.maintainLinks(ctx) })
	f.running.Go(func() { f.exchangeMembers(ctx) })
	<-ctx.Done()
	f.running.Wait()
}

// revision returns the revision of the configuration in force, 0 before the first one.
func (f *Fleet) revision() uint64 { return f.config.InForce().GetRevision() }

// signal wakes the goroutine that waits on channel, without blocking.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
