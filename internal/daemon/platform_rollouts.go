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

// restingTick is how often a daemon looks at orders that have ended: nothing of them is urgent, and
// instances of a version that gets no calls may become the only ones.
const restingTick = time.Second

// rollouts is a daemon's part in roll-outs. It implements fleet.RolloutObserver, rollout.Links and
// rollout.Instances.
type rollouts struct {
	part   *platformDistribution
	runner *rollout.Runner

	// newest gives the revision of the newest state known of each order's object, by its name;
	// ordersState.mutex protects it.
	newest map[string]uint64
	// linked are the orders for which links to deciders are kept, probed the daemons beside the
	// instances that are probed for them; run owns both.
	linked []rollout.Identity
	probed []string

	// mutex protects what is below: heard is the incarnation of each daemon from which a word came
	// last, newcomers holds back the instances beside this daemon.
	mutex     sync.Mutex
	heard     map[string]uint64
	newcomers rollout.Newcomers
}

// newRollouts returns the daemon's part in roll-outs, nil where operators order none.
func newRollouts(p *platformDistribution, incarnation uint64) *rollouts {
	values := p.path.settings.Load()
	if !values.Rollouts.On() {
		return nil
	}
	part := &rollouts{
		part: p, newest: map[string]uint64{}, heard: map[string]uint64{},
		newcomers: rollout.Newcomers{Longest: values.Platform.ApplyBound.Get()},
	}
	part.runner = rollout.NewRunner(rollout.RunnerConfig{
		Node: values.Node, Incarnation: incarnation, Store: p.platform.Rollouts(), Links: part, Instances: part,
		ExposureShare: values.Rollouts.ExposureShare, Logger: p.path.logger, Now: time.Now,
	})
	return part
}

// trafficOf returns how the request path finds the roll-out of a service, nil where operators order
// none.
func trafficOf(d *Daemon) func(service string) *rollout.Traffic {
	if !d.settings.Load().Rollouts.On() {
		return nil
	}
	return func(service string) *rollout.Traffic {
		part, onPlatform := d.distribution.(*platformDistribution)
		if !onPlatform {
			return nil
		}
		return part.rollouts.runner.Traffic(service)
	}
}

// observer returns what receives other daemons' words, nil where there are no roll-outs.
func (r *rollouts) observer() fleet.RolloutObserver {
	if r == nil {
		return nil
	}
	return r
}

// run decides until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	ticker := time.NewTicker(rollout.TickEvery)
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

// decide decides if it is time to, and returns when that was last done.
func (r *rollouts) decide(ctx context.Context, now, decided time.Time) time.Time {
	running := r.runner.Running()
	if !r.runner.Idle() && (len(running) > 0 || now.Sub(decided) >= restingTick) {
		r.runner.Tick(ctx)
		running, decided = r.runner.Running(), now
	}
	r.linkToDeciders(running)
	return decided
}

// linkToDeciders keeps links to the daemons that decide, so that these are in touch with all, and to
// those beside the instances that are probed.
func (r *rollouts) linkToDeciders(running []rollout.Identity) {
	probed := r.runner.ProbedNodes()
	if slices.Equal(running, r.linked) && slices.Equal(probed, r.probed) {
		return
	}
	r.linked, r.probed = running, probed
	rankings := make([]fleet.Ranking, 0, len(running))
	for _, order := range running {
		rankings = append(rankings, order.Rank)
	}
	r.part.fleet.LinkToFirst(rankings, rollout.Deciders, probed)
}

// ordered takes in the orders that the set now in force states; ordersState.mutex is held. A set
// from before the newest state known of an order's object says nothing of its end.
func (r *rollouts) ordered(now *orders.Set) {
	stated := map[string]bool{}
	for _, message := range now.Rollouts() {
		stated[message.GetName()] = true
		r.newest[message.GetName()] = max(message.GetRevision(), r.newest[message.GetName()])
		order := rollout.OrderOf(message)
		r.runner.Ordered(message.GetName(), &order)
	}
	for name, revision := range r.newest {
		if !stated[name] && now.Revision() > revision {
			delete(r.newest, name)
			r.runner.Ordered(name, nil)
		}
	}
}

