package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/fleet"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
)

// idleTickInterval is the interval at which a daemon evaluates orders that have ended. They are not
// urgent, but must be evaluated: a version that gets no calls may become the only one with instances.
const idleTickInterval = time.Second

// rollouts connects the rollout.Runner of a daemon with the fleet and the request path. It implements
// fleet.RolloutObserver, rollout.Links and rollout.Instances.
type rollouts struct {
	distribution *platformDistribution
	runner       *rollout.Runner

	// newestRevisions holds the revision of the newest known state of each order's object, by name. It
	// is protected by ordersState.mutex.
	newestRevisions map[string]uint64
	// linkedOrders are the orders for which links to deciders are kept. probedNodes are the daemons whose
	// local instances are probed for these orders. Both are used only by the goroutine of run.
	linkedOrders []rollout.Identity
	probedNodes  []string

	// mutex protects the fields below. incarnations holds the incarnation of each daemon in its last
	// RolloutWord. newVersionGate decides which local instances are not announced yet.
	mutex          sync.Mutex
	incarnations   map[string]uint64
	newVersionGate rollout.NewVersionGate
}

// newRollouts returns the rollouts of a daemon, or nil if roll-outs are disabled.
func newRollouts(p *platformDistribution, incarnation uint64) *rollouts {
	values := p.path.settings.Load()
	if !values.Rollouts.Enabled() {
		return nil
	}
	r := &rollouts{
		distribution: p, newestRevisions: map[string]uint64{}, incarnations: map[string]uint64{},
		newVersionGate: rollout.NewVersionGate{MaxHold: values.Platform.ApplyBound.Get()},
	}
	r.runner = rollout.NewRunner(rollout.RunnerConfig{
		Node: values.Node, Incarnation: incarnation, Store: p.platform.Rollouts(), Links: r, Instances: r,
		ExposureShare: values.Rollouts.ExposureShare, Logger: p.path.logger, Now: time.Now,
	})
	return r
}

// trafficOf returns the function by which the request path looks up the roll-out of a service, or nil
// if roll-outs are disabled.
func trafficOf(d *Daemon) func(service string) *rollout.Traffic {
	if !d.settings.Load().Rollouts.Enabled() {
		return nil
	}
	return func(service string) *rollout.Traffic {
		platform, onPlatform := d.distribution.(*platformDistribution)
		if !onPlatform {
			return nil
		}
		return platform.rollouts.runner.Traffic(service)
	}
}

// observer returns the fleet.RolloutObserver, or a nil interface if roll-outs are disabled.
func (r *rollouts) observer() fleet.RolloutObserver {
	if r == nil {
		return nil
	}
	return r
}

// run periodically makes roll-out decisions and announces local instances that were held back, until
// ctx ends.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rollout.TickInterval)
	defer ticker.Stop()
	var decided time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			decided = r.decide(ctx, now, decided)
			r.releaseNewcomers()
		}
	}
}

// decide runs the runner if it is due, updates the links, and returns the time of the last run.
func (r *rollouts) decide(ctx context.Context, now, decided time.Time) time.Time {
	running := r.runner.Running()
	if !r.runner.Idle() && (len(running) > 0 || now.Sub(decided) >= idleTickInterval) {
		r.runner.Tick(ctx)
		running, decided = r.runner.Running(), now
	}
	r.linkToDeciders(running)
	return decided
}

// linkToDeciders maintains links to two groups of daemons: those that decide on roll-outs, so that each
// decider is connected to all daemons, and those whose local instances are probed.
func (r *rollouts) linkToDeciders(running []rollout.Identity) {
	probed := r.runner.ProbedNodes()
	if slices.Equal(running, r.linkedOrders) && slices.Equal(probed, r.probedNodes) {
		return
	}
	r.linkedOrders, r.probedNodes = running, probed
	rankings := make([]fleet.Ranking, 0, len(running))
	for _, order := range running {
		rankings = append(rankings, order.Rank)
	}
	r.distribution.fleet.SetRankedLinks(rankings, rollout.Deciders, probed)
}

// applyOrders passes the roll-out orders of the set to the runner. The caller holds ordersState.mutex.
// An order that is missing from the set has ended only if the set is newer than the newest known state
// of the order's object.
func (r *rollouts) applyOrders(now *orders.Set) {
	stated := map[string]bool{}
	for _, message := range now.Rollouts() {
		stated[message.GetName()] = true
		r.newestRevisions[message.GetName()] = max(message.GetRevision(), r.newestRevisions[message.GetName()])
		order := rollout.OrderOf(message)
		r.runner.HandleOrder(message.GetName(), &order)
	}
	for name, revision := range r.newestRevisions {
		if !stated[name] && now.Revision() > revision {
			delete(r.newestRevisions, name)
			r.runner.HandleOrder(name, nil)
		}
	}
}

