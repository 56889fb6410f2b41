package gateway

import (
	"bytes"
	"context"
	"io"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Remote hands calls to other daemons. It is safe for concurrent use.
type Remote interface {
	// Handle makes one attempt through the daemon at address (host and port). Errors: those of
	// callapi.Handler.
	Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error)
}

// attempter makes the attempts at one call and keeps their results. Package retry decides whether
// another one follows.
type attempter struct {
	call
	gateway *Gateway

	// tried are the instances that brought no answer.
	tried []*balance.Target
	// counts are the failures of the attempts, as the retry rule counts them.
	counts retry.Counts
	// attemptID is that of the newest attempt.
	attemptID string
	// version is the newest attempt as a roll-out counts it, nil without one; versionChanges counts
	// the choices of an instance whose version got no more calls by the time of the attempt.
	version        *versionAttempt
	versionChanges int
	// kept is the first answer with a server error (5xx), kept while another instance is tried.
	kept *instanceAnswer
	// mayHaveRun is the error of the first attempt that an instance may have run; nil for none.
	mayHaveRun error
	silent     silentAttempts
	// earned is true once the call was counted in the retry budget, and inherited when it was
	// charged there as a repeat (Gateway.inheritsRepeat).
	earned, inherited bool
}

// instanceAnswer is an answer with the instance that gave it.
type instanceAnswer struct {
	answer *callapi.Answer
	target *balance.Target
	// version is the attempt as a roll-out counts it; nil without one.
	version *versionAttempt
}

// run makes attempts until one is answered or the retry rule ends them. It may be called
// again when the answer could not be delivered.
func (a *attempter) run(ctx context.Context) (instanceAnswer, error) {
	pool := poolOf(a.route)
	a.enterBudget(pool)
	var lastErr error
	for {
		if err := a.checkKey(); err != nil {
			return a.giveUp(ctx, err)
		}
		target, err := a.pick(pool)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return a.giveUp(ctx, err)
		}
		a.opening.Service = pool
		if a.hopeless(ctx, a.recentServiceTime(target)) {
			a.version.giveBack()
			return a.giveUp(ctx, result.Errorf(result.CallNotRunExpired, "too little time is left for an answer"))
		}
		allowed, err := a.mayBegin(target)
		if err != nil {
			return a.giveUp(ctx, err)
		}
		if !allowed {
			continue
		}
		answer, err := a.once(ctx, target)
		done := instanceAnswer{answer: answer, target: target, version: a.version}
		if a.silent.answered != nil {
			return a.takeSilent(), nil
		}
		if err == nil && !a.mayReplace(answer) {
			return done, nil
		}
		if err == nil {
			err = a.setAside(done)
		}
		lastErr = err
		a.noteMayHaveRun(err)
		a.noteSilent(ctx, target, err)
		a.tried = append(a.tried, target)
		again := a.tryAgain(a.failureOf(ctx, err))
		a.logAttempt(ctx, target, err, again)
		if !again {
			return a.giveUp(ctx, err)
		}
		a.gateway.metrics.retries.Inc()
	}
}

// enterBudget adds the call to the retry budget of the pool that it went to first.
func (a *attempter) enterBudget(pool string) {
	if a.earned {
		return
	}
	a.gateway.budget.Earn(pool)
	a.earned = true
	a.inherited = a.local && a.gateway.inheritsRepeat(pool)
	if a.inherited {
		a.gateway.budget.Charge(pool)
	}
}

// pick chooses an instance of the pool. Errors: CallNoEndpoint.
func (a *attempter) pick(pool string) (*balance.Target, error) {
	service, ok := a.current.Service(pool)
	if !ok {
		return nil, result.Errorf(result.CallNoEndpoint, "route %s has no pool here", a.route.GetName())
	}
	return a.pickVersion(pool, func(version ...balance.Constraint) (*balance.Target, error) {
		return a.gateway.config.Balancer.Pick(service, balance.Choice{
			Exclude: a.tried, Key: a.opening.GetIdempotencyKey(), Route: a.route.GetName(),
			TargetLatency: a.targetLatency(), Spent: time.Since(a.started) + a.waitedBefore, Bytes: a.gateway.sizes.of(a.route.GetName(), a.body),
			Constraints: append(a.constraints(), version...),
		})
	})
}

