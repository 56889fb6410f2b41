package gateway

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file passes the results of attempts to package balance, which uses them to choose instances.

// observeAnswer records the properties of an instance that an answer shows: the stated load and rate
// limit, whether the instance leaves, that it is reachable, and whether the answer is a failure. Service time and size are recorded only for
// successful answers, since a fast failure does not mean a fast service.
func (a *attempter) observeAnswer(target *balance.Target, answer *callapi.Answer, now time.Time) {
	target.RecordStatement(statedLimit(answer.Head), answer.Head.GetLeaving())
	target.RecordLoad(answer.Head.GetLoad(), now)
	target.RecordSlowdown(answer.Head.GetWorkPercent(), now)
	target.RecordSuccess()
	if answer.Head.GetStatus() >= callapi.FirstServerError {
		target.RecordErrorAnswer(now)
		return
	}
	target.RecordAnswer(a.route.GetName(), time.Duration(answer.Head.GetServiceMicros())*time.Microsecond, now)
	a.gateway.answerSizes.record(a.route.GetName(), answer.Head.GetContentLength())
}

// statedLimit returns the rate limit that an answer says its instance states.
func statedLimit(head *lapisv1.CallHead) callapi.RateLimit {
	return callapi.RateLimit{PerSecond: head.GetStatedLimit(), Stated: head.StatedLimit != nil}
}

// timedOut reports whether an attempt ended at its deadline, or because its caller disconnected, after the
// attempt had waited for at least the target latency. Such an attempt counts as a failed answer, since there
// is no other sign of a hanging instance.
func (a *attempter) timedOut(err error, waited time.Duration) bool {
	code, _ := result.CodeOf(err)
	target := a.targetLatency()
	return (code == result.CallDeadline || code == result.CallCancelled) && target > 0 && waited >= target
}

// observeFailure records the failure of an attempt at an instance. Errors that show that the instance is
// unreachable or breaks connections count towards its ejection (package balance). A refusal because of
// a slow start or of the instance's rate limit keeps calls away for the time stated in the error. Refusals for load or draining do not
// count as failures, but update the work that the instance last stated.
func (g *Gateway) observeFailure(target *balance.Target, err error) {
	if refused, ok := err.(*result.Error); ok {
		target.RecordSlowdown(refused.WorkPercent, time.Now().Add(-refused.WorkAge))
	}
	code, _ := result.CodeOf(err)
	switch code {
	case result.CallNotRunUnreachable, result.CallUnknownOutcome, result.CallTruncated, result.CallNotRunUnknownHere, result.CallInstanceCrashed:
		target.RecordFailure(time.Now())
	case result.CallNotRunCold:
		target.RecordColdRejection(retryAfterOf(err), time.Now())
	case result.CallNotRunLimited:
		target.RecordLimitRejection(retryAfterOf(err), time.Now())
	}
}
