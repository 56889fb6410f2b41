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
)

// Bounds of the callers' side.
const (
	// maxHeaderBytes and maxBodyBytes are the longest head and body of a request in bytes, where
	// the configuration allows no less.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 1 << 30
	// callerIdle is how long a caller's connection may rest between requests, headTimeout how long
	// the head of a request may take, and bodyIdle how long a caller may pause within its body. A
	// head and a pause take less than an idle time.
	callerIdle  = 75 * time.Second
	headTimeout = 30 * time.Second
	bodyIdle    = time.Minute
	// lingerTime is how long what a caller still sends is read after the last answer of its
	// connection, so that a reset does not take the answer away.
	lingerTime = time.Second
	// configurationPatience is how long a call to a daemon that has just started waits for the
	// configuration. After a loss of all daemons that is in force less than a second after a start; a
	// refused caller stays away longer.
	configurationPatience = 400 * time.Millisecond
)

// Config configures a Gateway.
type Config struct {
	// Node names this daemon, and Incarnation this start of it; together they are unique.
	Node        string
	Incarnation uint64
	Snapshots   *snapshot.Store
	Balancer    *balance.Balancer
	// Local serves calls for instances beside this daemon, Remote those beside others.
	Local  callapi.Handler
	Remote Remote
	// Envelope names the header fields; the zero value stands for the default.
	Envelope callapi.Envelope
	// CallerService returns the service of this machine, for the opening of calls; nil for none.
	CallerService func() string
	// Retries bound the retries of each service; the zero value stands for the default.
	Retries retry.Limits
	// RepeatShare returns the share, 0 to 1, of the calls running on this machine that are
	// repeats; nil where that is not known.
	RepeatShare func() float64
	// DefaultDeadline bounds calls whose route names none; 0 for no bound.
	DefaultDeadline time.Duration
	// Evacuated reports whether a zone is evacuated; nil where none ever is.
	Evacuated func(zone string) bool
	// Rollout returns what counts the calls of a service's roll-out, nil for a service without
	// one; nil itself where operators order no roll-outs.
	Rollout func(service string) *rollout.Traffic
	// Quarantine holds back requests under which instances crashed; nil for none.
	Quarantine Quarantine
	// Identity decides on API keys.
	Identity Identity
	// Quota bounds the calls of accounts; nil for no bound.
	Quota Quota
	// SentAhead bounds what is held for requests that callers send ahead of earlier answers; the
	// zero value stands for the default.
	SentAhead pipeline.Limits
	// Decisions receives the lines about requests, Registry the metrics; nil for none.
	Decisions *decision.Log
	Registry  prometheus.Registerer
}

// Gateway serves callers. Create it with New, serve with Serve. Its methods are safe for
// concurrent use.
type Gateway struct {
	config        Config
	budget        *retry.Budget
	sizes         answerSizes
	deadlines     usualDeadlines
	heldBodies    heldBodies
	metrics       gatewayMetrics
	attemptPrefix string
	attempts      atomic.Uint64
	callers       *pipeline.Server
	// awaitingKeys counts the requests that wait for a newer configuration with an unknown key.
	awaitingKeys atomic.Int64

	// stopping is true once callers' connections are closed after their next answer, refusing
	// once new calls are refused.
	stopping, refusing atomic.Bool
	// serving counts the calls that were not refused because of a stop and are not over.
	serving atomic.Int64
	// stopAccepting ends accepting, and with it the listeners for callers.
	accepting     context.Context
	stopAccepting context.CancelFunc
	// listening protects listeners, those for callers.
	listening sync.Mutex
	listeners []net.Listener
	// answerBy is when the answers of a draining gateway must be written; nil while it does not
	// drain.
	answerBy atomic.Pointer[time.Time]
	// cutAll ends cut, and with it the calls in flight.
	cut    context.Context
	cutAll context.CancelFunc
}

// New returns a gateway. It registers its metrics and starts nothing.
func New(config Config) *Gateway {
	if config.Envelope == (callapi.Envelope{}) {
		config.Envelope = callapi.DefaultEnvelope
	}
	if config.Retries == (retry.Limits{}) {
		config.Retries = retry.DefaultLimits
	}
	gateway := &Gateway{
		config: config, budget: retry.NewBudget(config.Retries),
		attemptPrefix: fmt.Sprintf("%s/%x/", config.Node, config.Incarnation),
		metrics:       newMetrics(config.Registry),
	}
	gateway.callers = pipeline.New(pipeline.Config{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, MaxBufferedBodyBytes: callmux.BufferedBodyBytes,
		IdleTimeout: callerIdle, HeaderTimeout: headTimeout, BodyIdleTimeout: bodyIdle, LingerTimeout: lingerTime,
		Limits: config.SentAhead, Check: gateway.checkHead, Handle: gateway.serve, Stopping: gateway.stopping.Load,
		OnUnserved: gateway.noteUnserved,
	})
	gateway.accepting, gateway.stopAccepting = context.WithCancel(context.Background())
	gateway.cut, gateway.cutAll = context.WithCancel(context.Background())
	return gateway
}

// ShareRetries sets the number of daemons that share the capacity of the retry budgets.
func (g *Gateway) ShareRetries(daemons int) { g.budget.ShareAmong(daemons) }

// LimitRetries replaces the limits of retries; what was saved up stays.
func (g *Gateway) LimitRetries(limits retry.Limits) { g.budget.SetLimits(limits) }

func (g *Gateway) callerService() string {
	if g.config.CallerService == nil {
		return ""
	}
	return g.config.CallerService()
}

// inheritsRepeat draws whether a call from this machine counts as a repeat. A request does not
// show for which run at the instance here it is made, so that it counts as often as the runs here
// are repeats. Calls of the instance's own service count as those of clients, since an instance
// hardly calls its own service.
func (g *Gateway) inheritsRepeat(service string) bool {
	if g.config.RepeatShare == nil || service == g.callerService() {
		return false
	}
	return rand.Float64() < g.config.RepeatShare()
}
