package daemon

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/daemon/settings"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Times of the end of calls at a planned stop.
const (
	// inFlightPoll is how often a stopping daemon counts its calls in flight. It is well below
	// answersDrain and cutAnswers.
	inFlightPoll = 20 * time.Millisecond
	// cutAnswers bounds how long the answers of cut calls may take to be written. It is above a few
	// ways of the network, 40 ms between regions.
	cutAnswers = 300 * time.Millisecond
)

// forcedCause is the cause of calls that are cut because the daemon is told to end at once.
const forcedCause = "told to end at once"

// requestPath is what carries calls: from callers to instances of any machine, and from
// other daemons to the instances beside this one.
type requestPath struct {
	settings  *atomic.Pointer[settings.Daemon]
	logger    logr.Logger
	snapshots *snapshot.Store
	balancer  *balance.Balancer
	origin    *origin.Origin
	calls     *callmux.Client
	// callServer serves the calls of other daemons.
	callServer *callmux.Server
	gateway    *gateway.Gateway
	suspects   *suspects
	// rateLimits is nil where none are kept.
	rateLimits *rateLimits
	// orders are the operators' orders in force; always empty where none are given.
	orders *orders.Current
	// killedByForce is that of the daemon's Options.
	killedByForce bool
}

// newRequestPath builds the parts of the request path; none of them runs yet. The changes
// that it passes to d.distribution come only after d runs.
func newRequestPath(d *Daemon, network wire.Network, mode mode) *requestPath {
	values := d.settings.Load()
	decisions := decision.New(d.logger, values.DecisionLinesPerSecond, time.Now)
	announce := func() { d.distribution.SetLocalEndpoints(d.path.origin.Advertised()) }
	spread := func(records []quarantine.Record, from string) { d.distribution.SpreadSuspects(records, from) }
	p := &requestPath{
		settings: &d.settings, logger: d.logger,
		snapshots: &snapshot.Store{}, orders: &orders.Current{},
		balancer: balance.New(values.Node, values.Zone, values.Region, time.Now),
		suspects: newSuspects(d.logger, mode.quarantineStore, spread),
	}
	p.rateLimits = newRateLimits(values.RateLimits, p.snapshots)
	p.origin = origin.New(origin.Config{
		Backends: backendsOf(values), Crashes: p.suspects,
		QueueLength: values.Calls.QueueLength, QueueTime: values.Calls.QueueTime.Get(),
		Envelope: mode.envelope, Changed: announce, Decisions: decisions, Logger: d.logger, Region: values.Region,
		Cold: origin.ColdBound{Overshoot: values.ColdStarts.Overshoot, Allowance: values.ColdStarts.Slack},
	})
	p.calls = &callmux.Client{
		Network: network, Counters: d.callCounters, Timing: mode.timing, Maintained: mode.maintained,
		Hello: &lapisv1.Hello{
			ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS,
			Node: values.Node, Incarnation: mode.incarnation, Zone: values.Zone, Region: values.Region,
			Address: d.listeners.peer.Addr().String(), Service: values.Service,
		},
	}
	p.callServer = &callmux.Server{
		Node: values.Node, Incarnation: mode.incarnation, Origin: p.origin, Counters: d.callCounters, Timing: p.calls.Timing,
	}
	p.gateway = gateway.New(gateway.Config{
		Node: values.Node, Incarnation: mode.incarnation, Snapshots: p.snapshots, Balancer: p.balancer,
		Local: p.origin, Remote: p.calls, DefaultDeadline: values.Calls.DefaultDeadline.Get(),
		Envelope: mode.envelope, CallerService: p.callerService, Retries: retryLimits(values.Retries),
		Decisions: decisions, Registry: d.registry, RepeatShare: p.origin.RepeatShare, Evacuated: p.orders.Evacuated,
		SentAhead: sentAhead(values.SentAhead), Quarantine: p.suspects, Identity: mode.identity,
		Quota: p.rateLimits.quota(), Rollout: trafficOf(d),
	})
	return p
}

