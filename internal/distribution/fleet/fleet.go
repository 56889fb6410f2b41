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

// Observer is notified of what the fleet learns. Its methods are called without a lock
// held and, but for Endpoints and Members, from several goroutines at the same time.
type Observer interface {
	// Endpoints gives all instances known of a service. It is never called
	// twice at the same time.
	Endpoints(service string, endpoints []*lapisv1.Endpoint)
	// Members gives the number of daemons, this one included.
	Members(count int)
	// Offer brings a configuration that another daemon has in force.
	Offer(configuration *lapisv1.Configuration)
	// OfferOrders brings the operators' orders that another daemon follows.
	OfferOrders(set *orders.Set, from string)
	// OfferSuspects brings another daemon's records of suspects.
	OfferSuspects(records []quarantine.Record, from string)
	// Withdraw names an instance beside this daemon that left for good while an earlier
	// incarnation of the daemon ran.
	Withdraw(instance string)
}

// Config configures a Fleet.
type Config struct {
	Self Member
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	Directory   Directory
	// Calls keeps the connections; its Maintained must be set.
	Calls    *callmux.Client
	Observer Observer
	// InForce returns the configuration in force, nil before the first.
	InForce func() *lapisv1.Configuration
	// Orders are the operators' orders in force; nil where operators give none.
	Orders *orders.Current
	// Rollouts receives what others say of roll-outs; nil where operators order none.
	Rollouts RolloutObserver
	// Suspects returns all records of suspects; nil where they are not exchanged.
	Suspects func() []quarantine.Record
	// Allowances keeps limits that daemons share; nil where there are none.
	Allowances Allowances
	// Freshness is how recently configuration and orders were confirmed to be the newest.
	Freshness *configsource.Freshness
	// Withdrawn returns the instances beside this daemon that left for good.
	Withdrawn func() []string
	// Random returns numbers between 0 and 1.
	Random func() float64
	Logger logr.Logger
}

// Fleet is this daemon's knowledge of all others and its links to some of them. It is safe
// for concurrent use; Run may be called once.
type Fleet struct {
	// entryLost is true when this daemon's entry in the directory may be gone.
	entryLost atomic.Bool
	config    Config
	running   sync.WaitGroup
	// reportDue wakes report, reviewLinks maintainLinks, and catchUpDue catchUp.
	reportDue   chan struct{}
	reviewLinks chan struct{}
	catchUpDue  chan struct{}
	// configurationArrived ends catchUp's wait for the answer of the daemon that it asked.
	configurationArrived chan struct{}
	// encoded is the configuration in force as it is sent to others.
	encoded encodedConfiguration

	// mutex protects everything below and the fields of peers and inbound links.
	mutex   sync.Mutex
	peers   map[string]*peer
	inbound map[*inboundLink]bool
	local   []*lapisv1.Endpoint
	// withdrawn are the local instances that left for good.
	withdrawn []string
	// rankings choose further daemons that are linked to, firstRanked of each.
	rankings    []Ranking
	firstRanked int
	// alsoLinked are daemons that are linked to by their names.
	alsoLinked []string
	// services are those reported to the observer before.
	services map[string]bool
}

// New returns a fleet that does nothing until Run is called.
func New(config Config) *Fleet {
	return &Fleet{
		config:    config,
		reportDue: make(chan struct{}, 1), reviewLinks: make(chan struct{}, 1),
		catchUpDue: make(chan struct{}, 1), configurationArrived: make(chan struct{}, 1),
		peers:    map[string]*peer{},
		inbound:  map[*inboundLink]bool{},
		services: map[string]bool{},
	}
}

// Run keeps in touch with the other daemons until ctx ends, and waits for its goroutines.
func (f *Fleet) Run(ctx context.Context) {
	f.running.Go(func() { f.followDirectory(ctx) })
	f.running.Go(func() { f.report(ctx) })
	f.running.Go(func() { f.catchUp(ctx) })
	f.running.Go(func() { f.maintainLinks(ctx) })
	<-ctx.Done()
	f.running.Wait()
}

// revision returns the revision of the configuration in force, 0 before the first.
func (f *Fleet) revision() uint64 { return f.config.InForce().GetRevision() }

// signal wakes the goroutine that waits on channel, without waiting itself.
func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
