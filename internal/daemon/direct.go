package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/metrics"
	"github.com/lapisvane/lapisvane/internal/daemon/platformapi"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Times of a daemon on a platform.
const (
	// readyGrace is how long a starting daemon waits for its instance and for
	// other daemons before it takes callers without them.
	readyGrace = 3 * time.Second
	// callersLeave is how long callers may still come after the daemon said
	// that it is not ready.
	callersLeave = 2500 * time.Millisecond
	// instancesLeave is how long a stopping daemon takes calls for the instance beside
	// it, as far as they end before it does: the instance would idle meanwhile.
	instancesLeave = 2 * time.Second
	// readShare is the part of what the source bears that daemons plan to use.
	readShare = 0.5
	// coalescePart is the part of the bound for a configuration that a daemon
	// waits at the least between two questions to the source.
	coalescePart = 5
	// answersLeave is how long the last answers are given to leave the machine.
	answersLeave = 100 * time.Millisecond
)

// peerTiming bounds the connections between daemons on a platform, where a lost
// one must be noticed within the time that rules give.
var peerTiming = callmux.Timing{KeepAlive: time.Second, Silence: 2500 * time.Millisecond, Write: time.Second}

// direct is a daemon's part in the distribution where daemons tell each other of
// configurations and instances over the connections between them.
type direct struct {
	daemon   *Daemon
	platform platformapi.Platform
	fleet    *fleet.Fleet
	started  time.Time
	leaving  atomic.Bool
	follower *configsource.Follower
	// freshness is how recently what is in force was confirmed to be the newest.
	freshness configsource.Freshness
	inForce   atomic.Pointer[lapisv1.Configuration]
	// orders are the operators' orders.
	orders ordersPart
	// inForceAt is when that came in force, in nanoseconds since started.
	inForceAt atomic.Int64
	members   atomic.Int64
	// resumed is sent to after a suspension of the machine.
	resumed chan struct{}

	// mutex is held while a configuration is put in force.
	mutex sync.Mutex
}

func (d *Daemon) buildDirect(platform platformapi.Platform) {
	part := &direct{daemon: d, platform: platform, started: time.Now(), resumed: make(chan struct{}, 1)}
	part.members.Store(1)
	part.freshness.WithOrders = part.ordersBound() > 0
	d.calls.Maintained = true
	d.calls.Timing = part.timing()
	part.fleet = fleet.New(fleet.Config{
		Self:        fleet.Member{Node: d.settings.Load().Node, Address: d.listeners.peer.Addr().String(), Zone: d.settings.Load().Zone, Region: d.settings.Load().Region, Service: d.settings.Load().Service},
		Incarnation: d.incarnation, Directory: platform.Directory(), Calls: d.calls, Observer: part,
		InForce: part.inForce.Load, Orders: part.ordersInForce(), Suspects: d.suspects.Known, Freshness: &part.freshness, Withdrawn: d.origin.Withdrawn, Random: rand.Float64, Logger: d.logger,
	})
	part.follower = &configsource.Follower{
		Source: platform.Source(), Apply: part.Offer, Freshness: &part.freshness, Confirmed: part.fleet.Beat,
		Awaited: d.snapshots.Awaited, Bound: part.askBound(), Daemons: func() int { return int(part.members.Load()) },
		Pace: part.pace, Random: rand.Float64, Resumed: part.resumed, Logger: d.logger,
	}
	d.suspects.spread, d.suspects.store = part.fleet.SpreadSuspects, platform.Quarantine()
	part.joinOrders()
	d.direct = part
	d.node = part.fleet
	metrics.RegisterDirect(d.registry, metrics.Direct{
		Fleet: part.fleet, Follower: part.follower, Origin: d.origin, InForce: part.inForceSince, Ready: part.ready,
		Orders: &part.orders.current, Confirmed: part.freshness.Confirmed,
	})
}

// inForceSince returns the revision in force and since when it is.
func (p *direct) inForceSince() (revision uint64, since time.Time) {
	return p.inForce.Load().GetRevision(), p.started.Add(time.Duration(p.inForceAt.Load()))
}

// timing bounds the connections between daemons.
func (p *direct) timing() callmux.Timing {
	timing := peerTiming
	timing.Local = p.heartbeat
	timing.LinkMegabits = p.daemon.settings.Load().LinkMegabits
	return timing
}

// heartbeat is what other daemons are told.
func (p *direct) heartbeat() callmux.Heartbeat {
	versions, confirmed := p.freshness.InForce()
	return callmux.Heartbeat{Revision: versions.Configuration, Orders: versions.Orders, Confirmed: confirmed}
}

// stall bounds the time in which a daemon that does not answer is noticed.
func (p *direct) stall() callmux.Stall {
	return callmux.Stall{
		Check: 100 * time.Millisecond, Quiet: 250 * time.Millisecond, Answer: 400 * time.Millisecond,
		Changed: p.fleet.Stalled,
	}
}

