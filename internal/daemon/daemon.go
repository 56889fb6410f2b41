// Package daemon implements the lapisvaned process. New reads the settings, opens the listeners and
// assembles the components: the request path (requestpath.go), one of two distribution modes
// (distribution.go) and the metrics.
//
// The package owns the listening sockets, the settings in force and the startup and shutdown order.
// Decisions are made by the packages of the request path and of the distribution, and by the
// platform's adapter (platformapi) if there is one.
package daemon

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/metrics"
	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/daemon/startup"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/tlssetup"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// idleLinkLifetime is how long an unused connection to another daemon is kept open. It must be above
// the interval between calls of a low-traffic caller, otherwise each of its calls waits for a dial.
const idleLinkLifetime = time.Minute

// Daemon is one lapisvaned instance. Its methods are safe for concurrent use; Run must be called only
// once.
type Daemon struct {
	// settings holds the settings in force, which a reload replaces.
	settings atomic.Pointer[settings.Daemon]
	logger   logr.Logger
	registry *prometheus.Registry
	// counters counts the bytes of control connections, callCounters those of connections for calls.
	counters     *wire.Counters
	callCounters *wire.Counters
	incarnation  uint64

	listeners    listeners
	path         *requestPath
	distribution distribution

	running sync.WaitGroup
}

// Options holds the dependencies of a Daemon besides its settings.
type Options struct {
	Logger logr.Logger
	// Network overrides the network between daemons. If nil, the settings determine it.
	Network wire.Network
	// Platform is the adapter to the machine's platform, or nil to use lapisvane's own object API.
	Platform platformapi.Platform
	// SimulateKill makes the force channel of Run simulate the kill of a process: calls in flight are
	// cut without an answer to their callers. It is for programs that run several daemons in one process,
	// in which no panic is contained.
	SimulateKill bool
	// PlatformDial overrides the dial function for the platform; nil means plain TCP.
	PlatformDial objectapi.DialFunc
	// Start repeats the steps that fail for a reason that may pass; nil makes one attempt of each.
	Start *startup.Waiter
}

// New assembles a daemon and opens its listeners. Errors: *startup.Error, whose text names the
// setting at fault, and those of startup.Waiter.Do.
func New(config *settings.Daemon, options Options) (*Daemon, error) {
	network, err := networkOf(config, options)
	if err != nil {
		return nil, err
	}
	d := &Daemon{
		logger:   options.Logger.WithValues("node", config.Node),
		registry: prometheus.NewRegistry(), counters: &wire.Counters{}, callCounters: &wire.Counters{},
	}
	d.settings.Store(config)
	err = options.Start.Do(func() (err error) {
		d.listeners, err = listen(network, config, d.logger)
		return err
	})
	if err != nil {
		return nil, err
	}
	d.listeners.metrics = d.openMetrics(config.MetricsAddress)
	mode := chooseMode(d, config, options)
	d.incarnation = mode.incarnation
	d.path = newRequestPath(d, network, mode)
	d.path.killedByForce = options.SimulateKill
	d.distribution = mode.build(network)
	metrics.Register(d.registry, metrics.Sources{
		Counters: d.counters, Origin: d.path.origin, Calls: d.path.calls, Suspects: d.path.suspects.Sizes,
	})
	d.distribution.RegisterMetrics(d.registry)
	return d, nil
}

// networkOf returns the network between daemons: plain TCP, or TLS if the settings name a certificate.
// Files that are not complete yet are waited for.
func networkOf(config *settings.Daemon, options Options) (network wire.Network, err error) {
	if options.Network != nil {
		return options.Network, nil
	}
	keys := config.PeerTLS
	files := startup.NewFiles(keys.Certificate, keys.Key, keys.Authority)
	err = options.Start.Do(func() (err error) {
		network, err = tlssetup.Network(keys.Certificate, keys.Key, keys.Authority)
		return files.Failed(startup.StepPeerTLS, keys.Certificate, err)
	})
	return network, err
}

