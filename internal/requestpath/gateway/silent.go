package gateway

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// silentAttempts are the attempts at one call whose daemons fell silent while the instances may be at
// work on them. They go on beside the attempts that follow, and the first answer is the caller's.
type silentAttempts struct {
	// open is the number of those that may still be answered.
	open int
	// ended receives each of them as it ends, until the call ends.
	ended chan silentAttempt
	// answered is the one that was answered, nil for none.
	answered *silentAttempt
}

// silentAttempt is an attempt with what became of it.
type silentAttempt struct {
	id     string
	target *balance.Target
	answer *callapi.Answer
	err    error
}

// errAnsweredBefore ends an attempt when an earlier one, whose daemon had fallen silent, is answered.
var errAnsweredBefore = errors.New("an earlier attempt was answered")

// noteSilent goes on waiting for the answer to the newest attempt, until ctx ends, if it failed because
// its daemon fell silent.
func (a *attempter) noteSilent(ctx context.Context, target *balance.Target, err error) {
	var silence *callapi.Silence
	if !errors.As(err, &silence) {
		return
	}
	if a.silent.ended == nil {
		a.silent.ended = make(chan silentAttempt)
	}
	a.silent.open++
	attempt := silentAttempt{id: a.attemptID, target: target}
	go func() {
		attempt.answer, attempt.err = a.recovering(func() (*callapi.Answer, error) { return silence.Await(ctx) })
		select {
		case a.silent.ended <- attempt:
		case <-ctx.Done():
			attempt.closeAnswer()
		}
	}()
}

// closeAnswer ends the call of an answer that nobody wants.
func (s silentAttempt) closeAnswer() {
	if s.err == nil {
		_ = s.answer.Body.Close() // It was not read; there is nothing to report.
	}
}

// noteEnded takes in the end of a silent attempt, and reports whether it was answered.
func (a *attempter) noteEnded(attempt silentAttempt) (answered bool) {
	a.silent.open--
	if attempt.err != nil {
		a.noteMayHaveRun(attempt.err)
		return false
	}
	a.silent.answered = &attempt
	return true
}

// handOver hands the newest attempt over. Errors: those of Gateway.handOver, and errAnsweredBefore.
func (a *attempter) handOver(ctx context.Context, target *balance.Target, call *callapi.Call) (*callapi.Answer, error) {
	if a.silent.open == 0 {
		return a.gateway.handOver(ctx, target, call)
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	newest := make(chan silentAttempt, 1)
	go func() {
		answer, err := a.recovering(func() (*callapi.Answer, error) { return a.gateway.handOver(attemptCtx, target, call) })
		newest <- silentAttempt{answer: answer, err: err}
	}()
	for {
		select {
		case attempt := <-newest:
			// The answer's body needs the context until the call ends.
			context.AfterFunc(ctx, cancel)
			return attempt.answer, attempt.err
		case earlier := <-a.silent.ended:
			if a.noteEnded(earlier) {
				cancel()
				go func() { (<-newest).closeAnswer() }()
				return nil, errAnsweredBefore
			}
		}
	}
}

// recovering has a panic end its attempt only. The attempts of a call that run side by side are not
// covered by the recovery of the call (handleRecovering).
func (a *attempter) recovering(attempt func() (*callapi.Answer, error)) (answer *callapi.Answer, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			answer, err = nil, result.Errorf(result.CallUnknownOutcome, "panic: %v", cause)
			a.gateway.config.Decisions.Failure(eventCallPanicked, a.requestID, "cause", fmt.Sprint(cause), "stack", string(debug.Stack()))
		}
	}()
	return attempt()
}

// awaitSilent waits until a silent attempt is answered, which it reports, or all have ended or ctx has.
func (a *attempter) awaitSilent(ctx context.Context) (answered bool) {
	for a.silent.open > 0 {
		select {
		case attempt := <-a.silent.ended:
			if a.noteEnded(attempt) {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// takeSilent makes the answer of the silent attempt that was answered that of the call.
func (a *attempter) takeSilent() instanceAnswer {
	attempt := a.silent.answered
	a.attemptID = attempt.id
	// The attempt counted as ended when its daemon fell silent.
	attempt.target.Begin()
	a.observeAnswer(attempt.target, attempt.answer, time.Now())
	return instanceAnswer{answer: attempt.answer, target: attempt.target}
}

// deadlineOr returns the error of a call that no silent attempt was answered for: the end of its time
// where that came first, else last.
func deadlineOr(ctx context.Context, last error) error {
	if ctx.Err() == context.DeadlineExceeded {
		return result.Wrap(result.CallDeadline, ctx.Err(), "waiting for a silent daemon")
	}
	return last
}
