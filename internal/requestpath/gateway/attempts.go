package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of the attempts at one call.
const (
	// maxDetours bounds the instances that are tried after refusals that no
	// back end saw.
	maxDetours = 5
	// maxOverloaded bounds the instances that are tried after refusals for
	// load.
	maxOverloaded = 2
)

// Remote hands calls to other daemons.
type Remote interface {
	Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error)
}

// attempter sees one call through all its attempts.
type attempter struct {
	gateway *Gateway
	current *snapshot.Snapshot
	route   *lapisv1.Route
	open    *lapisv1.CallOpen
	body    *requestBody
	started time.Time
	// suspendedBefore is the time for which this machine had been suspended when the call
	// came.
	suspendedBefore time.Duration
	// waited is how long the caller had been waiting before, since an earlier try.
	waited time.Duration
	// request is the caller's id of the request, empty where there is none.
	request string
	// attach prepares an attempt's body.
	attach func(*callapi.Call)

	// tried are the instances that did not answer; handed counts those of them
	// that may have seen the call, detours the others.
	tried      []*balance.Target
	handed     int
	detours    int
	overloaded int
	earned     bool
	// local is true when the caller is on this machine, and inherited when the
	// call is taken as made by a run here that is itself a repeat.
	local, inherited bool
	// attemptID is that of the newest attempt.
	attemptID string
	// failed is the first answer that was a failure of the instance's own, kept
	// while another instance is tried.
	failed *outcome
	// mayHaveRun is the end of the first attempt that an instance may have run; nil
	// while there was none.
	mayHaveRun error
	// keys name the call where instances ended under its path; empty otherwise.
	keys []fingerprint.Key
}

// outcome is a finished call.
type outcome struct {
	answer *callapi.Answer
	target *balance.Target
}

// run makes attempts until one is answered or another would be unsafe, useless
// or over budget.
func (a *attempter) run(ctx context.Context) (outcome, error) {
	pool := poolOf(a.route)
	if !a.earned {
		a.gateway.budget.earn(pool)
		a.earned = true
		a.inherited = a.local && a.gateway.inheritsRepeat(pool)
		if a.inherited {
			a.gateway.budget.charge(pool)
		}
	}
	var lastErr error
	for {
		target, err := a.pick(pool)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return a.orFailed(err)
		}
		a.open.Service = pool
		if a.hopeless(ctx, target) {
			return a.orFailed(result.Errorf(result.CallNotRunExpired, "too little time is left for an answer"))
		}
		answer, err := a.once(ctx, target)
		if err == nil && !a.mayReplace(answer) {
			return outcome{answer: answer, target: target}, nil
		}
		if err == nil {
			err = a.setAside(outcome{answer: answer, target: target})
		}
		lastErr = err
		a.noteOutcome(err)
		a.tried = append(a.tried, target)
		again := a.mayRetry(ctx, err)
		a.logAttempt(ctx, target, err, again)
		if !again {
			return a.orFailed(err)
		}
		a.gateway.metrics.retries.Inc()
	}
}

// poolOf returns the pool that serves a call of route: of several parts one that
// is drawn by weight. A call keeps to its part also when that has no room, so that
// the shares stay as the operator set them.
func poolOf(route *lapisv1.Route) string {
	parts := route.GetSplit()
	if len(parts) == 0 {
		return route.GetPool()
	}
	total := uint64(0)
	for _, part := range parts {
		total += uint64(part.GetWeight())
	}
	drawn := rand.Uint64N(max(total, 1))
	for _, part := range parts {
		weight := uint64(part.GetWeight())
		if drawn < weight {
			return part.GetPool()
		}
		drawn -= weight
	}
	return route.GetPool()
}

// pick chooses an instance of the pool. Errors: CallNoEndpoint.
func (a *attempter) pick(pool string) (*balance.Target, error) {
	service, ok := a.current.Service(pool)
	if !ok {
		return nil, result.Errorf(result.CallNoEndpoint, "route %s has no pool here", a.route.GetName())
	}
	return a.gateway.balancer.Pick(service, balance.Choice{
		Exclude: a.tried, Key: a.open.GetIdempotencyKey(), Route: a.route.GetName(),
		Target: a.targetLatency(), Spent: time.Since(a.started) + a.waited, Bytes: a.gateway.sizes.of(a.route.GetName(), a.body),
		Constraints: a.constraints(),
	})
}

