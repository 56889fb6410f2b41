package gateway

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// Bounds of the callers' side.
const (
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 1 << 30
	callerIdle     = 75 * time.Second
	headerTimeout  = 30 * time.Second
	// bodyIdle is how long a caller may pause within its request body.
	bodyIdle = time.Minute
	// lingerTime is how long what a caller still sends is read after the last
	// answer of its connection.
	lingerTime = time.Second
	// configurationPatience is how long a call to a daemon that has just started waits
	// for the configuration. After a loss of all daemons it was there 0.3 to 0.7 s after
	// a daemon's start; a refusal sends the caller away for longer than that.
	configurationPatience = 400 * time.Millisecond
)

// Config configures a Gateway.
type Config struct {
	Node        string
	Incarnation uint64
	Snapshots   *snapshot.Store
	Balancer    *balance.Balancer
	// Local serves calls for instances beside this daemon.
	Local  callapi.Handler
	Remote Remote
	// Envelope names the header fields; the zero value stands for the default.
	Envelope callapi.Envelope
	// CallerService returns the service of this machine, which back ends are
	// told; nil when there is none.
	CallerService func() string
	// Retries bounds the retries of each service.
	Retries RetryLimits
	// RepeatShare returns the share of the calls running on this machine that
	// are repeats; nil where that is not known.
	RepeatShare func() float64
	// DefaultDeadline bounds calls whose route names none.
	DefaultDeadline time.Duration
	// Evacuated reports whether the instances of a zone get no calls; nil where no
	// zone is ever evacuated.
	Evacuated func(zone string) bool
	// Suspicions tells what is known of requests under which instances ended; nil where
	// nothing is.
	Suspicions Suspicions
	// SentAhead bounds what is held for requests that callers send before
	// earlier ones are answered; the zero value stands for the default.
	SentAhead pipeline.Limits
	// Decisions receives the lines about requests; nil for none.
	Decisions *decision.Log
	Registry  prometheus.Registerer
}

// Gateway serves callers. Create it with New, serve with Serve.
type Gateway struct {
	config        Config
	balancer      *balance.Balancer
	budget        *retryBudget
	sizes         answerSizes
	deadlines     usualDeadlines
	judged        judged
	metrics       gatewayMetrics
	attemptPrefix string
	attempts      atomic.Uint64
	callers       *pipeline.Server

	// stopping closes callers' connections, refusing also refuses new calls.
	stopping, refusing atomic.Bool
	// leaveBy is when the answers of a stopping gateway must be out; nil for no
	// bound.
	leaveBy atomic.Pointer[time.Time]
	// force is cancelled to cut the calls in flight.
	force    context.Context
	forceAll context.CancelFunc
}

type gatewayMetrics struct {
	calls       *prometheus.CounterVec
	constrained *prometheus.CounterVec
	retries     prometheus.Counter
	latency     prometheus.Histogram
}

// New returns a gateway.
func New(config Config) *Gateway {
	if config.Envelope == (callapi.Envelope{}) {
		config.Envelope = callapi.DefaultEnvelope
	}
	if config.Retries == (RetryLimits{}) {
		config.Retries = DefaultRetryLimits
	}
	gateway := &Gateway{
		config: config, balancer: config.Balancer, budget: newRetryBudget(config.Retries),
		attemptPrefix: fmt.Sprintf("%s/%x/", config.Node, config.Incarnation),
		metrics: gatewayMetrics{
			calls: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "lapisvane_calls_total", Help: "Calls by route and numbered result.",
			}, []string{"route", "result"}),
			constrained: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "lapisvane_calls_constrained_total", Help: "Calls refused because a constraint left no instance, by constraint.",
			}, []string{"constraint"}),
			retries: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "lapisvane_call_retries_total", Help: "Attempts after the first of a call.",
			}),
			latency: prometheus.NewHistogram(prometheus.HistogramOpts{
				Name: "lapisvane_call_seconds", Help: "Time from a request's head to its answer's head.",
				Buckets: prometheus.ExponentialBuckets(0.0005, 2, 16),
			}),
		},
	}
	gateway.callers = pipeline.New(pipeline.Config{
		MaxHeaderBytes: maxHeaderBytes, MaxBodyBytes: maxBodyBytes, ShortBodyBytes: callmux.BufferedBodyBytes,
		IdleTime: callerIdle, HeaderTime: headerTimeout, BodyIdle: bodyIdle, LingerTime: lingerTime,
		Limits: config.SentAhead, Check: gateway.checkHead, Handle: gateway.serve, Stopping: gateway.stopping.Load,
	})
	gateway.force, gateway.forceAll = context.WithCancel(context.Background())
	if config.Registry != nil {
		config.Registry.MustRegister(gateway.metrics.calls, gateway.metrics.constrained, gateway.metrics.retries, gateway.metrics.latency)
	}
	return gateway
}

