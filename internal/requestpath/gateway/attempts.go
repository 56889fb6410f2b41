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

// Remote forwards calls to other daemons. It is safe for concurrent use.
type Remote interface {
	// Handle makes one attempt through the daemon at address (host and port). Errors: those of
	// callapi.Handler.
	Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error)
}

// attempter makes the attempts at one call and keeps their results. Package retry decides whether
// another attempt follows.
type attempter struct {
	call
	gateway *Gateway

	// tried holds the instances of the attempts without an answer.
	tried []*balance.Target
	// failureCounts counts the failed attempts for the retry rule.
	failureCounts retry.Counts
	// attemptID is the ID of the latest attempt, and withdrawBody keeps it from reading the request's body
	// (requestBody.attach).
	attemptID    string
	withdrawBody func()
	// version tracks the latest attempt for a roll-out, nil without one. versionChanges counts the chosen
	// instances whose version was no longer allowed any calls when the attempt began.
	version        *versionAttempt
	versionChanges int
	// keptAnswer is the first answer with a server error (5xx). It is kept while another instance is
	// tried.
	keptAnswer *instanceAnswer
	// mayHaveRunErr is the error of the first attempt that an instance may have run; nil if there is
	// none.
	mayHaveRunErr error
	silent        silentAttempts
	// inBudget is true once the call was counted in the retry budget. inherited is true if the call was
	// charged there as a repeat (Gateway.inheritsRepeat).
	inBudget, inherited bool
}

// instanceAnswer is an answer together with the instance that gave it.
type instanceAnswer struct {
	answer *callapi.Answer
	target *balance.Target
	// version tracks the attempt for a roll-out; nil without one.
	version *versionAttempt
}

// run makes attempts until one is answered or the retry rule ends them. It may be called again if the
// answer could not be delivered.
func (a *attempter) run(ctx context.Context) (instanceAnswer, error) {
	pool := pickPool(a.route)
	a.enterBudget(pool)
	var lastErr error
	for {
		if err := a.recheckKey(); err != nil {
			return a.endAttempts(ctx, err)
		}
		target, err := a.pickInstance(pool)
		if err != nil {
			if lastErr != nil {
				err = lastErr
			}
			return a.endAttempts(ctx, err)
		}
		a.opening.Service = pool
		if a.cannotFinishInTime(ctx, a.recentServiceTime(target)) {
			a.version.releaseSlot()
			return a.endAttempts(ctx, result.Errorf(result.CallNotRunExpired, "the remaining time is too short for an answer"))
		}
		allowed, err := a.beginVersion(target)
		if err != nil {
			return a.endAttempts(ctx, err)
		}
		if !allowed {
			continue
		}
		answer, err := a.makeAttempt(ctx, target)
		done := instanceAnswer{answer: answer, target: target, version: a.version}
		if a.silent.answered != nil {
			return a.adoptSilentAnswer(), nil
		}
		if err == nil && !a.mayReplace(answer) {
			return done, nil
		}
		if err == nil {
			err = a.keepFailedAnswer(done)
		}
		lastErr = err
		if !a.recordFailedAttempt(ctx, target, err) {
			return a.endAttempts(ctx, err)
		}
		a.gateway.metrics.retries.Inc()
	}
}

// recordFailedAttempt records that the latest attempt, at target, failed with err. It reports whether another
// one follows.
func (a *attempter) recordFailedAttempt(ctx context.Context, target *balance.Target, err error) (again bool) {
	if !a.awaitIfSilent(ctx, target, err) {
		a.abandonAttempt(err)
	}
	a.tried = append(a.tried, target)
	again = a.tryAgain(a.failureOf(ctx, err))
	a.logAttempt(ctx, target, err, again)
	return again
}

// enterBudget counts the call once in the retry budget of the first pool that it is sent to.
func (a *attempter) enterBudget(pool string) {
	if a.inBudget {
		return
	}
	a.gateway.retryBudget.Earn(pool, a.tryOfCaller())
	a.inBudget = true
	a.inherited = a.local && a.gateway.inheritsRepeat(pool)
	if a.inherited {
		a.gateway.retryBudget.Charge(pool)
	}
}

// pickInstance chooses an instance of the pool. Errors: CallNoEndpoint.
func (a *attempter) pickInstance(pool string) (*balance.Target, error) {
	service, ok := a.current.Service(pool)
	if !ok {
		return nil, result.Errorf(result.CallNoEndpoint, "the pool of route %s is not in the configuration", a.route.GetName())
	}
	return a.pickVersion(pool, func(version ...balance.Constraint) (*balance.Target, error) {
		return a.gateway.config.Balancer.Pick(service, balance.Choice{
			Exclude: a.tried, Key: a.opening.GetIdempotencyKey(), Route: a.route.GetName(),
			TargetLatency: a.targetLatency(), Elapsed: time.Since(a.startedAt) + a.priorWait, Bytes: a.gateway.answerSizes.expectedBytes(a.route.GetName(), a.body),
			Constraints: append(a.constraints(), version...),
		})
	})
}