// Run serves until stop is closed, then drains (distribution.Drain). Closing force, or the expiry of
// StopLimit, cuts the calls still in flight, and their callers receive an answer that states it. Run
// returns the number of calls cut, after all serving has stopped.
func (d *Daemon) Run(stop, force <-chan struct{}) (cut int64) {
	if !d.path.killedByForce {
		defer containment.Enable(d.reportPanic)()
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.start(ctx)
	d.logStart()
	select {
	case <-stop:
	case <-force:
	}
	d.logger.Info("daemon.stopping", "in_flight", d.InFlight())
	cut = d.distribution.Drain(force)
	cancel()
	d.listeners.close()
	d.path.calls.Close()
	d.path.gateway.CancelCalls()
	d.running.Wait()
	d.distribution.Close()
	d.path.logStopped(cut)
	d.path.gateway.Close()
	return cut
}

// reportPanic logs the first contained panic of a kind of work.
func (d *Daemon) reportPanic(work string, cause any, stack []byte) {
	d.logger.Info("panic.contained", "work", work, "cause", fmt.Sprint(cause), "stack", string(stack))
}

// start starts all components, which run until ctx ends.
func (d *Daemon) start(ctx context.Context) {
	server := &peer.Server{Node: d.settings.Load().Node, Logger: d.logger, Counters: d.counters, Handlers: d.handlers()}
	d.serve(d.listeners.peer, func(listener net.Listener) { server.Serve(ctx, listener) })
	d.running.Go(func() { d.distribution.Run(ctx, d.listeners) })
	d.running.Go(func() { d.path.origin.Run(ctx) })
	d.running.Go(func() { d.closeIdleLinks(ctx) })
	d.running.Go(func() { watchPauses(ctx, d.logger, d.distribution.Resumed) })
	gateway := d.path.gateway
	d.serve(d.listeners.caller, func(listener net.Listener) { gateway.Serve(ctx, listener, nil) })
	d.serve(d.listeners.callerTLS, func(listener net.Listener) { gateway.Serve(ctx, listener, gateway.TLSConfig()) })
	d.running.Go(func() { d.serveMetrics(ctx) })
}

// serve runs a server on a listener in the background. It does nothing if the listener is not
// configured (nil).
func (d *Daemon) serve(listener net.Listener, run func(net.Listener)) {
	if listener != nil {
		d.running.Go(func() { run(listener) })
	}
}

// handlers returns the handlers for connections from other daemons, by purpose.
func (d *Daemon) handlers() map[lapisv1.Hello_Purpose]peer.Handler {
	calls := d.path.callServer
	calls.Accepted = d.distribution.AcceptedCalls()
	handlers := d.distribution.Handlers()
	handlers[lapisv1.Hello_PURPOSE_CALLS] = calls.Serve
	return handlers
}

// closeIdleLinks closes connections to other daemons that were unused for idleLinkLifetime, until ctx
// ends.
func (d *Daemon) closeIdleLinks(ctx context.Context) {
	ticker := time.NewTicker(idleLinkLifetime / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.path.calls.CloseIdle(now.Add(-idleLinkLifetime))
		}
	}
}

// logStart logs the build version and the settings needed to interpret later log lines.
func (d *Daemon) logStart() {
	config := d.settings.Load()
	addresses := d.Addresses()
	d.logger.Info("daemon.started", "build", buildVersion(), "zone", config.Zone, "service", config.Service,
		"peer", addresses.Peer, "caller", addresses.Caller, "metrics", addresses.Metrics, "incarnation", d.incarnation,
		"platform", config.Platform.Form, "retry_fraction", config.Retries.Fraction, "retry_burst", config.Retries.Burst, "link_mbit", config.LinkMegabits,
		"stop_limit", config.StopLimit.Get())
}

// Addresses returns the daemon's listen addresses, with the ports chosen by the system.
func (d *Daemon) Addresses() Addresses { return d.listeners.addresses() }

// Info returns the state of the daemon in the distribution tree, or the zero Info on a platform, where
// there is no tree.
func (d *Daemon) Info() tree.Info {
	if part, inTree := d.distribution.(*treeDistribution); inTree {
		return part.node.Info()
	}
	return tree.Info{}
}

// Revision returns the configuration revision in force, or 0 if there is none yet.
func (d *Daemon) Revision() uint64 { return d.path.revision() }

// Evacuated reports whether an operators' order to evacuate a zone is in force.
func (d *Daemon) Evacuated(zone string) bool { return d.path.orders.Evacuated(zone) }

// InFlight returns the number of unfinished calls, from callers and at local instances.
func (d *Daemon) InFlight() int64 { return d.path.inFlight() }

// Quarantined returns the number of quarantined requests, counted by fingerprint.
func (d *Daemon) Quarantined() int {
	_, quarantined := d.path.suspects.Sizes()
	return quarantined
}

// ReadyEndpoints returns the number of ready instances of a service that the daemon knows.
func (d *Daemon) ReadyEndpoints(service string) int {
	return countReady(d.distribution.EndpointsOf(service))
}

// countReady returns the number of endpoints that are ready.
func countReady(endpoints []*lapisv1.Endpoint) int {
	ready := 0
	for _, endpoint := range endpoints {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			ready++
		}
	}
	return ready
}
