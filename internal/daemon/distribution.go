package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// distribution is how a daemon learns the configuration and the instances of other
// machines, and announces its own. There are two: treeDistribution, where daemons
// form a tree below readers of lapisvane's own object API, and platformDistribution, where
// they exchange them over the connections that carry their calls.
type distribution interface {
	// Run serves until ctx ends, on those of the listeners that are the distribution's.
	Run(ctx context.Context, listeners listeners)
	// SetLocalEndpoints states the instances beside the daemon.
	SetLocalEndpoints(endpoints []*lapisv1.Endpoint)
	// EndpointsOf returns the known instances of a service.
	EndpointsOf(service string) []*lapisv1.Endpoint
	// Handlers returns what serves the connections of other daemons, besides those for calls.
	Handlers() map[lapisv1.Hello_Purpose]peer.Handler
	// AcceptedCalls returns what is called with each connection for calls that another
	// daemon opened; nil where such connections carry nothing but calls.
	AcceptedCalls() func(hello *lapisv1.Hello, link callmux.Link) callmux.Control
	// SpreadSuspects sends records of suspects to other daemons; from is the daemon that
	// reported them, empty for this one.
	SpreadSuspects(records []quarantine.Record, from string)
	// Resumed reports that the machine was suspended: what others reported is that much older.
	Resumed()
	// Drain stops as planned: no new work, and the calls in flight finish. It returns the
	// number of calls still in flight when force or StopLimit ended the wait.
	Drain(force <-chan struct{}) (cut int64)
	// RegisterMetrics adds the metrics of this way of distribution.
	RegisterMetrics(registry *prometheus.Registry)
	// Close frees what is kept open, after Run has returned.
	Close()
}

// mode is one of the two ways of distribution, with what the request path needs to know of
// it before it can be built.
type mode struct {
	// incarnation distinguishes this process from earlier ones on the machine.
	incarnation uint64
	envelope    callapi.Envelope
	// timing bounds the connections for calls; maintained is true where the distribution
	// keeps them open, so that calls never dial.
	timing     callmux.Timing
	maintained bool
	// identity decides on API keys.
	identity gateway.Identity
	// quarantineStore outlasts all daemons; nil where there is none.
	quarantineStore quarantine.Store
	// build makes the distribution once Daemon.path is built.
	build func(network wire.Network) distribution
}

// chooseMode is the one place that chooses between the two ways: a platform's, or
// the tree over lapisvane's own object API.
func chooseMode(d *Daemon, config *settings.Daemon, options Options) mode {
	if options.Platform == nil {
		return treeMode(d, config, options)
	}
	return platformMode(d, config, options)
}

// treeMode describes the tree. The incarnation is the time, since the tree's members order
// the processes of a machine by it.
func treeMode(d *Daemon, config *settings.Daemon, options Options) mode {
	return mode{
		incarnation: uint64(time.Now().UnixNano()), envelope: callapi.DefaultEnvelope,
		build: func(network wire.Network) distribution {
			store := objectapi.NewClient(config.Platform.Addresses, config.Platform.Token, options.PlatformDial)
			return newTreeDistribution(d, store, network)
		},
	}
}

// platformMode describes the distribution on a platform. The incarnation is random there: the
// time of day may jump, and no order rests on it.
func platformMode(d *Daemon, config *settings.Daemon, options Options) mode {
	freshness := &configsource.Freshness{WithOrders: orderKindsOf(config).Any()}
	return mode{
		incarnation: rand.Uint64(), envelope: options.Platform.Envelope(),
		timing: platformTiming(config, freshness), maintained: true,
		identity:        identityOf(config, freshness, d.logger, d.registry),
		quarantineStore: options.Platform.Quarantine(),
		build: func(wire.Network) distribution {
			return newPlatformDistribution(d, options.Platform, freshness)
		},
	}
}
