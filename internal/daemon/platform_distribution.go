package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/metrics"
	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/distribution/allowance"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/account"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
)

// Times of a daemon on a platform.
const (
	// readyGrace is how long a starting daemon waits for its instance and for other daemons before
	// it is ready without them. It is above the time in which daemons that start together find one
	// another.
	readyGrace = 3 * time.Second
	// callersDrain is how long new calls are still accepted after the daemon stopped being ready.
	// It is above the interval at which readiness is polled, below the stop limit.
	callersDrain = 2500 * time.Millisecond
	// instancesDrain is how long a stopping daemon still admits calls, if they end before it
	// does, to the instances beside it, which would idle while others refuse for load.
	instancesDrain = 2 * time.Second
	// callsPart is the part of the stop limit in which calls may last; the rest is for the end of
	// the process.
	callsPart = 7.0 / 8
	// answersDrain is the time for the last answers to reach their callers: a few ways of the
	// network, 40 ms between regions.
	answersDrain = 100 * time.Millisecond
)

// Times of noticing a daemon that does not answer: it is pinged when it was quiet for stallQuiet
// while calls are on their way, and is stalled without an answer within stallAnswer. Then its
// instances are suspect and repeatable calls go elsewhere; the connection stays open, since
// packet loss looks the same. Failed calls fell from 1.6 to 1.1 percent on a day with two
// frozen machines, against noticing silence after 2.5 s only.
const (
	stallCheck  = 100 * time.Millisecond
	stallQuiet  = 250 * time.Millisecond
	stallAnswer = 400 * time.Millisecond
)

// platformPeerTiming bounds the connections between daemons on a platform. Silence is below the
// contact time (setting platform.contact, 3 s by default), and above two intervals of KeepAlive, so
// that one lost frame ends no connection. Write is so close to it that a daemon which stands still
// loses its calls by its silence, and no sooner where frames to it fill the buffers.
var platformPeerTiming = callmux.Timing{KeepAlive: time.Second, Silence: 2500 * time.Millisecond, Write: 2400 * time.Millisecond}

// platformTiming bounds the connections between daemons. Their empty frames are the
// heartbeats: what is in force here, and how recently that was confirmed.
func platformTiming(values *settings.Daemon, freshness *configsource.Freshness) callmux.Timing {
	timing := platformPeerTiming
	timing.Local = func() callmux.Heartbeat { return heartbeatOf(freshness) }
	timing.LinkMegabits = values.LinkMegabits
	return timing
}

// heartbeatOf returns what this daemon's heartbeats state.
func heartbeatOf(freshness *configsource.Freshness) callmux.Heartbeat {
	versions, confirmed := freshness.InForce()
	return callmux.Heartbeat{Revision: versions.Configuration, Orders: versions.Orders, Confirmed: confirmed}
}

// platformDistribution is a daemon's part in the distribution on a platform: daemons
// exchange configurations, orders and instances over the connections between them, and some
// poll the platform's store (configsource).
type platformDistribution struct {
	path     *requestPath
	platform platformapi.Platform
	fleet    *fleet.Fleet
	follower *configsource.Follower
	// allowances keeps limits that daemons share; nil where there are none.
	allowances *allowance.Service
	// freshness is how recently what is in force was confirmed to be the newest.
	freshness *configsource.Freshness
	started   time.Time
	// draining is true from the planned stop on.
	draining atomic.Bool
	inForce  atomic.Pointer[lapisv1.Configuration]
	// inForceAt is when that came in force, in nanoseconds since started.
	inForceAt atomic.Int64
	// orders puts the operators' orders in force.
	orders ordersState
	// rollouts is nil where operators order none.
	rollouts *rollouts
	// members is the number of daemons known, this one included.
	members atomic.Int64
	// resumed is sent to after a suspension of the machine.
	resumed chan struct{}

	// mutex is held while a configuration is put in force.
	mutex sync.Mutex
}

