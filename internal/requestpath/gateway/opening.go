package gateway

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Times within which a call may wait and start.
const (
	// waitPart is the part of its slack that a call may wait for a slot, over all
	// attempts: what would wait longer is refused at once, while its caller has time to
	// come back. The slack is the target latency less the usual time at the instance.
	waitPart = 0.5
	// waitDeadlinePart is the part of a call's whole time that it may wait.
	waitDeadlinePart = 0.45
	// leastMaxWait is what a call may wait in any case, and minWait what is left for
	// the instances that are tried later.
	leastMaxWait = 50 * time.Millisecond
	minWait      = 5 * time.Millisecond
	// hopelessPart is the part of a call's usual time at the instance that must be left
	// for it to start: with less it would hardly be answered, and hold a slot until its
	// deadline.
	hopelessPart = 0.5
	// startMargin is subtracted from the time in which a call may start, so
	// that a call that is too late is refused as not run before its deadline
	// makes its outcome unknown.
	startMargin = 10 * time.Millisecond
)

// openFor returns the opening of one attempt, with an attempt id of its own
// and the time that is left.
func (a *attempter) openFor(ctx context.Context, target *balance.Target) *lapisv1.CallOpen {
	template := a.open
	open := &lapisv1.CallOpen{
		Service: template.GetService(), Instance: target.Endpoint.GetInstance(), Group: template.GetGroup(),
		Method: template.GetMethod(), Target: template.GetTarget(), Host: template.GetHost(),
		Headers: template.GetHeaders(), AttemptId: a.gateway.nextAttemptID(),
		Repeatable: template.GetRepeatable(), Background: template.GetBackground(), Upload: template.GetUpload(),
		Attempt: template.GetAttempt() + uint32(len(a.tried)), ContentLength: template.GetContentLength(),
		RouteRevision: template.GetRouteRevision(), IdempotencyKey: template.GetIdempotencyKey(),
		Priority: template.GetPriority(), CallerService: template.GetCallerService(),
		Trial: template.GetTrial(), Repeat: a.handed > 0, AllowedRegions: a.route.GetAllowedRegions(),
	}
	if latency := a.targetLatency(); latency > 0 {
		spent := time.Since(a.started)
		slack := latency - target.ServiceTime(a.route.GetName())
		open.SlackMillis = uint32(max(slack.Milliseconds(), 1))
		open.TargetMillis = uint32(max((slack - spent - a.waited).Milliseconds(), 0))
		open.MaxWaitMillis = uint32(max(a.maxWait(ctx, slack)-spent, minWait).Milliseconds())
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := a.until(deadline)
		open.DeadlineMillis = uint32(max(remaining.Milliseconds(), 1))
		open.ExpiresAfterMillis = uint32(max((remaining - a.leastTime(target)).Milliseconds(), 1))
	}
	return open
}

// leastTime returns the time that must be left for the call to start at target.
func (a *attempter) leastTime(target *balance.Target) time.Duration {
	usual := target.RecentServiceTime(a.route.GetName(), time.Now())
	return max(startMargin, time.Duration(hopelessPart*float64(usual)))
}

// hopeless reports whether too little time is left for an answer of target.
func (a *attempter) hopeless(ctx context.Context, target *balance.Target) bool {
	deadline, ok := ctx.Deadline()
	return ok && a.until(deadline) < a.leastTime(target)
}

// until returns the time until the call's deadline. Its caller has gone on waiting while
// this machine was suspended, the clock of the deadline has not.
func (a *attempter) until(deadline time.Time) time.Duration {
	return time.Until(deadline) - (boottime.Suspended() - a.suspendedBefore)
}

// targetLatency returns the time inside which an answer is worth most, 0 where
// the route states none.
func (a *attempter) targetLatency() time.Duration {
	return time.Duration(a.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
}

// maxWait returns how long after its start a call of so much slack may get a slot.
func (a *attempter) maxWait(ctx context.Context, slack time.Duration) time.Duration {
	most := time.Duration(waitPart * float64(slack))
	if deadline, ok := ctx.Deadline(); ok {
		most = min(most, time.Duration(waitDeadlinePart*float64(deadline.Sub(a.started))))
	}
	return max(most, leastMaxWait)
}