// admit returns the local instances that may be announced to other daemons.
func (r *rollouts) admit(endpoints []*lapisv1.Endpoint) []*lapisv1.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	gateInputs := rollout.GateInputs{
		Versions: r.versions, Ordered: r.runner.HasTarget, Confirmed: r.distribution.freshness.Confirmed(),
	}
	return r.newVersionGate.Admit(endpoints, gateInputs, time.Now())
}

// versions returns the set of versions of a service's known instances.
func (r *rollouts) versions(service string) map[string]bool {
	versions := map[string]bool{}
	for _, endpoint := range r.distribution.fleet.Endpoints(service) {
		versions[endpoint.GetVersion()] = true
	}
	return versions
}

// releaseNewcomers announces local instances that no longer have to be held back.
func (r *rollouts) releaseNewcomers() {
	r.mutex.Lock()
	holding := r.newVersionGate.Holding()
	r.mutex.Unlock()
	if holding {
		r.distribution.AnnounceEndpoints()
	}
}

// ReceiveAnnouncement implements fleet.RolloutObserver. A message from a new incarnation of a daemon
// invalidates those of its earlier incarnation.
func (r *rollouts) ReceiveAnnouncement(message *lapisv1.RolloutWord) {
	announcement := rollout.AnnouncementOf(message)
	r.mutex.Lock()
	before, known := r.incarnations[announcement.Node]
	r.incarnations[announcement.Node] = announcement.Incarnation
	r.mutex.Unlock()
	if known && before != announcement.Incarnation {
		r.runner.HandleDisconnect(announcement.Node)
	}
	r.runner.HandleAnnouncement(announcement)
}

// ReceiveReport implements fleet.RolloutObserver.
func (r *rollouts) ReceiveReport(message *lapisv1.RolloutReport) {
	report, err := rollout.ReportOf(message)
	if err != nil {
		r.distribution.path.logger.Error(err, "rollout.report_refused", "member", message.GetNode())
		return
	}
	r.runner.HandleReport(message.GetService(), report)
}

// NodeUnlinked implements fleet.RolloutObserver.
func (r *rollouts) NodeUnlinked(node string) {
	r.mutex.Lock()
	delete(r.incarnations, node)
	r.mutex.Unlock()
	r.runner.HandleDisconnect(node)
}

// Members implements rollout.Links.
func (r *rollouts) Members() []string { return r.distribution.fleet.LinkedNodes() }

// Known implements rollout.Links.
func (r *rollouts) Known() int { return r.distribution.fleet.ActiveMembers() }

// Serving implements rollout.Links.
func (r *rollouts) Serving(service string) int { return r.distribution.fleet.MembersOfService(service) }

// Broadcast implements rollout.Links.
func (r *rollouts) Broadcast(announcement rollout.Announcement, nodes []string) {
	r.distribution.fleet.BroadcastAnnouncement(rollout.AnnouncementMessage(announcement), nodes)
}

// Send implements rollout.Links.
func (r *rollouts) Send(node, service string, report rollout.Report) {
	r.distribution.fleet.SendReport(node, rollout.ReportMessage(service, report))
}

// Of implements rollout.Instances. The result includes instances in evacuated zones. Unreachable
// instances count as cold, so that they are not probed.
func (r *rollouts) Of(service string) (endpoints []*lapisv1.Endpoint, cold func(*lapisv1.Endpoint) bool) {
	now := time.Now()
	warm := map[string]bool{}
	for _, target := range r.distribution.path.balancer.Targets(service) {
		if !mayGetCalls(target) {
			continue
		}
		endpoints = append(endpoints, target.Endpoint)
		warm[target.Endpoint.GetInstance()] = target.Endpoint.GetState() == lapisv1.Endpoint_STATE_READY && !target.Cold(now)
	}
	return endpoints, func(endpoint *lapisv1.Endpoint) bool { return !warm[endpoint.GetInstance()] }
}

// mayGetCalls reports whether an instance is present and not leaving.
func mayGetCalls(target *balance.Target) bool {
	state := target.Endpoint.GetState()
	return state == lapisv1.Endpoint_STATE_READY || state == lapisv1.Endpoint_STATE_SUSPECT
}