func newPlatformDistribution(d *Daemon, platform platformapi.Platform, freshness *configsource.Freshness) *platformDistribution {
	values := d.settings.Load()
	p := &platformDistribution{
		path: d.path, platform: platform, freshness: freshness,
		started: time.Now(), resumed: make(chan struct{}, 1),
	}
	p.members.Store(1)
	p.orders = ordersState{follow: p.followOrders, unknown: map[string]bool{}}
	p.allowances = p.newAllowances(values)
	p.rollouts = newRollouts(p, d.incarnation)
	config := fleet.Config{
		Self:        fleet.Member{Node: values.Node, Address: d.listeners.peer.Addr().String(), Zone: values.Zone, Region: values.Region, Service: values.Service},
		Incarnation: d.incarnation, Directory: platform.Directory(), Calls: p.path.calls, Observer: p,
		InForce: p.inForce.Load, Orders: p.ordersInForce(), Rollouts: p.rollouts.observer(), Suspects: p.path.suspects.Known, Freshness: p.freshness,
		Withdrawn: p.path.origin.Withdrawn, Random: rand.Float64, Logger: p.path.logger,
	}
	if p.allowances != nil {
		config.Allowances = p.allowances
	}
	p.fleet = fleet.New(config)
	p.follower = &configsource.Follower{
		Source: platform.Source(), Apply: p.Offer, Freshness: p.freshness, Confirmed: p.fleet.SendHeartbeats,
		ApplyOrders: p.ordersReader(), OrderKinds: p.orderKinds(), OrdersBound: p.ordersBound(),
		Awaited: p.path.snapshots.Awaited, Bound: p.pollBound(), Daemons: func() int { return int(p.members.Load()) },
		MinInterval: p.minInterval, Random: rand.Float64, Resumed: p.resumed, Logger: p.path.logger,
	}
	platform.OnStoreReturn(func() {
		p.fleet.DirectoryReturned()
		p.path.suspects.storeReturned()
	})
	return p
}

// inForceSince returns the revision in force and since when it is.
func (p *platformDistribution) inForceSince() (revision uint64, since time.Time) {
	return p.inForce.Load().GetRevision(), p.started.Add(time.Duration(p.inForceAt.Load()))
}

// stall bounds the time in which a daemon that does not answer is noticed.
func (p *platformDistribution) stall() callmux.Stall {
	return callmux.Stall{Check: stallCheck, Quiet: stallQuiet, Answer: stallAnswer, Changed: p.fleet.Stalled}
}

// Run implements distribution.
func (p *platformDistribution) Run(ctx context.Context, listeners listeners) {
	var running sync.WaitGroup
	serve := func(listener net.Listener, run func(net.Listener)) {
		if listener != nil {
			running.Go(func() { run(listener) })
		}
	}
	running.Go(func() { p.fleet.Run(ctx) })
	running.Go(func() { p.follower.Run(ctx) })
	if p.allowances != nil {
		running.Go(func() { p.allowances.Run(ctx) })
	}
	running.Go(func() { p.path.suspects.run(ctx) })
	if p.rollouts != nil {
		running.Go(func() { p.rollouts.run(ctx) })
	}
	running.Go(func() { p.path.calls.WatchStalls(ctx, p.stall()) })
	serve(listeners.instances, func(listener net.Listener) { p.platform.ServeInstances(ctx, listener, p.path.origin) })
	serve(listeners.readiness, func(listener net.Listener) { p.platform.ServeReadiness(ctx, listener, p.ready) })
	running.Wait()
}

// SetLocalEndpoints implements distribution.
func (p *platformDistribution) SetLocalEndpoints(endpoints []*lapisv1.Endpoint) {
	if p.rollouts != nil {
		endpoints = p.rollouts.admit(endpoints)
	}
	p.fleet.SetLocalEndpoints(endpoints)
}

// EndpointsOf implements distribution.
func (p *platformDistribution) EndpointsOf(service string) []*lapisv1.Endpoint {
	return p.fleet.Endpoints(service)
}

// Handlers implements distribution: everything goes over the connections for calls.
func (p *platformDistribution) Handlers() map[lapisv1.Hello_Purpose]peer.Handler {
	return map[lapisv1.Hello_Purpose]peer.Handler{}
}

// AcceptedCalls implements distribution.
func (p *platformDistribution) AcceptedCalls() func(*lapisv1.Hello, callmux.Link) callmux.Control {
	return p.fleet.Accepted
}

// SpreadSuspects implements distribution.
func (p *platformDistribution) SpreadSuspects(records []quarantine.Record, from string) {
	p.fleet.SpreadSuspects(records, from)
}

// Resumed implements distribution: the follower checks again whether the source has to be
// polled, since what others reported became older at once.
func (p *platformDistribution) Resumed() {
	select {
	case p.resumed <- struct{}{}:
	default:
	}
}

// RegisterMetrics implements distribution.
func (p *platformDistribution) RegisterMetrics(registry *prometheus.Registry) {
	metrics.RegisterPlatform(registry, metrics.Platform{
		Fleet: p.fleet, Follower: p.follower, Origin: p.path.origin, InForce: p.inForceSince, Ready: p.ready,
		Orders: p.path.orders, Confirmed: p.freshness.Confirmed, ReadyEndpoints: p.readyEndpoints,
		RefusedEntries: p.platform.RefusedEntries, Accounts: p.accounts,
	})
	if p.allowances != nil {
		metrics.RegisterAllowances(registry, p.allowances.Report)
	}
}

