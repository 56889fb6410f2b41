package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/rollout"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// Limits and timeouts of callers' connections.
const (
	// maxHeaderBytes and maxBodyBytes are the maximum sizes of a request's head and body in bytes. The
	// configuration may set lower limits.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 1 << 30
	// maxRequestLineBytes is the part of a head that the configuration's limit for header fields leaves
	// to the request line. RFC 9112, section 3, asks for at least 8,000 bytes.
	maxRequestLineBytes = 8 << 10
	// callerIdleTimeout bounds the time between two requests of a connection, headerTimeout the time
	// for the head of a request, and bodyIdleTimeout a pause of the caller within a body. headerTimeout
	// and bodyIdleTimeout must be less than callerIdleTimeout. The configuration may set a lower
	// headerTimeout.
	callerIdleTimeout = 75 * time.Second
	headerTimeout     = 30 * time.Second
	bodyIdleTimeout   = time.Minute
	// lingerTimeout bounds the time for which input is discarded after the last answer of a
	// connection. Without it, a connection reset could make the caller lose that answer.
	lingerTimeout = time.Second
	// configurationTimeout bounds the time for which a call to a newly started daemon waits for the
	// configuration. After a loss of all daemons the configuration is available less than a second after
	// a start. It must be less than refusal.DefaultRetryAfter: a refused caller stays away longer.
	configurationTimeout = 400 * time.Millisecond
)

// DefaultInputBytes is the size in bytes of the budget for input that callers have not completed. 4,000
// connections that each send a head of 16 KB, a common limit, stay below it.
const DefaultInputBytes = 64 << 20

// Config configures a Gateway.
type Config struct {
	// Node is the name of this daemon, and Incarnation the number of its current start; together they
	// are unique.
	Node        string
	Incarnation uint64
	Snapshots   *snapshot.Store
	Balancer    *balance.Balancer
	// Local handles calls to instances beside this daemon, Remote calls to instances beside other
	// daemons.
	Local  callapi.Handler
	Remote Remote
	// Envelope contains the names of the header fields; the zero value stands for the default names.
	Envelope callapi.Envelope
	// CallerService returns the name of the service on this machine, which is stated in the opening of
	// calls; nil if there is none.
	CallerService func() string
	// Retries bound the retries of each service; the zero value stands for the default.
	Retries retry.Limits
	// RepeatFraction returns the fraction, 0 to 1, of the calls running on this machine that are
	// repeats; nil if that is not known.
	RepeatFraction func() float64
	// DefaultDeadline is the deadline of calls whose route sets none; 0 for no deadline.
	DefaultDeadline time.Duration
	// Evacuated reports whether a zone is evacuated; nil if zones are never evacuated.
	Evacuated func(zone string) bool
	// Rollout returns the traffic counters of a service's roll-out, or nil for a service without one.
	// The function is nil if roll-outs are not in use.
	Rollout func(service string) *rollout.Traffic
	// Quarantine holds back requests that made instances crash; nil disables it.
	Quarantine Quarantine
	// Identity configures the checks of API keys.
	Identity Identity
	// Quota limits the calls of accounts; nil for no limit.
	Quota Quota
	// PipelineLimits limits the resources held for pipelined requests; the zero value stands for the
	// default limits.
	PipelineLimits pipeline.Limits
	// InputMemory is the budget for input that callers have not completed; nil for one of
	// DefaultInputBytes.
	InputMemory *httpinput.Memory
	// MaxConnections is the maximum number of callers' connections; 0 for no limit.
	MaxConnections int
	// Decisions receives the log lines about requests and Registry the metrics; either may be nil.
	Decisions *decision.Log
	Registry  prometheus.Registerer
}

// Gateway serves callers. Create it with New, serve with Serve. Its methods are safe for
// concurrent use.
type Gateway struct {
	config         Config
	retryBudget    *retry.Budget
	answerSizes    answerSizes
	usualDeadlines usualDeadlines
	heldBodies     heldBodies
	metrics        gatewayMetrics
	attemptPrefix  string
	attemptCount   atomic.Uint64
	callerServer   *pipeline.Server
	// unknownKeyWaits counts the requests with an unknown key that wait for a newer configuration.
	unknownKeyWaits atomic.Int64

	// stopping is true once callers' connections are closed after their next answer, refusing
	// once new calls are refused.
	stopping, refusing atomic.Bool
	// serving counts the accepted calls that have not ended. Calls refused because of a stop are not
	// counted.
	serving atomic.Int64
	// stopAccepting cancels acceptContext, which closes the listeners for callers.
	acceptContext context.Context
	stopAccepting context.CancelFunc
	// listenersMutex protects listeners, the listeners for callers.
	listenersMutex sync.Mutex
	listeners      []net.Listener
	// drainDeadline is the time by which a draining gateway must have written its answers; nil while
	// it is not draining.
	drainDeadline atomic.Pointer[time.Time]
	// cancelCalls cancels callsContext and thereby all calls in flight.
	callsContext context.Context
	cancelCalls  context.CancelFunc
}

// New returns a gateway and registers its metrics. It starts no goroutines.
func New(config Config) *Gateway {
	if config.Envelope == (callapi.Envelope{}) {
		config.Envelope = callapi.DefaultEnvelope
	}
	if config.Retries == (retry.Limits{}) {
		config.Retries = retry.DefaultLimits
	}
	if config.InputMemory == nil {
		config.InputMemory = httpinput.NewMemory(DefaultInputBytes)
	}
	gateway := &Gateway{
		config: config, retryBudget: retry.NewBudget(config.Retries),
		attemptPrefix: fmt.Sprintf("%s/%x/", config.Node, config.Incarnation),
		metrics:       newMetrics(config.Registry),
	}
	gateway.callerServer = pipeline.New(pipeline.Config{
		HeadLimits: gateway.headLimits, MaxBodyBytes: maxBodyBytes, MaxBufferedBodyBytes: callmux.MaxBufferedBodyBytes,
		InputMemory: config.InputMemory, IdleTimeout: callerIdleTimeout, BodyIdleTimeout: bodyIdleTimeout, LingerTimeout: lingerTimeout,
		Limits: config.PipelineLimits, Check: gateway.checkHead, Handle: gateway.serve, Stopping: gateway.stopping.Load,
		OnUnserved: gateway.recordUnserved, MaxConnections: config.MaxConnections, OnConnectionLimit: gateway.recordConnectionLimit,
	})
	gateway.acceptContext, gateway.stopAccepting = context.WithCancel(context.Background())
	gateway.callsContext, gateway.cancelCalls = context.WithCancel(context.Background())
	return gateway
}

// ShareRetries sets the number of daemons among which the capacity of the retry budgets is divided.
func (g *Gateway) ShareRetries(daemons int) { g.retryBudget.ShareAmong(daemons) }

// LimitRetries replaces the retry limits; the retries saved in the budgets are kept.
func (g *Gateway) LimitRetries(limits retry.Limits) { g.retryBudget.SetLimits(limits) }

func (g *Gateway) callerService() string {
	if g.config.CallerService == nil {
		return ""
	}
	return g.config.CallerService()
}

// inheritsRepeat decides at random whether a call from this machine counts as a repeat. A request does
// not show which run at the local instance caused it, so the probability is the fraction of those runs
// that are repeats. Calls to the instance's own service count as calls of external clients, since an
// instance rarely calls its own service.
func (g *Gateway) inheritsRepeat(service string) bool {
	if g.config.RepeatFraction == nil || service == g.callerService() {
		return false
	}
	return rand.Float64() < g.config.RepeatFraction()
}
