package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/balance"
	"github.com/lapisvane/lapisvane/internal/fleet"
	"github.com/lapisvane/lapisvane/internal/orders"
	"github.com/lapisvane/lapisvane/internal/rollout"
)

// restingTick is how often a daemon looks at orders that have ended: nothing of them is
// urgent, and instances of a version that gets no calls may become the only ones.
const restingTick = time.Second

// rollouts is a daemon's part in roll-outs. It implements fleet.RolloutObserver,
// rollout.Links and rollout.Instances.
type rollouts struct {
	part   *direct
	runner *rollout.Runner
	// created gives the revision at which each order's object came to be, by its name;
	// ordersPart.mutex protects it.
	created map[string]uint64

	// mutex protects heard, the incarnation of each daemon from which a word came last.
	mutex sync.Mutex
	heard map[string]uint64
}

// joinRollouts makes the daemon follow roll-outs where operators order any.
func (p *direct) joinRollouts() {
	config := p.daemon.settings.Load()
	if !config.Rollouts.On() {
		return
	}
	part := &rollouts{part: p, created: map[string]uint64{}, heard: map[string]uint64{}}
	part.runner = rollout.NewRunner(rollout.RunnerConfig{
		Node: config.Node, Incarnation: p.daemon.incarnation, Store: p.platform.Rollouts(), Links: part, Instances: part,
		ExposureShare: config.Rollouts.ExposureShare, Logger: p.daemon.logger, Now: time.Now,
	})
	p.rollouts = part
}

// rolloutObserver returns who hears what others say of roll-outs, nil where operators
// order none.
func (p *direct) rolloutObserver() fleet.RolloutObserver {
	if p.rollouts == nil {
		return nil
	}
	return p.rollouts
}

// trafficOf returns how the request path asks about roll-outs, nil where operators order
// none.
func (d *Daemon) trafficOf() func(service string) *rollout.Traffic {
	if !d.settings.Load().Rollouts.On() {
		return nil
	}
	return d.traffic
}

// traffic returns what the request path asks about a service's roll-out, nil where there
// is none.
func (d *Daemon) traffic(service string) *rollout.Traffic {
	if d.direct == nil || d.direct.rollouts == nil {
		return nil
	}
	return d.direct.rollouts.runner.Traffic(service)
}

// run decides until ctx ends. While a roll-out goes on all daemons hear each other.
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
		}
	}
}

// decide decides if it is time to, and returns when that was last done. Whether all must
// hear each other is known only after that: an order may have ended before this daemon
// started.
func (r *rollouts) decide(ctx context.Context, now, decided time.Time) time.Time {
	busy := r.runner.Busy()
	if !r.runner.Idle() && (busy || now.Sub(decided) >= restingTick) {
		r.runner.Tick(ctx)
		busy, decided = r.runner.Busy(), now
	}
	r.part.fleet.ReachAll(busy)
	return decided
}

// ordered takes in the orders that the set now in force states; ordersPart.mutex is
// held. A set from before an order's object came to be says nothing of that.
func (r *rollouts) ordered(now *orders.Set) {
	stated := map[string]bool{}
	for _, message := range now.Rollouts() {
		stated[message.GetName()] = true
		r.created[message.GetName()] = max(message.GetCreated(), r.created[message.GetName()])
		order := rollout.OrderOf(message)
		r.runner.Ordered(message.GetName(), &order)
	}
	for name, created := range r.created {
		if !stated[name] && now.Revision() > created {
			delete(r.created, name)
			r.runner.Ordered(name, nil)
		}
	}
}

// Word implements fleet.RolloutObserver. What an earlier incarnation of the daemon said
// holds no more.
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
		r.part.daemon.logger.Error(err, "rollout.report_refused", "member", message.GetNode())
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

// Spread implements rollout.Links.
func (r *rollouts) Spread(word rollout.Word) { r.part.fleet.SpreadWord(rollout.WordMessage(word)) }

// Tell implements rollout.Links.
func (r *rollouts) Tell(node, service string, report rollout.Report) {
	r.part.fleet.TellReport(node, rollout.ReportMessage(service, report))
}

// Of implements rollout.Instances. Those of evacuated zones are among them; those out of
// reach count as cold, so that they are not probed.
func (r *rollouts) Of(service string) (endpoints []*lapisv1.Endpoint, cold func(*lapisv1.Endpoint) bool) {
	now := time.Now()
	warm := map[string]bool{}
	for _, target := range r.part.daemon.balancer.Targets(service) {
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