// Serve serves callers on listener until ctx ends; with a TLS configuration it
// speaks HTTPS. It returns when the listener is closed; calls in flight go on.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener, tlsConfig *tls.Config) {
	options := []config.Option{
		server.WithListener(g.callers.Listener(listener)),
		server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
		server.WithOnAccept(g.callers.OnAccept),
	}
	if tlsConfig != nil {
		options = append(options, server.WithTLS(tlsConfig))
	}
	engine := server.New(options...)
	engine.AddProtocol(suite.HTTP1, g.callers.Factory())
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	_ = engine.Run()
}

// TLSConfig returns the configuration towards callers: each handshake uses the
// key pair in force at that moment, so that rotation cuts no connection.
func (g *Gateway) TLSConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{"http/1.1"},
		GetCertificate: func(hello *tls.ClientHelloInfo) (*tls.Certificate, error) {
			current := g.config.Snapshots.Current()
			if current == nil {
				return nil, result.Errorf(result.CallNotReady, "no configuration yet")
			}
			if certificate := current.Certificate(strings.ToLower(hello.ServerName)); certificate != nil {
				return certificate, nil
			}
			return nil, result.Errorf(result.CallNoRoute, "no certificate for %q", hello.ServerName)
		},
	}
}

// Stop makes the gateway refuse new calls; those in flight go on.
func (g *Gateway) Stop() {
	g.stopping.Store(true)
	g.refusing.Store(true)
}

// Leave makes the gateway close callers' connections after their next answer,
// so that they go elsewhere; calls are still served, and end by the given time
// whatever their own deadline.
func (g *Gateway) Leave(by time.Time) {
	g.leaveBy.Store(&by)
	g.stopping.Store(true)
}

// leaving reports whether the daemon is stopping as planned. A call that an instance
// has then is not given up: nothing is lost by a planned stop.
func (g *Gateway) leaving() bool { return g.leaveBy.Load() != nil }

// ShareRetries notes the number of daemons that share the burst of retries.
func (g *Gateway) ShareRetries(daemons int) { g.budget.share(daemons) }

// LimitRetries replaces the bounds of retries.
func (g *Gateway) LimitRetries(limits RetryLimits) { g.budget.limit(limits) }

func (g *Gateway) callerService() string {
	if g.config.CallerService == nil {
		return ""
	}
	return g.config.CallerService()
}

// inheritsRepeat tells whether a call from this machine to a service is taken as
// made by a run that is a repeat: as often as runs here are. An instance hardly
// calls its own service, so that such calls are those of clients.
func (g *Gateway) inheritsRepeat(service string) bool {
	if g.config.RepeatShare == nil || service == g.callerService() {
		return false
	}
	return rand.Float64() < g.config.RepeatShare()
}

// InFlight returns the number of requests that were read and whose answers are
// not written yet.
func (g *Gateway) InFlight() int64 { return g.callers.Open() }

// Cut ends the calls in flight.
func (g *Gateway) Cut() { g.forceAll() }

// checkHead tells why a request cannot be served at all; nothing behind it on its
// connection can be told apart from its body then. Errors: CallBadRequest,
// CallHeadTooLarge, CallBodyTooLarge.
func (g *Gateway) checkHead(rc *app.RequestContext) error {
	header := &rc.Request.Header
	if err := checkFraming(header.RawHeaders(), header.IsHTTP11()); err != nil {
		return err
	}
	if method := string(header.Method()); method == http.MethodConnect {
		return result.Errorf(result.CallBadRequest, "method %s is not served", method)
	}
	if path := header.RequestURI(); len(path) == 0 || (path[0] != '/' && !bytes.Contains(path, []byte("://"))) {
		return result.Errorf(result.CallBadRequest, "the target %q is no path", path)
	}
	current := g.config.Snapshots.Current()
	if current == nil {
		return nil
	}
	return checkLimits(current.Limits, len(header.RawHeaders()), int64(header.ContentLength()))
}

