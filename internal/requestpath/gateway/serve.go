package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// checkHead returns an error for a request that must be rejected because of its head. Input behind such a
// request is not read, because it could be its body or another request. Errors: CallBadRequest,
// CallHeadTooLarge, CallBodyTooLarge.
func (g *Gateway) checkHead(rc *app.RequestContext) error {
	header := &rc.Request.Header
	if err := checkFraming(header.RawHeaders(), header.IsHTTP11()); err != nil {
		return err
	}
	if method := string(header.Method()); method == http.MethodConnect {
		return result.Errorf(result.CallBadRequest, "method %s is not supported", method)
	}
	if path := header.RequestURI(); len(path) == 0 || (path[0] != '/' && !bytes.Contains(path, []byte("://"))) {
		return result.Errorf(result.CallBadRequest, "request target %q is neither a path nor a URL", path)
	}
	current := g.config.Snapshots.Current()
	if current == nil {
		return nil
	}
	return checkLimits(current.Limits, len(header.RawHeaders()), int64(header.ContentLength()))
}

// serve handles a request and writes an error answer if no instance answered it.
func (g *Gateway) serve(ctx context.Context, exchange *pipeline.Exchange) {
	rc := exchange.Request
	route, err := g.handleWithRecovery(ctx, exchange)
	code, _ := result.CodeOf(err)
	g.metrics.calls.WithLabelValues(route.GetName(), code.String()).Inc()
	if err == nil {
		return
	}
	err = withRetryAfter(err, route)
	g.recordFailure(rc, route, err, exchange.ArrivedAt)
	if rc.Response.GetHijackWriter() != nil {
		// The streamed answer was already started. It stays incomplete and closes the connection.
		return
	}
	g.writeFailure(rc, err)
}

// handleWithRecovery calls handle and turns a panic into an error of that request. Otherwise the daemon
// would crash with all its calls, and the caller's retry would crash the next daemon.
func (g *Gateway) handleWithRecovery(ctx context.Context, exchange *pipeline.Exchange) (route *lapisv1.Route, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			containment.Count()
			g.config.Decisions.Failure(eventCallPanicked, g.requestID(exchange.Request), "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return g.handle(ctx, exchange)
}

// handle finds the route and the account of a request and serves it. Errors: CallNotRunStopping,
// CallNotReady, those of admit, of serveWithinQuota and of serveRoute.
func (g *Gateway) handle(ctx context.Context, exchange *pipeline.Exchange) (*lapisv1.Route, error) {
	if exchange.Fault != nil {
		return nil, exchange.Fault
	}
	if !g.beginServing() {
		return nil, result.Errorf(result.CallNotRunStopping, "the daemon is stopping")
	}
	defer g.serving.Add(-1)
	current := g.config.Snapshots.WaitForFirst(ctx, configurationTimeout)
	if current == nil {
		return nil, result.Errorf(result.CallNotReady, "no configuration yet")
	}
	found, err := g.admit(ctx, exchange.Request, current)
	if err != nil {
		return found.route, err
	}
	callCtx, cancel := g.callContext(ctx, exchange, found.route.GetCallClass())
	defer cancel()
	found.priorWait = g.priorWait(exchange.Request, found.route)
	return found.route, g.serveWithinQuota(callCtx, found, func() error {
		return g.serveRoute(callCtx, exchange, found)
	})
}

// findRoute returns the route of a request. Errors: CallNoRoute.
func findRoute(rc *app.RequestContext, current *snapshot.Snapshot) (*lapisv1.Route, error) {
	method, path := string(rc.Request.Header.Method()), string(rc.Request.URI().PathOriginal())
	route := current.Match(callapi.HostName(string(rc.Request.Host())), path, method)
	if route == nil {
		return nil, result.Errorf(result.CallNoRoute, "%s %s", method, path)
	}
	return route, nil
}

// serveRoute serves a request of a known route. A request that may not be repeated waits until all
// earlier answers of its connection are written: one of them might close the connection, and the caller
// would then send this request again.
func (g *Gateway) serveRoute(ctx context.Context, exchange *pipeline.Exchange, found admittedRequest) error {
	if !found.route.GetCallClass().GetRepeatable() {
		if err := exchange.AwaitEarlierAnswers(ctx); err != nil {
			return err
		}
	}
	attempt := &attempter{gateway: g, call: g.newCall(exchange, found)}
	done, err := g.checkQuarantine(ctx, exchange.Request, &attempt.call)
	defer done()
	if err != nil {
		return err
	}
	return g.attemptAndDeliver(ctx, exchange, attempt)
}

// newCall returns the call for an admitted request.
func (g *Gateway) newCall(exchange *pipeline.Exchange, found admittedRequest) call {
	rc, body := exchange.Request, bodyOf(exchange)
	return call{
		current: found.current, route: found.route, body: body,
		opening:   g.openingTemplate(rc, found.route, found.caller, found.current.Revision, body),
		attach:    func(call *callapi.Call) func() { return body.attach(call, rc, &g.config.Envelope) },
		requestID: g.requestID(rc), local: exchange.Local(),
		startedAt: exchange.ArrivedAt, suspendedAtStart: boottime.Suspended(),
		priorWait: found.priorWait,
	}
}