// start runs what a platform adds to a daemon.
func (p *direct) start(ctx context.Context) {
	d := p.daemon
	d.running.Go(func() { p.follower.Run(ctx) })
	d.running.Go(func() { d.suspects.run(ctx) })
	d.running.Go(func() { d.calls.WatchStalls(ctx, p.stall()) })
	serve := func(listener net.Listener, run func(net.Listener)) {
		if listener != nil {
			d.running.Go(func() { run(listener) })
		}
	}
	serve(d.listeners.instances, func(listener net.Listener) { p.platform.ServeInstances(ctx, listener, d.origin) })
	serve(d.listeners.readiness, func(listener net.Listener) { p.platform.ServeReadiness(ctx, listener, p.ready) })
}

// pace is the least time between two questions to the source: so that all daemons
// together use half of what it bears, and so that configurations in quick
// succession are taken in a few at a time, well within their bound.
func (p *direct) pace() time.Duration {
	platform := p.daemon.settings.Load().Platform
	return sourcePace(int(p.members.Load()), platform.ReadsPerSecond, platform.ApplyBound.Get())
}

// sourcePace returns the least time between two questions of one of so many
// daemons to a source that bears so many reads a second.
func sourcePace(daemons int, readsPerSecond float64, applyBound time.Duration) time.Duration {
	pace := applyBound / coalescePart
	if readsPerSecond > 0 {
		pace = max(pace, time.Duration(float64(daemons)/(readsPerSecond*readShare)*float64(time.Second)))
	}
	return pace
}

// ready reports whether callers may be sent here. No configuration is in force before
// the first orders are known.
func (p *direct) ready() bool {
	if p.leaving.Load() || p.inForce.Load() == nil {
		return false
	}
	if time.Since(p.started) > readyGrace {
		return true
	}
	return p.fleet.Connected() > 0 && p.daemon.origin.LocalService() != ""
}

// Offer puts a configuration in force if it is newer than what is. It
// implements fleet.Observer.
func (p *direct) Offer(configuration *lapisv1.Configuration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	d := p.daemon
	current := p.inForce.Load()
	if configuration.GetRevision() <= current.GetRevision() || p.holdBack(configuration) {
		return
	}
	if err := d.snapshots.ReplaceConfiguration(configuration); err != nil {
		d.logger.Error(err, "configuration.refused", "revision", configuration.GetRevision(), "in_force", current.GetRevision())
		return
	}
	p.inForce.Store(configuration)
	p.freshness.Advance(configuration.GetRevision())
	p.inForceAt.Store(int64(time.Since(p.started)))
	d.origin.Configure(d.snapshots.Current())
	d.logger.Info("configuration.in_force", "revision", configuration.GetRevision(), "before", current.GetRevision())
	p.fleet.Beat()
}

// Endpoints implements fleet.Observer.
func (p *direct) Endpoints(service string, endpoints []*lapisv1.Endpoint) {
	p.daemon.balancer.Update(service, endpoints)
}

// Members implements fleet.Observer.
func (p *direct) Members(count int) {
	p.members.Store(int64(count))
	p.daemon.gateway.ShareRetries(count)
}

// Suspected implements fleet.Observer.
func (p *direct) Suspected(records []quarantine.Record, from string) {
	p.daemon.suspects.told(records, from)
}

// Withdraw implements fleet.Observer.
func (p *direct) Withdraw(instance string) { p.daemon.origin.Withdraw(instance) }

// leave has callers sent elsewhere and bounds the calls that still start to those that are
// over by a time. instances ends, after instancesLeave, that the instances beside the
// daemon take any.
func (p *direct) leave(endsBy time.Time) (instances *time.Timer) {
	d := p.daemon
	p.leaving.Store(true)
	d.gateway.Leave(endsBy)
	d.origin.Leave(endsBy)
	return time.AfterFunc(instancesLeave, func() {
		d.origin.Stop()
		d.announce()
	})
}

// drain stops as planned: callers are sent elsewhere, instances soon take no new
// work here, and what is in flight is seen through. It returns the number of
// calls that were still in flight when force or the limit ended the wait.
func (p *direct) drain(force <-chan struct{}) (cut int64) {
	d := p.daemon
	// The limit ends with the process; an eighth of it is left for the end.
	lasts := d.settings.Load().StopLimit.Get() * 7 / 8
	limit := time.NewTimer(lasts)
	defer limit.Stop()
	instances := p.leave(time.Now().Add(lasts - answersLeave))
	defer instances.Stop()
	left := time.NewTimer(callersLeave)
	defer left.Stop()
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	callersGone := false
	var idleSince time.Time
	for {
		select {
		case <-force:
			return d.reportCut("a second signal")
		case <-limit.C:
			return d.endCalls()
		case <-left.C:
			// Whoever still comes is refused before anything ran, so that
			// the end of the process cuts nothing.
			d.gateway.Stop()
			callersGone = true
		case <-poll.C:
			switch {
			case !callersGone || d.InFlight() > 0:
				idleSince = time.Time{}
			case idleSince.IsZero():
				idleSince = time.Now()
			case time.Since(idleSince) >= answersLeave:
				return 0
			}
		}
	}
}

// handlers returns what serves the connections of other daemons.
func (p *direct) handlers(calls *callmux.Server) {
	calls.Timing = p.timing()
	calls.Accepted = p.fleet.Accepted
}