// serve sees one request through.
func (g *Gateway) serve(ctx context.Context, exchange *pipeline.Exchange) {
	rc := exchange.Request
	route, err := g.contained(ctx, exchange)
	code, _ := result.CodeOf(err)
	g.metrics.calls.WithLabelValues(route.GetName(), code.String()).Inc()
	if err == nil {
		return
	}
	err = comeBack(err, route)
	g.noteFailure(rc, route, err, exchange.Arrived)
	if rc.Response.GetHijackWriter() != nil {
		// The answer had begun; the connection ends with it.
		return
	}
	g.writeFailure(rc, err)
}

// contained sees a request through, and has a panic end that request only: the daemon would
// take all its calls with it, and the request come again at the next one.
func (g *Gateway) contained(ctx context.Context, exchange *pipeline.Exchange) (route *lapisv1.Route, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			g.config.Decisions.Failure(eventCallPanicked, g.requestID(exchange.Request), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return g.handle(ctx, exchange)
}

// handle sees a request through. An error is answered by the caller unless the
// answer has begun.
func (g *Gateway) handle(ctx context.Context, exchange *pipeline.Exchange) (*lapisv1.Route, error) {
	if exchange.Fault != nil {
		return nil, exchange.Fault
	}
	if g.refusing.Load() {
		return nil, result.Errorf(result.CallNotRunStopping, "the daemon is stopping")
	}
	current := g.config.Snapshots.Await(ctx, configurationPatience)
	if current == nil {
		return nil, result.Errorf(result.CallNotReady, "no configuration yet")
	}
	rc, started := exchange.Request, exchange.Arrived
	method := string(rc.Request.Header.Method())
	path := string(rc.Request.URI().PathOriginal())
	route := current.Match(callapi.HostName(string(rc.Request.Host())), path, method)
	if route == nil {
		return nil, result.Errorf(result.CallNoRoute, "%s %s", method, path)
	}
	if by := g.leaveBy.Load(); by != nil {
		var left context.CancelFunc
		ctx, left = context.WithDeadline(ctx, *by)
		defer left()
	}
	callCtx, cancel := g.deadlineOf(ctx, rc, route.GetCallClass(), started)
	defer cancel()
	stopForce := context.AfterFunc(g.force, cancel)
	defer stopForce()
	if !route.GetCallClass().GetRepeatable() {
		// An answer ahead that closes the connection would make the caller send
		// this request again.
		if err := exchange.AwaitTurn(callCtx); err != nil {
			return route, err
		}
	}
	body := bodyOf(exchange)
	stated, _ := g.statedDeadline(rc)
	attempt := &attempter{
		gateway: g, current: current, route: route, body: body, started: started, request: g.requestID(rc),
		suspendedBefore: boottime.Suspended(),
		waited:          g.deadlines.waited(route.GetName(), stated),
		local:           exchange.Local(),
		open:            g.openOf(rc, route, current.Revision, method, body),
		attach:          func(call *callapi.Call) { body.attach(call, rc) },
	}
	done, err := g.judge(callCtx, rc, attempt)
	defer done()
	if err != nil {
		return route, err
	}
	return route, g.finish(callCtx, exchange, attempt)
}

// openOf returns the opening common to all attempts at a call.
func (g *Gateway) openOf(rc *app.RequestContext, route *lapisv1.Route, revision uint64, method string, body *requestBody) *lapisv1.CallOpen {
	class := route.GetCallClass()
	return &lapisv1.CallOpen{
		Group: route.GetGroup(), Priority: class.GetPriority(), CallerService: g.callerService(),
		Method: method, Target: string(rc.Request.Header.RequestURI()), Host: string(rc.Request.Host()),
		Headers: headersOf(rc, &g.config.Envelope), Repeatable: class.GetRepeatable(), Background: class.GetBackground(),
		Upload: class.GetUpload(), Attempt: g.chainAttempt(rc), ContentLength: body.length,
		RouteRevision:  revision,
		IdempotencyKey: string(rc.Request.Header.Peek(callapi.HeaderIdempotencyKey)),
	}
}
