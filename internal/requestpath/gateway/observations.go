package gateway

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// What an attempt shows of its instance is recorded here and used by package balance.

// observeAnswer records what an answer shows of its instance: the load that it states, that it
// can be reached, and whether it failed. The service time and size count only of answers that
// are no failure, since a quick failure is no quick service.
func (a *attempter) observeAnswer(target *balance.Target, answer *callapi.Answer, now time.Time) {
	target.Reported(answer.Head.GetLoad(), now)
	target.StatedWork(answer.Head.GetWorkPercent(), now)
	target.Succeeded()
	if answer.Head.GetStatus() >= callapi.FirstServerError {
		target.AnsweredFailure(now)
		return
	}
	target.Answered(a.route.GetName(), time.Duration(answer.Head.GetServiceMicros())*time.Microsecond, now)
	a.gateway.sizes.answered(a.route.GetName(), answer.Head.GetContentLength())
}

// unanswered reports whether an attempt ended at its deadline, or because its caller disconnected,
// after the instance had the whole target latency. It counts as a failed answer, since an instance
// that hangs sends nothing else that would show it.
func (a *attempter) unanswered(err error, waited time.Duration) bool {
	code, _ := result.CodeOf(err)
	target := a.targetLatency()
	return (code == result.CallDeadline || code == result.CallCancelled) && target > 0 && waited >= target
}

// observe records a failure at an instance: those that show that it cannot be reached or
// breaks connections count towards its ejection (package balance), and one of an instance in
// slow start keeps calls away for the time that it names. Refusals for load or draining are no
// sign of ill health, but bring what the instance stated last of how long work takes there.
func (g *Gateway) observe(target *balance.Target, err error) {
	if refused, ok := err.(*result.Error); ok {
		target.StatedWork(refused.WorkPercent, time.Now().Add(-refused.WorkAge))
	}
	code, _ := result.CodeOf(err)
	switch code {
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated, result.CallNotRunUnknownHere, result.CallInstanceCrashed:
		target.Failed(time.Now())
	case result.CallNotRunCold:
		target.RefusedCold(retryAfterOf(err), time.Now())
	}
}