// once makes one attempt at target.
func (a *attempter) once(ctx context.Context, target *balance.Target) (*callapi.Answer, error) {
	open := a.openFor(ctx, target)
	a.attemptID = open.GetAttemptId()
	call := &callapi.Call{Open: open, StaysWithSilent: a.gateway.leaving}
	a.attach(call)
	target.Begin()
	answered := false
	defer func() {
		// Also after a panic: a call that never ends would count as load for ever.
		if !answered {
			target.End()
		}
	}()
	began := time.Now()
	answer, err := a.gateway.handOver(ctx, target, call)
	now := time.Now()
	if err != nil {
		a.gateway.observe(target, err)
		if a.unanswered(err, now.Sub(began)) {
			target.AnsweredFailure(now)
		}
		return nil, err
	}
	answered = true
	target.Reported(answer.Head.GetLoad(), now)
	target.Succeeded()
	if answer.Head.GetStatus() >= callapi.FirstServerError {
		target.AnsweredFailure(now)
		return answer, nil
	}
	target.Answered(a.route.GetName(), time.Duration(answer.Head.GetServiceMicros())*time.Microsecond, now)
	a.gateway.sizes.answered(a.route.GetName(), answer.Head.GetContentLength())
	return answer, nil
}

// noteOutcome remembers an attempt that an instance may have run.
func (a *attempter) noteOutcome(err error) {
	if a.mayHaveRun == nil && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
		a.mayHaveRun = err
	}
}

// unanswered reports whether an attempt ended without an answer although the
// instance had all the time that one is worth most in.
func (a *attempter) unanswered(err error, waited time.Duration) bool {
	code, _ := result.CodeOf(err)
	target := a.targetLatency()
	return (code == result.CallDeadline || code == result.CallCancelled) && target > 0 && waited >= target
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
	case result.CallNotRunDraining, result.CallNotRunStopping, result.CallNotRunUnknownHere, result.CallNotRunUnreachable,
		result.CallNotRunEvacuated, result.CallNotRunRegion:
		// No back end saw the call; going elsewhere adds no load.
		a.detours++
		return a.detours <= maxDetours
	case result.CallNotRunOverloaded, result.CallNotRunCold:
		a.overloaded++
		return a.overloaded <= maxOverloaded
	case result.CallNotRunShed:
		a.handed++
		return a.handed < a.maxAttempts() && a.mayAddLoad()
	case result.CallUnknownOutcome, result.CallTruncated, result.CallInstanceCrashed:
		a.handed++
		return a.open.GetRepeatable() && a.mayRepeat(err) && a.handed < a.maxAttempts() && a.mayAddLoad()
	default:
		return false
	}
}

func (a *attempter) maxAttempts() int {
	if attempts := a.route.GetCallClass().GetMaxAttempts(); attempts > 0 {
		return int(attempts)
	}
	return defaultMaxAttempts
}

// mayAddLoad takes a retry out of the service's budget. A call that is itself a
// retry of a level above is not retried again, so that the levels of a chain do
// not multiply.
func (a *attempter) mayAddLoad() bool {
	return a.open.GetAttempt() == 0 && a.gateway.budget.spend(a.open.GetService())
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
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated, result.CallNotRunUnknownHere, result.CallInstanceCrashed:
		target.Failed(time.Now())
	case result.CallNotRunCold:
		target.RefusedCold(retryAfterOf(err), time.Now())
	}
}

// retryAfterOf returns the time that a refusal names; 0 where it names none.
func retryAfterOf(err error) time.Duration {
	var refusal *result.Error
	if !errors.As(err, &refusal) {
		return 0
	}
	return refusal.RetryAfter
}

// nextAttemptID returns an id that no other attempt has: the node, its
// incarnation and a count.
func (g *Gateway) nextAttemptID() string {
	return g.attemptPrefix + strconv.FormatUint(g.attempts.Add(1), 36)
}