// makeAttempt makes one attempt at target. If it is answered, the caller must call Target.End.
func (a *attempter) makeAttempt(ctx context.Context, target *balance.Target) (*callapi.Answer, error) {
	open := a.newOpening(ctx, target)
	a.attemptID = open.GetAttemptId()
	call := &callapi.Call{Open: open, KeepWaitingWhenSilent: a.gateway.draining}
	a.withdrawBody = a.attach(call)
	target.Begin()
	answered := false
	defer func() {
		// This also runs after a panic; otherwise the call would count as load at the instance forever.
		if !answered {
			target.End()
			a.version.end()
		}
	}()
	began := time.Now()
	answer, err := a.forward(ctx, target, call)
	now := time.Now()
	if err != nil {
		a.version.recordNoAnswer(err)
		a.gateway.observeFailure(target, err)
		if a.timedOut(err, now.Sub(began)) {
			target.RecordErrorAnswer(now)
		}
		return nil, err
	}
	answered = true
	a.version.recordAnswer(answer.Head, target, now)
	a.observeAnswer(target, answer, now)
	return answer, nil
}

// abandonAttempt gives up the latest attempt, which failed with err.
func (a *attempter) abandonAttempt(err error) {
	a.recordUncertainAttempt(err)
	// The attempt may still be about to send the body, which the next one needs.
	a.withdrawBody()
}

// recordUncertainAttempt stores the error of an attempt that an instance may have run.
func (a *attempter) recordUncertainAttempt(err error) {
	if a.mayHaveRunErr == nil && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
		a.mayHaveRunErr = err
	}
}

// failureOf describes a failed attempt for the retry rule. An error without a result code does not show
// what happened, and is final.
func (a *attempter) failureOf(ctx context.Context, err error) retry.Failure {
	failure := retry.Failure{
		CallDone: ctx.Err() != nil, BodyConsumed: !a.body.replayable(), Crashes: a.crashCount(err),
	}
	if code, ok := result.CodeOf(err); ok {
		failure.Reason = retry.ReasonOf(code)
	}
	return failure
}

// tryAgain reports whether another attempt follows a failed one. It counts the failure, and spends the
// retry budget for an attempt that adds load.
func (a *attempter) tryAgain(failure retry.Failure) bool {
	counts, decision := retry.Decide(a.retryCall(), a.failureCounts, failure)
	a.failureCounts = counts
	switch decision {
	case retry.RetryElsewhere:
		return true
	case retry.RetryWithinBudget:
		return a.gateway.retryBudget.Spend(a.opening.GetService(), a.tryOfCaller())
	default:
		return false
	}
}

// mayReplace reports whether another instance is tried to replace an answer (retry.MayReplace).
func (a *attempter) mayReplace(answer *callapi.Answer) bool {
	facts := retry.Answer{Status: answer.Head.GetStatus(), Length: answer.Head.GetContentLength(), Kept: a.keptAnswer != nil}
	return retry.MayReplace(a.retryCall(), facts, func() bool { return a.gateway.config.Balancer.MajorityHealthy(a.opening.GetService()) })
}

// keepFailedAnswer reads a failed answer into memory and keeps it, which ends the call at its instance. It
// returns the error of the failed attempt.
func (a *attempter) keepFailedAnswer(failed instanceAnswer) error {
	defer failed.target.End()
	defer failed.version.end()
	body, err := readWhole(failed.answer)
	// An error of Close adds no information to that of reading the body.
	_ = failed.answer.Body.Close()
	if err != nil {
		a.gateway.observeFailure(failed.target, err)
		return err
	}
	failed.answer.Body = io.NopCloser(bytes.NewReader(body))
	a.keptAnswer = &failed
	return result.Errorf(result.CallUnknownOutcome, "the instance answered %d", failed.answer.Head.GetStatus())
}

// endAttempts ends the attempts and returns the result of the call; last is the error of the last
// attempt. The result is the answer of a silent attempt if one arrives, otherwise the one that
// retry.EndingOf chooses.
func (a *attempter) endAttempts(ctx context.Context, last error) (instanceAnswer, error) {
	if a.keptAnswer == nil && a.silent.pending > 0 {
		if a.awaitSilent(ctx) {
			return a.adoptSilentAnswer(), nil
		}
		last = deadlineErrorOr(ctx, last)
	}
	last = a.resolveSilence(last)
	lastNotRun := callapi.OutcomeOf(last) == callapi.OutcomeNotRun
	switch retry.EndingOf(a.keptAnswer != nil, a.mayHaveRunErr != nil, lastNotRun) {
	case retry.KeptAnswer:
		kept := *a.keptAnswer
		// The attempt ended for the roll-out when its answer was kept.
		kept.version = nil
		kept.target.Begin()
		return kept, nil
	case retry.FirstUnknown:
		return instanceAnswer{}, a.mayHaveRunErr
	default:
		return instanceAnswer{}, last
	}
}

// forward sends the call to the daemon beside the instance, which may be this daemon.
func (g *Gateway) forward(ctx context.Context, target *balance.Target, call *callapi.Call) (*callapi.Answer, error) {
	if target.Endpoint.GetNode() == g.config.Node {
		return g.config.Local.Handle(ctx, call)
	}
	return g.config.Remote.Handle(ctx, target.Endpoint.GetAddress(), call)
}

// nextAttemptID returns a unique ID, composed of the node, its incarnation and a counter.
func (g *Gateway) nextAttemptID() string {
	return g.attemptPrefix + strconv.FormatUint(g.attemptCount.Add(1), 36)
}
