package daemon

import (
	"math/rand/v2"
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
	"github.com/lapisvane/lapisvane/internal/requestpath/departure"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Intervals and timeouts for finishing calls at a planned stop.
const (
	// inFlightPollInterval is the interval at which a stopping daemon counts its calls in flight. It is
	// well below answerDrainTime and cutAnswerTimeout.
	inFlightPollInterval = 20 * time.Millisecond
	// cutAnswerTimeout bounds the time for writing the answers of cut calls. It is above a few one-way
	// network delays, 40 ms between regions.
	cutAnswerTimeout = 300 * time.Millisecond
)

// forcedCause is the cause logged for calls that are cut by a forced stop.
const forcedCause = "told to end at once"

// requestPath holds the components that carry calls: from local callers to instances on any machine,
// and from other daemons to the local instances.
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
	// rateLimits is nil if the settings configure no rate limits.
	rateLimits *rateLimits
	// history knows the departures of earlier processes; nil if none are stored.
	history *departure.History
	// orders holds the operators' orders in force. It stays empty if orders are disabled.
	orders *orders.Current
	// killedByForce is Options.SimulateKill.
	killedByForce bool
}

// newRequestPath assembles the request path without starting it. Its callbacks use d.distribution,
// which is set later; they are not called before d runs.
func newRequestPath(d *Daemon, network wire.Network, mode mode) *requestPath {
	values := d.settings.Load()
	decisions := decision.New(d.logger, values.DecisionLinesPerSecond, time.Now)
	announce := func() { d.distribution.AnnounceEndpoints() }
	spread := func(records []quarantine.Record, from string) { d.distribution.SpreadSuspects(records, from) }
	p := &requestPath{
		settings: &d.settings, logger: d.logger,
		snapshots: &snapshot.Store{}, orders: &orders.Current{},
		balancer: balance.New(values.Node, values.Zone, values.Region, time.Now),
		suspects: newSuspects(d.logger, mode.quarantineStore, spread),
	}
	p.rateLimits = newRateLimits(values.RateLimits, p.snapshots)
	if mode.departures != nil {
		p.history = departure.NewHistory(values.Node, mode.departures, rand.Float64, d.logger)
	}
	p.origin = origin.New(origin.Config{
		Backends: backendsOf(values), Crashes: p.suspects, Departures: mode.departures, History: p.history,
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
		Decisions: decisions, Registry: d.registry, RepeatFraction: p.origin.RepeatShare, Evacuated: p.orders.Evacuated,
		PipelineLimits: sentAhead(values.SentAhead), Quarantine: p.suspects, Identity: mode.identity,
		InputMemory: httpinput.NewMemory(inputBytes(values)), MaxConnections: maxCallerConnections(values, descriptorLimit()),
		Quota: p.rateLimits.quota(), Rollout: trafficOf(d),
	})
	return p
}

// backendsOf converts the back ends in the settings.
func backendsOf(values *settings.Daemon) []origin.BackendConfig {
	backends := make([]origin.BackendConfig, 0, len(values.Backends))
	for _, backend := range values.Backends {
		backends = append(backends, origin.BackendConfig{Service: backend.Service, Instance: backend.Instance, Address: backend.Address})
	}
	return backends
}

func sentAhead(bounds settings.SentAhead) pipeline.Limits {
	return pipeline.Limits{
		RequestsPerConnection: bounds.RequestsPerConnection, PipelinedRequests: bounds.Requests,
		BytesPerConnection: bounds.BytesPerConnection, TotalBytes: bounds.Bytes,
	}
}

func retryLimits(retries settings.Retries) retry.Limits {
	if retries == (settings.Retries{}) {
		return retry.DefaultLimits
	}
	return retry.Limits{Fraction: retries.Fraction, Burst: retries.Burst, Shared: true, Window: retries.Window.Get()}
}

// callerService returns the service of this machine, which is named as the caller in calls from here.
func (p *requestPath) callerService() string {
	if service := p.settings.Load().Service; service != "" {
		return service
	}
	return p.origin.LocalService()
}

// revision returns the configuration revision in force, or 0 if there is none yet.
func (p *requestPath) revision() uint64 {
	if current := p.snapshots.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// inFlight returns the number of unfinished calls, from callers and at local instances.
func (p *requestPath) inFlight() int64 {
	return p.gateway.InFlight() + int64(p.origin.InFlight())
}

// serving returns the number of calls, from callers and at local instances, that a stop would cut.
func (p *requestPath) serving() int64 {
	return p.gateway.Serving() + int64(p.origin.InFlight())
}

// drained reports whether the process can end without losing calls or answers: no call is in flight
// or being received, and every written answer is acknowledged. If a caller sends anything after the
// process has ended, the kernel drops the unsent rest of its answer: 6 kB of 400 kB arrived
// (TestAnswersAreReadBeforeTheProcessEnds).
func (p *requestPath) drained() bool {
	return p.inFlight() == 0 && p.callersDrained() && p.callServer.Undelivered() == 0
}

// logStopped logs the number of calls cut and of unfinished requests and answers at the end of the
// process.
func (p *requestPath) logStopped(cut int64) {
	p.logger.Info("daemon.stopped", "cut", cut, "open", p.gateway.InFlight(), "undelivered", p.gateway.UndeliveredConnections(),
		"undelivered_to_daemons", p.callServer.Undelivered(), "unserved", p.gateway.UnservedConnections())
}

// forceStop stops the request path at once: it aborts the calls in flight and returns their number. Their
// callers get answers (see endCalls), unless the stop simulates a kill (killedByForce).
func (p *requestPath) forceStop() (cut int64) {
	if p.killedByForce {
		p.gateway.Close()
		return p.inFlight()
	}
	return p.endCalls(forcedCause)
}

// endCalls cuts the calls in flight and waits, at most cutAnswerTimeout, until their callers have the
// answers. Without an answer a caller could not determine whether its call ran.
func (p *requestPath) endCalls(cause string) (cut int64) {
	p.gateway.Stop()
	if cut = p.serving(); cut > 0 {
		p.logger.Info("daemon.calls_cut", "calls", cut, "cause", cause)
	}
	p.gateway.StopAccepting()
	p.gateway.CancelCalls()
	// Close the connections to other daemons, otherwise a call would last until the write to a daemon
	// that does not read times out.
	p.calls.Close()
	limit := time.NewTimer(cutAnswerTimeout)
	defer limit.Stop()
	poll := time.NewTicker(inFlightPollInterval)
	defer poll.Stop()
	for !p.callersDrained() {
		select {
		case <-limit.C:
			return cut
		case <-poll.C:
		}
	}
	return cut
}

// callersDrained is like drained, but only for local callers. The callers of calls from other daemons
// are answered by those daemons.
func (p *requestPath) callersDrained() bool {
	return p.gateway.InFlight() == 0 && p.gateway.UndeliveredConnections() == 0 && p.gateway.ReceivingConnections() == 0
}

// stopLimitCause returns the cause logged for calls that are cut when StopLimit expires.
func (p *requestPath) stopLimitCause() string {
	return "stop_limit " + p.settings.Load().StopLimit.Get().String()
}
