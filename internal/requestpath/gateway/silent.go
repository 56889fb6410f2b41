package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// silentAttempts holds the attempts at one call whose daemons stopped sending while the instances may still
// run the call. They continue in the background during later attempts, and the first answer is used.
type silentAttempts struct {
	// pending is the number of silent attempts that may still be answered.
	pending int
	// results receives each silent attempt when it ends, until the call ends.
	results chan silentAttempt
	// answered is the silent attempt that was answered, nil if there is none.
	answered *silentAttempt
	// lastErr is the error of the silent attempt that ended last without an answer, nil if there is none.
	lastErr error
}

// silentAttempt is an attempt together with its result.
type silentAttempt struct {
	id     string
	target *balance.Target
	answer *callapi.Answer
	err    error
}

// errEarlierAttemptAnswered ends an attempt when an earlier, silent attempt is answered.
var errEarlierAttemptAnswered = errors.New("an earlier attempt was answered")

// awaitIfSilent continues to wait in the background, until ctx ends, for the answer to the latest attempt if
// the attempt failed because its daemon became silent. It reports whether it does: whether the attempt may
// have run is known once it ends.
func (a *attempter) awaitIfSilent(ctx context.Context, target *balance.Target, err error) (awaited bool) {
	var silence *callapi.SilentPeerError
	if !errors.As(err, &silence) {
		return false
	}
	if a.silent.results == nil {
		a.silent.results = make(chan silentAttempt)
	}
	a.silent.pending++
	attempt := silentAttempt{id: a.attemptID, target: target}
	go func() {
		attempt.answer, attempt.err = a.withRecovery(func() (*callapi.Answer, error) { return silence.Await(ctx) })
		select {
		case a.silent.results <- attempt:
		case <-ctx.Done():
			attempt.closeAnswer()
		}
	}()
	return true
}

// closeAnswer closes an answer that is not used, which ends its call.
func (s silentAttempt) closeAnswer() {
	if s.err == nil {
		_ = s.answer.Body.Close() // The answer is not used, so an error does not matter.
	}
}

// recordSilentResult records the end of a silent attempt, and reports whether it was answered.
func (a *attempter) recordSilentResult(attempt silentAttempt) (answered bool) {
	a.silent.pending--
	if attempt.err != nil {
		a.silent.lastErr = attempt.err
		a.recordUncertainAttempt(attempt.err)
		return false
	}
	a.silent.answered = &attempt
	return true
}

// forward makes the latest attempt, and ends it early if a silent attempt is answered first. Errors: those
// of Gateway.forward, and errEarlierAttemptAnswered.
func (a *attempter) forward(ctx context.Context, target *balance.Target, call *callapi.Call) (*callapi.Answer, error) {
	if a.silent.pending == 0 {
		return a.gateway.forward(ctx, target, call)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	newest := make(chan silentAttempt, 1)
	go func() {
		answer, err := a.withRecovery(func() (*callapi.Answer, error) { return a.gateway.forward(attemptCtx, target, call) })
		newest <- silentAttempt{answer: answer, err: err}
	}()
	for {
		select {
		case attempt := <-newest:
			// The answer's body uses the context until the call ends.
			context.AfterFunc(ctx, cancel)
			return attempt.answer, attempt.err
		case earlier := <-a.silent.results:
			if a.recordSilentResult(earlier) {
				cancel()
				go func() { (<-newest).closeAnswer() }()
				return nil, errEarlierAttemptAnswered
			}
		}
	}
}

// withRecovery turns a panic into an error of the attempt. Attempts in goroutines of their own are not
// covered by the recovery of the call (handleWithRecovery).
func (a *attempter) withRecovery(attempt func() (*callapi.Answer, error)) (answer *callapi.Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			answer, err = nil, result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			containment.Count()
			a.gateway.config.Decisions.Failure(eventCallPanicked, a.requestID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return attempt()
}

// awaitSilent waits until a silent attempt is answered, all have ended, or ctx ends. It reports whether one
// was answered.
func (a *attempter) awaitSilent(ctx context.Context) (answered bool) {
	for a.silent.pending > 0 {
		select {
		case attempt := <-a.silent.results:
			if a.recordSilentResult(attempt) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// adoptSilentAnswer makes the answer of the answered silent attempt the answer of the call.
func (a *attempter) adoptSilentAnswer() instanceAnswer {
	attempt := a.silent.answered
	a.attemptID = attempt.id
	// The load of the attempt was ended when its daemon became silent.
	attempt.target.Begin()
	a.observeAnswer(attempt.target, attempt.answer, time.Now())
	return instanceAnswer{answer: attempt.answer, target: attempt.target}
}

// resolveSilence returns the error of the last attempt of a call: if that is its silence and the attempt has
// ended since, the error that it ended with. A silent attempt that has not ended may have run.
func (a *attempter) resolveSilence(last error) error {
	if a.silent.pending > 0 {
		a.recordUncertainAttempt(result.Errorf(result.CallUnknownOutcome, "the daemon beside the instance is silent"))
		return last
	}
	var silence *callapi.SilentPeerError
	if errors.As(last, &silence) {
		return a.silent.lastErr
	}
	return last
}

// deadlineErrorOr returns the error of a call without an answer of a silent attempt: CallDeadline if the
// deadline of ctx has passed, otherwise last.
func deadlineErrorOr(ctx context.Context, last error) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.Wrap(result.CallDeadline, ctx.Err(), "waiting for the answer of a silent daemon")
	}
	return last
}