// backendsOf returns the back ends that the settings name.
func backendsOf(values *settings.Daemon) []origin.BackendConfig {
	backends := make([]origin.BackendConfig, 0, len(values.Backends))
	for _, backend := range values.Backends {
		backends = append(backends, origin.BackendConfig{Service: backend.Service, Instance: backend.Instance, Address: backend.Address})
	}
	return backends
}

func sentAhead(bounds settings.SentAhead) pipeline.Limits {
	return pipeline.Limits{
		RequestsPerConnection: bounds.RequestsPerConnection, RequestsAhead: bounds.Requests,
		BytesPerConnection: bounds.BytesPerConnection, Bytes: bounds.Bytes,
	}
}

func retryLimits(retries settings.Retries) retry.Limits {
	if retries == (settings.Retries{}) {
		return retry.DefaultLimits
	}
	return retry.Limits{Fraction: retries.Fraction, Burst: retries.Burst, Shared: true}
}

// callerService returns the service that runs on this machine.
func (p *requestPath) callerService() string {
	if service := p.settings.Load().Service; service != "" {
		return service
	}
	return p.origin.LocalService()
}

// revision returns the configuration revision in force, 0 before the first.
func (p *requestPath) revision() uint64 {
	if current := p.snapshots.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// inFlight returns the number of calls of callers and at instances that are not over.
func (p *requestPath) inFlight() int64 {
	return p.gateway.InFlight() + int64(p.origin.InFlight())
}

// serving returns the number of calls of callers and at instances that would be cut.
func (p *requestPath) serving() int64 {
	return p.gateway.Serving() + int64(p.origin.InFlight())
}

// settled reports whether the end of the process would take nothing away: no call is in flight, none
// is coming in, and no answer that was written is still on its way to its caller. Any further byte of that
// caller would make the kernel drop such an answer once the process is gone: 6 of 400 kB arrived
// (TestAnswersAreReadBeforeTheProcessEnds).
func (p *requestPath) settled() bool {
	return p.inFlight() == 0 && p.callersSettled() && p.callServer.Undelivered() == 0
}

// logStopped logs what the end of the process takes away.
func (p *requestPath) logStopped(cut int64) {
	p.logger.Info("daemon.stopped", "cut", cut, "open", p.gateway.InFlight(), "undelivered", p.gateway.Undelivered(),
		"undelivered_to_daemons", p.callServer.Undelivered(), "unserved", p.gateway.Unserved())
}

// endByForce ends the calls in flight because the daemon is told to end at once.
func (p *requestPath) endByForce() (cut int64) {
	if p.killedByForce {
		p.gateway.Close()
		return p.inFlight()
	}
	return p.endCalls(forcedCause)
}

// endCalls cuts the calls in flight and waits until their callers have the answers: from a closed
// connection they could not tell whether the call ran.
func (p *requestPath) endCalls(cause string) (cut int64) {
	p.gateway.Stop()
	if cut = p.serving(); cut > 0 {
		p.logger.Info("daemon.calls_cut", "calls", cut, "cause", cause)
	}
	p.gateway.StopAccepting()
	p.gateway.Cut()
	// Else a call would last as long as the writing to a daemon that reads nothing.
	p.calls.Close()
	limit := time.NewTimer(cutAnswers)
	defer limit.Stop()
	poll := time.NewTicker(inFlightPoll)
	defer poll.Stop()
	for !p.callersSettled() {
		select {
		case <-limit.C:
			return cut
		case <-poll.C:
		}
	}
	return cut
}

// callersSettled is settled for callers alone: the calls of other daemons are theirs to answer.
func (p *requestPath) callersSettled() bool {
	return p.gateway.InFlight() == 0 && p.gateway.Undelivered() == 0 && p.gateway.Receiving() == 0
}

// stopLimitCause is the cause of calls that are cut when the time of a stop is over.
func (p *requestPath) stopLimitCause() string {
	return "stop_limit " + p.settings.Load().StopLimit.Get().String()
}