// admit returns the instances beside this daemon that others may be told of.
func (r *rollouts) admit(endpoints []*lapisv1.Endpoint) []*lapisv1.Endpoint {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	around := rollout.Surroundings{
		Versions: r.versions, Ordered: r.runner.Names, Confirmed: r.part.freshness.Confirmed(),
	}
	return r.newcomers.Admit(endpoints, around, time.Now())
}

// versions returns the versions of the instances known of a service.
func (r *rollouts) versions(service string) map[string]bool {
	versions := map[string]bool{}
	for _, endpoint := range r.part.fleet.Endpoints(service) {
		versions[endpoint.GetVersion()] = true
	}
	return versions
}

// releaseNewcomers tells others of the instances that need not be held back any more.
func (r *rollouts) releaseNewcomers() {
	r.mutex.Lock()
	holding := r.newcomers.Holding()
	r.mutex.Unlock()
	if holding {
		r.part.SetLocalEndpoints(r.part.path.origin.Advertised())
	}
}

// Word implements fleet.RolloutObserver. What an earlier incarnation of the daemon said holds no
// more.
func (r *rollouts) Word(message *lapisv1.RolloutWord) {
	word := rollout.WordOf(message)
	r.mutex.Lock()
	before, known := r.heard[word.Node]
	r.heard[word.Node] = word.Incarnation
	r.mutex.Unlock()
	if known && before != word.Incarnation {
		r.runner.Lost(word.Node)
	}
	r.runner.Heard(word)
}

// Report implements fleet.RolloutObserver.
func (r *rollouts) Report(message *lapisv1.RolloutReport) {
	report, err := rollout.ReportOf(message)
	if err != nil {
		r.part.path.logger.Error(err, "rollout.report_refused", "member", message.GetNode())
		return
	}
	r.runner.Reported(message.GetService(), report)
}

// Unlinked implements fleet.RolloutObserver.
func (r *rollouts) Unlinked(node string) {
	r.mutex.Lock()
	delete(r.heard, node)
	r.mutex.Unlock()
	r.runner.Lost(node)
}

// Members implements rollout.Links.
func (r *rollouts) Members() []string { return r.part.fleet.InTouch() }

// Known implements rollout.Links.
func (r *rollouts) Known() int { return r.part.fleet.Running() }

// Serving implements rollout.Links.
func (r *rollouts) Serving(service string) int { return r.part.fleet.Serving(service) }

// Spread implements rollout.Links.
func (r *rollouts) Spread(word rollout.Word, nodes []string) {
	r.part.fleet.SpreadWord(rollout.WordMessage(word), nodes)
}

// Tell implements rollout.Links.
func (r *rollouts) Tell(node, service string, report rollout.Report) {
	r.part.fleet.TellReport(node, rollout.ReportMessage(service, report))
}

// Of implements rollout.Instances. Those of evacuated zones are among them; those out of reach count
// as cold, so that they are not probed.
func (r *rollouts) Of(service string) (endpoints []*lapisv1.Endpoint, cold func(*lapisv1.Endpoint) bool) {
	now := time.Now()
	warm := map[string]bool{}
	for _, target := range r.part.path.balancer.Targets(service) {
		if !mayGetCalls(target) {
			continue
		}
		endpoints = append(endpoints, target.Endpoint)
		warm[target.Endpoint.GetInstance()] = target.Endpoint.GetState() == lapisv1.Endpoint_STATE_READY && !target.Cold(now)
	}
	return endpoints, func(endpoint *lapisv1.Endpoint) bool { return !warm[endpoint.GetInstance()] }
}

// mayGetCalls reports whether an instance is there and does not leave.
func mayGetCalls(target *balance.Target) bool {
	state := target.Endpoint.GetState()
	return state == lapisv1.Endpoint_STATE_READY || state == lapisv1.Endpoint_STATE_SUSPECT
}
