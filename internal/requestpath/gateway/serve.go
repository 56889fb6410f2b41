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
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// checkHead tells why a request cannot be served at all; nothing behind it on its connection
// can be told apart from its body then. Errors: CallBadRequest, CallHeadTooLarge,
// CallBodyTooLarge.
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
	err = withRetryAfter(err, route)
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

// handle finds the route of a request and serves it. An error is answered by the caller
// unless the answer has begun. Errors: CallNotRunStopping, CallNotReady, CallNoRoute and those
// of the route.
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
	request := &exchange.Request.Request
	method, path := string(request.Header.Method()), string(request.URI().PathOriginal())
	route := current.Match(callapi.HostName(string(request.Host())), path, method)
	if route == nil {
		return nil, result.Errorf(result.CallNoRoute, "%s %s", method, path)
	}
	callCtx, cancel := g.callContext(ctx, exchange, route.GetCallClass())
	defer cancel()
	return route, g.serveRoute(callCtx, exchange, current, route)
}

// callContext returns the context of a call. It ends at the call's deadline, when the answers
// of a draining gateway must be out, and when the calls in flight are cut.
func (g *Gateway) callContext(ctx context.Context, exchange *pipeline.Exchange, class *lapisv1.CallClass) (context.Context, context.CancelFunc) {
	endDrain := func() {}
	if by := g.answerBy.Load(); by != nil {
		ctx, endDrain = context.WithDeadline(ctx, *by)
	}
	callCtx, cancel := g.deadlineOf(ctx, exchange.Request, class, exchange.Arrived)
	endCut := context.AfterFunc(g.cut, cancel)
	return callCtx, func() {
		endCut()
		cancel()
		endDrain()
	}
}

// serveRoute sees a request of a route through.
func (g *Gateway) serveRoute(ctx context.Context, exchange *pipeline.Exchange, current *snapshot.Snapshot, route *lapisv1.Route) error {
	if !route.GetCallClass().GetRepeatable() {
		// An answer ahead that closes the connection would make the caller send this
		// request again.
		if err := exchange.AwaitEarlierAnswers(ctx); err != nil {
			return err
		}
	}
	attempt := &attempter{gateway: g, call: g.callOf(exchange, current, route)}
	done, err := g.checkQuarantine(ctx, exchange.Request, &attempt.call)
	defer done()
	if err != nil {
		return err
	}
	return g.finish(ctx, exchange, attempt)
}

// callOf returns the call that a request makes.
func (g *Gateway) callOf(exchange *pipeline.Exchange, current *snapshot.Snapshot, route *lapisv1.Route) call {
	rc, body := exchange.Request, bodyOf(exchange)
	// A caller that states no deadline counts as one on its first try.
	stated, _ := g.statedDeadline(rc)
	return call{
		current: current, route: route, opening: g.openingOf(rc, route, current.Revision, body), body: body,
		attach:  func(call *callapi.Call) { body.attach(call, rc) },
		request: g.requestID(rc), local: exchange.Local(),
		started: exchange.Arrived, suspendedBefore: boottime.Suspended(),
		waitedBefore: g.deadlines.waited(route.GetName(), stated),
	}
}

// openingOf returns the opening common to all attempts at a call.
func (g *Gateway) openingOf(rc *app.RequestContext, route *lapisv1.Route, revision uint64, body *requestBody) *lapisv1.CallOpen {
	class := route.GetCallClass()
	return &lapisv1.CallOpen{
		Group: route.GetGroup(), Priority: class.GetPriority(), CallerService: g.callerService(),
		Method: string(rc.Request.Header.Method()), Target: string(rc.Request.Header.RequestURI()), Host: string(rc.Request.Host()),
		Headers: headersOf(rc, &g.config.Envelope), Repeatable: class.GetRepeatable(), Background: class.GetBackground(),
		Upload: class.GetUpload(), Attempt: g.chainAttempt(rc), ContentLength: body.length,
		RouteRevision:  revision,
		IdempotencyKey: string(rc.Request.Header.Peek(callapi.HeaderIdempotencyKey)),
	}
}
