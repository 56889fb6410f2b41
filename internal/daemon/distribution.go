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
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// distribution provides a daemon with the configuration and the instances of other machines, and
// announces its own instances. There are two implementations: in treeDistribution, daemons form a tree
// below readers of lapisvane's own object API; in platformDistribution, daemons exchange the data over
// the connections that carry their calls.
type distribution interface {
	// Run runs the distribution until ctx ends and serves its own subset of the listeners.
	Run(ctx context.Context, listeners listeners)
	// AnnounceEndpoints announces the local instances in their present state. Concurrent calls follow each
	// other, so that no announcement replaces a later state.
	AnnounceEndpoints()
	// EndpointsOf returns the known instances of a service.
	EndpointsOf(service string) []*lapisv1.Endpoint
	// Handlers returns the handlers for connections from other daemons, except those for calls.
	Handlers() map[lapisv1.Hello_Purpose]peer.Handler
	// AcceptedCalls returns the function that is called for each accepted connection for calls. Its
	// result handles the frames that belong to no call (callmux.Server.Accepted). It returns nil if
	// such connections carry only calls.
	AcceptedCalls() func(hello *lapisv1.Hello, link callmux.Link) callmux.Control
	// SpreadSuspects sends records of suspected requests to other daemons. from is the daemon that
	// reported them, or empty for this one.
	SpreadSuspects(records []quarantine.Record, from string)
	// Resumed is called after a suspension of the machine, during which the state received from other
	// daemons has aged.
	Resumed()
	// Drain refuses new work and waits for the calls in flight. It returns the number of calls that
	// were cut because force was closed or StopLimit expired.
	Drain(force <-chan struct{}) (cut int64)
	// RegisterMetrics adds the metrics of this distribution mode to registry.
	RegisterMetrics(registry *prometheus.Registry)
	// Close releases resources after Run has returned.
	Close()
}

// mode describes one of the two distribution modes, including the parameters that the request path
// needs before the distribution is built.
type mode struct {
	// incarnation distinguishes this process from earlier ones on the same machine.
	incarnation uint64
	envelope    callapi.Envelope
	// timing applies to the connections for calls. maintained is true if the distribution keeps them
	// open, so that calls never dial.
	timing     callmux.Timing
	maintained bool
	// identity is used by the gateway to decide on API keys.
	identity gateway.Identity
	// quarantineStore persists quarantine records beyond the lifetime of all daemons; it may be nil.
	quarantineStore quarantine.Store
	// departures keeps the departures of instances beyond the lifetime of all daemons; it may be nil.
	departures departure.Store
	// build creates the distribution. It is called after Daemon.path is set.
	build func(network wire.Network) distribution
}

// chooseMode selects the distribution mode: platform if Options.Platform is set, otherwise the tree
// over lapisvane's own object API. Nothing else makes this choice.
func chooseMode(d *Daemon, config *settings.Daemon, options Options) mode {
	if options.Platform == nil {
		return treeMode(d, config, options)
	}
	return platformMode(d, config, options)
}

// treeMode returns the mode of the distribution tree. The incarnation is the current time, since tree
// members order the processes of a machine by it.
func treeMode(d *Daemon, config *settings.Daemon, options Options) mode {
	return mode{
		incarnation: uint64(time.Now().UnixNano()), envelope: callapi.DefaultEnvelope,
		build: func(network wire.Network) distribution {
			store := objectapi.NewClient(config.Platform.Addresses, config.Platform.Token, options.PlatformDial)
			return newTreeDistribution(d, store, network)
		},
	}
}

// platformMode returns the mode of the distribution on a platform. The incarnation is random, since
// the time of day may jump and processes are not ordered by it.
func platformMode(d *Daemon, config *settings.Daemon, options Options) mode {
	freshness := &configsource.Freshness{WithOrders: orderKindsOf(config).Any()}
	return mode{
		incarnation: rand.Uint64(), envelope: options.Platform.Envelope(),
		timing: platformTiming(config, freshness), maintained: true,
		identity:        identityOf(config, freshness, d.logger, d.registry),
		quarantineStore: options.Platform.Quarantine(), departures: options.Platform.Departures(config.Node),
		build: func(wire.Network) distribution {
			return newPlatformDistribution(d, options.Platform, freshness)
		},
	}
}