// accounts returns the accounts in force, nil where callers need none.
func (p *platformDistribution) accounts() *account.Directory {
	if current := p.path.snapshots.Current(); current != nil {
		return current.Accounts
	}
	return nil
}

// readyEndpoints returns the number of ready instances known of each service in force.
func (p *platformDistribution) readyEndpoints() map[string]int {
	counts := map[string]int{}
	if current := p.path.snapshots.Current(); current != nil {
		for _, service := range current.ServiceNames() {
			counts[service] = countReady(p.EndpointsOf(service))
		}
	}
	return counts
}

// Close implements distribution.
func (p *platformDistribution) Close() { p.platform.Close() }

// minInterval is the least time between a failed poll of this daemon and its next one.
func (p *platformDistribution) minInterval() time.Duration {
	platform := p.path.settings.Load().Platform
	return configsource.MinInterval(int(p.members.Load()), platform.ReadsPerSecond, platform.ApplyBound.Get())
}

// ready reports whether callers may be sent here. No configuration is in force before
// the first orders are known.
func (p *platformDistribution) ready() bool {
	if p.draining.Load() || p.inForce.Load() == nil {
		return false
	}
	if time.Since(p.started) > readyGrace {
		return true
	}
	return p.fleet.Connected() > 0 && p.path.origin.LocalService() != ""
}

// Offer puts a configuration in force if it is newer than what is. It
// implements fleet.Observer.
func (p *platformDistribution) Offer(configuration *lapisv1.Configuration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	path := p.path
	current := p.inForce.Load()
	if configuration.GetRevision() <= current.GetRevision() || p.holdBack(configuration) {
		return
	}
	if err := path.snapshots.ReplaceConfiguration(configuration); err != nil {
		path.logger.Error(err, "configuration.refused", "revision", configuration.GetRevision(), "in_force", current.GetRevision())
		return
	}
	p.inForce.Store(configuration)
	p.freshness.Advance(configuration.GetRevision())
	p.inForceAt.Store(int64(time.Since(p.started)))
	path.origin.Configure(path.snapshots.Current())
	path.logger.Info("configuration.in_force", "revision", configuration.GetRevision(), "before", current.GetRevision())
	p.fleet.SendHeartbeats()
}

// Endpoints implements fleet.Observer.
func (p *platformDistribution) Endpoints(service string, endpoints []*lapisv1.Endpoint) {
	p.path.balancer.Update(service, endpoints)
}

// Members implements fleet.Observer.
func (p *platformDistribution) Members(count int) {
	p.members.Store(int64(count))
	p.path.gateway.ShareRetries(count)
}

// OfferSuspects implements fleet.Observer.
func (p *platformDistribution) OfferSuspects(records []quarantine.Record, from string) {
	p.path.suspects.merge(records, from)
}

// Withdraw implements fleet.Observer.
func (p *platformDistribution) Withdraw(instance string) { p.path.origin.Withdraw(instance) }

// startDraining sends callers elsewhere and refuses calls that would not end by endsBy. The
// returned timer stops the instances beside the daemon after instancesDrain.
func (p *platformDistribution) startDraining(endsBy time.Time) (instances *time.Timer) {
	path := p.path
	p.draining.Store(true)
	path.gateway.Drain(endsBy)
	path.origin.Drain(endsBy)
	return time.AfterFunc(instancesDrain, func() {
		path.origin.Stop()
		p.SetLocalEndpoints(path.origin.Advertised())
	})
}

// Drain implements distribution: callers are sent elsewhere, the instances beside the daemon
// are stopped after instancesDrain, and the calls in flight finish.
func (p *platformDistribution) Drain(force <-chan struct{}) (cut int64) {
	path := p.path
	callsLimit := time.Duration(callsPart * float64(path.settings.Load().StopLimit.Get()))
	limit := time.NewTimer(callsLimit)
	defer limit.Stop()
	instances := p.startDraining(time.Now().Add(callsLimit - answersDrain))
	defer instances.Stop()
	callers := time.NewTimer(callersDrain)
	defer callers.Stop()
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	var ending stopProgress
	for {
		select {
		case <-force:
			return path.endByForce()
		case <-limit.C:
			return path.endCalls(path.stopLimitCause())
		case <-callers.C:
			// From here on a new call is refused before anything ran, so that the end of
			// the process cuts nothing.
			path.gateway.Stop()
			ending.callersRefused = true
		case <-poll.C:
			switch ending.next(stopFacts{serving: path.serving(), waiting: path.gateway.Waiting(), settled: path.settled(), now: time.Now()}) {
			case stopAccepting:
				path.gateway.StopAccepting()
			case stopEnd:
				return 0
			}
		}
	}
}
