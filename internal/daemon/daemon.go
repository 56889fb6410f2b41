// Package daemon puts the parts of lapisvaned together: its place in the
// distribution, the request path, the operators' interface and the metrics.
package daemon

import (
	"context"
	"math/rand/v2"
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
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/operators/operator"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/tlssetup"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Times of the daemon.
const (
	// leaveNotice is how long a stopping daemon goes on answering new calls
	// with a refusal, while the news of its leaving spreads.
	leaveNotice  = 500 * time.Millisecond
	inFlightPoll = 20 * time.Millisecond
	// cutAnswers bounds how long the answers of cut calls may take to be
	// written.
	cutAnswers       = 300 * time.Millisecond
	idleLinkLifetime = time.Minute
)

// Daemon is one running lapisvaned.
type Daemon struct {
	// settings are those in force; a reload replaces them.
	settings atomic.Pointer[settings.Daemon]
	logger   logr.Logger
	registry *prometheus.Registry
	counters *wire.Counters
	// callCounters count the calls' traffic apart from that of control.
	callCounters *wire.Counters
	network      wire.Network
	store        *objectapi.Client
	snapshots    *snapshot.Store
	balancer     *balance.Balancer
	origin       *origin.Origin
	calls        *callmux.Client
	gateway      *gateway.Gateway
	suspects     *suspects
	node         distribution
	incarnation  uint64
	// tree is set where daemons form a distribution tree, direct on a platform.
	tree   *tree.Node
	direct *direct

	listeners listeners
	running   sync.WaitGroup
}

// listeners are the open listening sockets; those not configured are nil.
type listeners struct {
	peer, caller, callerTLS, operator, metrics, instances, readiness net.Listener
}

// Options are what a Daemon needs besides its settings.
type Options struct {
	Logger logr.Logger
	// Network overrides the network between daemons; nil for the settings'.
	Network wire.Network
	// Platform connects the daemon with the platform that its machine belongs
	// to; nil where that has lapisvane's own object API.
	Platform platformapi.Platform
	// PlatformDial overrides how the platform is dialed; nil for plain TCP.
	PlatformDial objectapi.DialFunc
}

// New prepares a daemon and opens its listeners. Errors name the setting.
func New(config *settings.Daemon, options Options) (*Daemon, error) {
	network := options.Network
	if network == nil {
		var err error
		network, err = tlssetup.Network(config.PeerTLS.Certificate, config.PeerTLS.Key, config.PeerTLS.Authority)
		if err != nil {
			return nil, err
		}
	}
	d := &Daemon{
		logger:   options.Logger.WithValues("node", config.Node),
		registry: prometheus.NewRegistry(), counters: &wire.Counters{}, callCounters: &wire.Counters{},
		network: network, snapshots: &snapshot.Store{},
		balancer:    balance.New(config.Node, config.Zone, config.Region, time.Now),
		incarnation: uint64(time.Now().UnixNano()),
	}
	envelope := callapi.DefaultEnvelope
	if options.Platform != nil {
		envelope = options.Platform.Envelope()
		// The time of day may jump; on a platform no order rests on it.
		d.incarnation = rand.Uint64()
	}
	d.settings.Store(config)
	if err := d.listen(); err != nil {
		d.listeners.close()
		return nil, err
	}
	d.buildRequestPath(envelope)
	if options.Platform != nil {
		d.buildDirect(options.Platform)
	} else {
		d.store = objectapi.NewClient(config.Platform.Addresses, config.Platform.Token, options.PlatformDial)
		d.buildNode()
	}
	metrics.Register(d.registry, metrics.Sources{
		Node: d.tree, Counters: d.counters, CallCounters: d.callCounters,
		Store: d.store, Origin: d.origin, Calls: d.calls, Suspects: d.suspects.Sizes,
	})
	return d, nil
}

func (d *Daemon) listen() error {
	var err error
	if d.listeners.peer, err = d.network.Listen(d.settings.Load().PeerAddress); err != nil {
		return err
	}
	plain := []struct {
		key, address string
		listener     *net.Listener
	}{
		{"caller_address", d.settings.Load().CallerAddress, &d.listeners.caller},
		{"caller_tls_address", d.settings.Load().CallerTLSAddress, &d.listeners.callerTLS},
		{"operator_address", d.settings.Load().OperatorAddress, &d.listeners.operator},
		{"metrics_address", d.settings.Load().MetricsAddress, &d.listeners.metrics},
		{"instance_address", d.settings.Load().InstanceAddress, &d.listeners.instances},
		{"readiness_address", d.settings.Load().ReadinessAddress, &d.listeners.readiness},
	}
	for _, entry := range plain {
		if entry.address == "" {
			continue
		}
		if *entry.listener, err = net.Listen("tcp", entry.address); err != nil {
			return result.Wrap(result.SettingsBadAddress, err, "%s", entry.key)
		}
	}
	return nil
}

func (l *listeners) close() {
	for _, listener := range []net.Listener{l.peer, l.caller, l.callerTLS, l.operator, l.metrics, l.instances, l.readiness} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (d *Daemon) buildRequestPath(envelope callapi.Envelope) {
	backends := make([]origin.BackendConfig, 0, len(d.settings.Load().Backends))
	for _, backend := range d.settings.Load().Backends {
		backends = append(backends, origin.BackendConfig{Service: backend.Service, Instance: backend.Instance, Address: backend.Address})
	}
	decisions := decision.New(d.logger, d.settings.Load().DecisionLinesPerSecond, time.Now)
	d.suspects = newSuspects(d.logger)
	d.origin = origin.New(origin.Config{
		Incarnation: d.incarnation, Backends: backends, Crashes: d.suspects,
		QueueLength: d.settings.Load().Calls.QueueLength, QueueTime: d.settings.Load().Calls.QueueTime.Get(),
		Envelope: envelope, Changed: d.announce, Decisions: decisions, Logger: d.logger, Region: d.settings.Load().Region,
		Cold: origin.ColdBound{Overshoot: d.settings.Load().ColdStarts.Overshoot, Slack: d.settings.Load().ColdStarts.Slack},
	})
	d.calls = &callmux.Client{
		Network: d.network, Counters: d.callCounters,
		Hello: &lapisv1.Hello{
			ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS,
			Node: d.settings.Load().Node, Incarnation: d.incarnation, Zone: d.settings.Load().Zone, Region: d.settings.Load().Region,
			Address: d.listeners.peer.Addr().String(), Service: d.settings.Load().Service,
		},
	}
	d.gateway = gateway.New(gateway.Config{
		Node: d.settings.Load().Node, Incarnation: d.incarnation, Snapshots: d.snapshots, Balancer: d.balancer,
		Local: d.origin, Remote: d.calls, DefaultDeadline: d.settings.Load().Calls.DefaultDeadline.Get(),
		Envelope: envelope, CallerService: d.callerService, Retries: retryLimits(d.settings.Load().Retries),
		Decisions: decisions, Registry: d.registry, RepeatShare: d.origin.RepeatShare, Evacuated: d.evacuated,
		SentAhead: sentAhead(d.settings.Load().SentAhead), Suspicions: d.suspects,
	})
}

func sentAhead(bounds settings.SentAhead) pipeline.Limits {
	return pipeline.Limits{
		RequestsPerConnection: bounds.RequestsPerConnection, RequestsAhead: bounds.Requests,
		BytesPerConnection: bounds.BytesPerConnection, Bytes: bounds.Bytes,
	}
}

func retryLimits(retries settings.Retries) gateway.RetryLimits {
	if retries == (settings.Retries{}) {
		return gateway.DefaultRetryLimits
	}
	return gateway.RetryLimits{Fraction: retries.Fraction, Burst: retries.Burst, Shared: true}
}

// callerService returns the service that runs on this machine.
func (d *Daemon) callerService() string {
	if d.settings.Load().Service != "" {
		return d.settings.Load().Service
	}
	return d.origin.LocalService()
}

func (d *Daemon) buildNode() {
	services := append([]string(nil), d.settings.Load().Services...)
	for _, backend := range d.settings.Load().Backends {
		services = append(services, backend.Service)
	}
	d.tree = tree.New(tree.Config{
		Node: d.settings.Load().Node, Incarnation: d.incarnation, Zone: d.settings.Load().Zone, Region: d.settings.Load().Region,
		Address: d.listeners.peer.Addr().String(), Seeds: d.settings.Load().Seeds,
		Interest: holdings.NewInterest(services...), Tunables: d.settings.Load().Tunables(),
		Network: d.network, Store: d.store, Counters: d.counters,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Logger: d.logger, Observer: d, NoSeat: d.settings.Load().NoSeat,
	})
	d.node = d.tree
}

// announce tells the distribution about the instances beside the daemon.
func (d *Daemon) announce() { d.node.SetLocalEndpoints(d.origin.Advertised()) }

// Apply implements tree.Observer.
func (d *Daemon) Apply(applied tree.Applied) {
	if err := d.snapshots.Replace(applied.Revision, applied.AcceptedUnixMillis, applied.Bundles); err != nil {
		d.logger.Error(err, "snapshot.refused", "revision", applied.Revision)
		return
	}
	d.origin.Configure(d.snapshots.Current())
	d.logger.V(1).Info("snapshot.in_force", "revision", applied.Revision, "services", len(applied.Bundles))
}

// Endpoints implements tree.Observer.
func (d *Daemon) Endpoints(service string, endpoints []*lapisv1.Endpoint) {
	d.balancer.Update(service, endpoints)
	d.origin.FollowMachineList(service, endpoints, d.settings.Load().Node)
}

// Addresses returns where the daemon listens, which matters when a port was
// chosen by the system.
type Addresses struct {
	Peer, Caller, CallerTLS, Operator, Metrics, Instances, Readiness string
}

// Addresses returns where the daemon listens.
func (d *Daemon) Addresses() Addresses {
	address := func(listener net.Listener) string {
		if listener == nil {
			return ""
		}
		return listener.Addr().String()
	}
	return Addresses{
		Peer: address(d.listeners.peer), Caller: address(d.listeners.caller), CallerTLS: address(d.listeners.callerTLS),
		Operator: address(d.listeners.operator), Metrics: address(d.listeners.metrics),
		Instances: address(d.listeners.instances), Readiness: address(d.listeners.readiness),
	}
}

// Info returns the condition of the daemon's part in the distribution.
func (d *Daemon) Info() tree.Info { return d.tree.Info() }

// Revision returns the configuration revision in force, 0 before the first.
func (d *Daemon) Revision() uint64 {
	if current := d.snapshots.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// Counters returns the control traffic.
func (d *Daemon) Counters() *wire.Counters { return d.counters }

// Run serves until stop is closed, then stops as planned: it refuses new work,
// lets the calls in flight finish, and hands its children over. Closing force,
// or the end of StopLimit, cuts what is still in flight. It returns the number
// of calls that were cut.
func (d *Daemon) Run(stop, force <-chan struct{}) (cut int64) {
	ctx, cancel := context.WithCancel(context.Background())
	d.start(ctx)
	d.logStart()
	select {
	case <-stop:
	case <-force:
	}
	d.logger.Info("daemon.stopping", "in_flight", d.InFlight())
	if d.direct != nil {
		cut = d.direct.drain(force)
	} else {
		cut = d.drain(force)
	}
	cancel()
	d.listeners.close()
	d.calls.Close()
	d.gateway.Cut()
	d.running.Wait()
	if d.store != nil {
		d.store.Close()
	}
	if d.direct != nil {
		d.direct.platform.Close()
	}
	d.logger.Info("daemon.stopped", "cut", cut)
	return cut
}

// logStart names the build and the settings that matter when lines are read.
func (d *Daemon) logStart() {
	config := d.settings.Load()
	addresses := d.Addresses()
	d.logger.Info("daemon.started", "build", buildVersion(), "zone", config.Zone, "service", config.Service,
		"peer", addresses.Peer, "caller", addresses.Caller, "metrics", addresses.Metrics, "incarnation", d.incarnation,
		"platform", config.Platform.Form, "retry_fraction", config.Retries.Fraction, "retry_burst", config.Retries.Burst, "link_mbit", config.LinkMegabits,
		"stop_limit", config.StopLimit.Get())
}

func (d *Daemon) start(ctx context.Context) {
	server := &peer.Server{Node: d.settings.Load().Node, Logger: d.logger, Counters: d.counters, Handlers: d.handlers()}
	d.running.Go(func() { server.Serve(ctx, d.listeners.peer) })
	d.running.Go(func() { d.node.Run(ctx) })
	d.running.Go(func() { d.origin.Run(ctx) })
	d.running.Go(func() { d.closeIdleLinks(ctx) })
	d.running.Go(func() { watchPauses(ctx, d.logger, d.resumed) })
	if d.listeners.caller != nil {
		d.running.Go(func() { d.gateway.Serve(ctx, d.listeners.caller, nil) })
	}
	if d.listeners.callerTLS != nil {
		d.running.Go(func() { d.gateway.Serve(ctx, d.listeners.callerTLS, d.gateway.TLSConfig()) })
	}
	if d.direct != nil {
		d.direct.start(ctx)
	}
	if d.listeners.operator != nil && d.store != nil {
		api := operator.New(operator.Config{Store: d.store, Logger: d.logger, Endpoints: d.node})
		d.running.Go(func() { api.Serve(ctx, d.listeners.operator) })
	}
	if d.listeners.metrics != nil {
		d.running.Go(func() { metrics.Serve(ctx, d.listeners.metrics, d.registry) })
	}
}

// resumed takes in that the machine was suspended: what others had told is that much older,
// and the source is asked as soon as that says so.
func (d *Daemon) resumed() {
	if d.direct == nil {
		return
	}
	select {
	case d.direct.resumed <- struct{}{}:
	default:
	}
}

func (d *Daemon) handlers() map[lapisv1.Hello_Purpose]peer.Handler {
	calls := &callmux.Server{Node: d.settings.Load().Node, Incarnation: d.incarnation, Origin: d.origin, Counters: d.callCounters}
	handlers := map[lapisv1.Hello_Purpose]peer.Handler{lapisv1.Hello_PURPOSE_CALLS: calls.Serve}
	if d.direct != nil {
		d.direct.handlers(calls)
		return handlers
	}
	handlers[lapisv1.Hello_PURPOSE_CHILD] = d.tree.ServeChild
	handlers[lapisv1.Hello_PURPOSE_READER] = d.tree.ServeReader
	return handlers
}

func (d *Daemon) closeIdleLinks(ctx context.Context) {
	ticker := time.NewTicker(idleLinkLifetime / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			d.calls.CloseIdle(now.Add(-idleLinkLifetime))
		}
	}
}

// InFlight returns the number of calls of callers and at instances that are not
// over.
func (d *Daemon) InFlight() int64 {
	return d.gateway.InFlight() + int64(d.origin.InFlight())
}

// drain refuses new work and waits until nothing is in flight. It returns what
// was still in flight when force or the limit ended the wait.
func (d *Daemon) drain(force <-chan struct{}) (cut int64) {
	d.gateway.Stop()
	d.origin.Stop()
	d.announce()
	d.tree.Leave()
	limit := time.NewTimer(d.settings.Load().StopLimit.Get())
	defer limit.Stop()
	notice := time.NewTimer(leaveNotice)
	defer notice.Stop()
	noticed := false
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	for {
		select {
		case <-force:
			return d.reportCut("a second signal")
		case <-limit.C:
			return d.endCalls()
		case <-notice.C:
			noticed = true
		case <-poll.C:
			if noticed && d.InFlight() == 0 {
				return 0
			}
		}
	}
}

// endCalls ends the calls that outlasted the stop limit and waits until callers
// have been told so: a connection that ends without a word tells them nothing.
func (d *Daemon) endCalls() (cut int64) {
	cut = d.reportCut("stop_limit " + d.settings.Load().StopLimit.Get().String())
	d.gateway.Cut()
	limit := time.NewTimer(cutAnswers)
	defer limit.Stop()
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	for d.gateway.InFlight() > 0 {
		select {
		case <-limit.C:
			return cut
		case <-poll.C:
		}
	}
	return cut
}

func (d *Daemon) reportCut(cause string) int64 {
	cut := d.InFlight()
	d.logger.Info("daemon.calls_cut", "calls", cut, "cause", cause)
	return cut
}

// ReadyEndpoints returns the number of ready instances of a service that the
// daemon knows.
func (d *Daemon) ReadyEndpoints(service string) int {
	ready := 0
	for _, endpoint := range d.node.Endpoints(service) {
		if endpoint.GetState() == lapisv1.Endpoint_STATE_READY {
			ready++
		}
	}
	return ready
}
