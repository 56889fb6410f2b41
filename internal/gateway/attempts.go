package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/balance"
	"github.com/lapisvane/lapisvane/internal/callapi"
	"github.com/lapisvane/lapisvane/internal/pause"
	"github.com/lapisvane/lapisvane/internal/result"
	"github.com/lapisvane/lapisvane/internal/snapshot"
)

// Waits between attempts.
const (
	overloadBackoff = 20 * time.Millisecond
	// startMargin is subtracted from the time in which a call may start, so
	// that a call that is too late is refused as not run before its deadline
	// makes its outcome unknown.
	startMargin = 10 * time.Millisecond
)

// Remote hands calls to other daemons.
type Remote interface {
	Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error)
}

// attempter sees one call through all its attempts.
type attempter struct {
	gateway *Gateway
	service *snapshot.Service
	route   *lapisv1.Route
	open    *lapisv1.CallOpen
	body    *requestBody
	// attach prepares an attempt's body.
	attach func(*callapi.Call)
}

// outcome is a finished call.
type outcome struct {
	answer *callapi.Answer
	target *balance.Target
}

// run makes attempts until one is answered or another would be unsafe, useless
// or over budget.
func (a *attempter) run(ctx context.Context) (outcome, error) {
	name := a.route.GetPool()
	a.gateway.budget.earn(name)
	var tried []*balance.Target
	var lastErr error
	for attempt := range maxAttempts {
		target, err := a.gateway.balancer.Pick(a.service, tried, a.open.GetIdempotencyKey())
		if err != nil {
			if lastErr != nil {
				return outcome{}, lastErr
			}
			return outcome{}, err
		}
		answer, err := a.once(ctx, target, attempt)
		if err == nil {
			return outcome{answer: answer, target: target}, nil
		}
		lastErr = err
		tried = append(tried, target)
		if !a.mayRetry(ctx, err) || !a.wait(ctx, err) {
			return outcome{}, err
		}
		a.gateway.metrics.retries.Inc()
	}
	return outcome{}, lastErr
}

// once makes one attempt at target.
func (a *attempter) once(ctx context.Context, target *balance.Target, attempt int) (*callapi.Answer, error) {
	open := a.openFor(ctx, target, attempt)
	call := &callapi.Call{Open: open}
	a.attach(call)
	target.Begin()
	answer, err := a.gateway.handOver(ctx, target, call)
	if err != nil {
		target.End()
		a.gateway.observe(target, err)
		return nil, err
	}
	target.Reported(answer.Head.GetLoad(), time.Now())
	target.Succeeded()
	return answer, nil
}

// openFor returns the opening of one attempt, with an attempt id of its own
// and the time that is left.
func (a *attempter) openFor(ctx context.Context, target *balance.Target, attempt int) *lapisv1.CallOpen {
	template := a.open
	open := &lapisv1.CallOpen{
		Service: template.GetService(), Instance: target.Endpoint.GetInstance(), Group: template.GetGroup(),
		Method: template.GetMethod(), Target: template.GetTarget(), Host: template.GetHost(),
		Headers: template.GetHeaders(), AttemptId: a.gateway.nextAttemptID(),
		Repeatable: template.GetRepeatable(), Background: template.GetBackground(), Upload: template.GetUpload(),
		Attempt: template.GetAttempt() + uint32(attempt), ContentLength: template.GetContentLength(),
		RouteRevision: template.GetRouteRevision(), IdempotencyKey: template.GetIdempotencyKey(),
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		open.DeadlineMillis = uint32(max(remaining.Milliseconds(), 1))
		open.ExpiresAfterMillis = uint32(max((remaining - startMargin).Milliseconds(), 1))
	}
	return open
}

// mayRetry decides whether another attempt is safe and within bounds. It is
// safe when the call is proved not to have run, or when its class is
// repeatable and nothing of the answer was passed on.
func (a *attempter) mayRetry(ctx context.Context, err error) bool {
	code, ok := result.CodeOf(err)
	if !ok || ctx.Err() != nil || !a.body.replayable() {
		return false
	}
	switch code {
	case result.CallNotRunDraining, result.CallNotRunStopping, result.CallNotRunUnknownHere:
		// The instance is leaving; going elsewhere adds no load.
		return true
	case result.CallNotRunUnreachable, result.CallNotRunOverloaded, result.CallNotRunShed:
		return a.mayAddLoad()
	case result.CallUnknownOutcome, result.CallTruncated:
		return a.open.GetRepeatable() && a.mayAddLoad()
	default:
		return false
	}
}

// mayAddLoad takes a retry out of the service's budget. A call that is itself a
// retry of a level above is not retried again, so that the levels of a chain do
// not multiply.
func (a *attempter) mayAddLoad() bool {
	return a.open.GetAttempt() == 0 && a.gateway.budget.spend(a.route.GetPool())
}

// wait pauses before a retry after an overload; it reports false when the call
// ends meanwhile.
func (a *attempter) wait(ctx context.Context, err error) bool {
	if !result.Is(err, result.CallNotRunOverloaded) && !result.Is(err, result.CallNotRunShed) {
		return true
	}
	return pause.For(ctx, rand.N(overloadBackoff))
}

// handOver gives the call to the daemon beside the instance, which may be this
// one.
func (g *Gateway) handOver(ctx context.Context, target *balance.Target, call *callapi.Call) (*callapi.Answer, error) {
	if target.Endpoint.GetNode() == g.config.Node {
		return g.config.Local.Handle(ctx, call)
	}
	return g.config.Remote.Handle(ctx, target.Endpoint.GetAddress(), call)
}

// observe notes a failure at an instance. Refusals for load or leaving are no
// sign of ill health.
func (g *Gateway) observe(target *balance.Target, err error) {
	code, _ := result.CodeOf(err)
	switch code {
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated, result.CallNotRunUnknownHere:
		target.Failed(time.Now())
	}
}

// nextAttemptID returns an id that no other attempt has: the node, its
// incarnation and a count.
func (g *Gateway) nextAttemptID() string {
	return g.attemptPrefix + strconv.FormatUint(g.attempts.Add(1), 36)
}