// once makes one attempt at target. Where it is answered, the caller calls Target.End.
func (a *attempter) once(ctx context.Context, target *balance.Target) (*callapi.Answer, error) {
	open := a.openingFor(ctx, target)
	a.attemptID = open.GetAttemptId()
	call := &callapi.Call{Open: open, StaysWithSilent: a.gateway.draining}
	a.attach(call)
	target.Begin()
	answered := false
	defer func() {
		// Also after a panic: a call that never ends would count as load for ever.
		if !answered {
			target.End()
			a.version.end()
		}
	}()
	began := time.Now()
	answer, err := a.handOver(ctx, target, call)
	now := time.Now()
	if err != nil {
		a.version.notAnswered(err)
		a.gateway.observe(target, err)
		if a.unanswered(err, now.Sub(began)) {
			target.AnsweredFailure(now)
		}
		return nil, err
	}
	answered = true
	a.version.answered(answer.Head, target, now)
	a.observeAnswer(target, answer, now)
	return answer, nil
}

// noteMayHaveRun remembers an attempt that an instance may have run.
func (a *attempter) noteMayHaveRun(err error) {
	if a.mayHaveRun == nil && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
		a.mayHaveRun = err
	}
}

// failureOf describes a failed attempt to the retry rule. An error without a code does not show
// what happened, and is final.
func (a *attempter) failureOf(ctx context.Context, err error) retry.Failure {
	failure := retry.Failure{
		CallOver: ctx.Err() != nil, BodySpent: !a.body.replayable(), Crashes: a.crashesUnder(err),
	}
	if code, ok := result.CodeOf(err); ok {
		failure.Reason = retry.ReasonOf(code)
	}
	return failure
}

// tryAgain reports whether another attempt follows a failed one. It counts the failure, and
// takes an attempt that adds load out of the retry budget.
func (a *attempter) tryAgain(failure retry.Failure) bool {
	counts, decision := retry.Decide(a.retryCall(), a.counts, failure)
	a.counts = counts
	switch decision {
	case retry.AgainElsewhere:
		return true
	case retry.AgainWithinBudget:
		return a.gateway.budget.Spend(a.opening.GetService())
	default:
		return false
	}
}

// mayReplace reports whether another instance is tried in place of an answer (retry.MayReplace).
func (a *attempter) mayReplace(answer *callapi.Answer) bool {
	facts := retry.Answer{Status: answer.Head.GetStatus(), Length: answer.Head.GetContentLength(), Kept: a.kept != nil}
	return retry.MayReplace(a.retryCall(), facts, func() bool { return a.gateway.config.Balancer.MostlySound(a.opening.GetService()) })
}

// setAside reads a failed answer whole and keeps it, so that its instance is free again. It
// returns the error of the failed attempt.
func (a *attempter) setAside(failed instanceAnswer) error {
	defer failed.target.End()
	defer failed.version.end()
	body, err := readWhole(failed.answer)
	// An error of closing an answer adds nothing to that of reading it.
	_ = failed.answer.Body.Close()
	if err != nil {
		a.gateway.observe(failed.target, err)
		return err
	}
	failed.answer.Body = io.NopCloser(bytes.NewReader(body))
	a.kept = &failed
	return result.Errorf(result.CallUnknownOutcome, "the instance answered %d", failed.answer.Head.GetStatus())
}

// giveUp ends the attempts; last is the error of the last one. The answer of a silent attempt ends the
// call, if one comes, else what retry.EndingOf chooses.
func (a *attempter) giveUp(ctx context.Context, last error) (instanceAnswer, error) {
	if a.kept == nil && a.silent.open > 0 {
		if a.awaitSilent(ctx) {
			return a.takeSilent(), nil
		}
		last = deadlineOr(ctx, last)
	}
	lastNotRun := callapi.OutcomeOf(last) == callapi.OutcomeNotRun
	switch retry.EndingOf(a.kept != nil, a.mayHaveRun != nil, lastNotRun) {
	case retry.KeptAnswer:
		kept := *a.kept
		// The attempt ended when its answer was set aside.
		kept.version = nil
		kept.target.Begin()
		return kept, nil
	case retry.FirstUnknown:
		return instanceAnswer{}, a.mayHaveRun
	default:
		return instanceAnswer{}, last
	}
}

// handOver gives the call to the daemon beside the instance, which may be this one.
func (g *Gateway) handOver(ctx context.Context, target *balance.Target, call *callapi.Call) (*callapi.Answer, error) {
	if target.Endpoint.GetNode() == g.config.Node {
		return g.config.Local.Handle(ctx, call)
	}
	return g.config.Remote.Handle(ctx, target.Endpoint.GetAddress(), call)
}

// nextAttemptID returns a unique id: the node, its incarnation and a count.
func (g *Gateway) nextAttemptID() string {
	return g.attemptPrefix + strconv.FormatUint(g.attempts.Add(1), 36)
}
