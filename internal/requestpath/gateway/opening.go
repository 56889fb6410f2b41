package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
)

// openingTemplate returns the part of the opening that all attempts at a call have in common.
func (g *Gateway) openingTemplate(rc *app.RequestContext, route *lapisv1.Route, caller caller, revision uint64, body *requestBody) *lapisv1.CallOpen {
	class := route.GetCallClass()
	open := &lapisv1.CallOpen{
		Group: route.GetGroup(), Priority: class.GetPriority(), CallerService: g.callerService(),
		Method: string(rc.Request.Header.Method()), Target: string(rc.Request.Header.RequestURI()), Host: string(rc.Request.Host()),
		Headers: headersOf(rc, &g.config.Envelope), Repeatable: class.GetRepeatable(), Background: class.GetBackground(),
		Upload: class.GetUpload(), Attempt: g.chainRetries(rc), ContentLength: body.length,
		RouteRevision:  revision,
		IdempotencyKey: string(rc.Request.Header.Peek(callapi.HeaderIdempotencyKey)),
	}
	if who := caller.account; who != nil {
		open.Group, open.Account, open.AccountPriority = who.Name, who.Name, who.Priority
		open.KeyDigest = caller.keyDigest
	}
	return open
}

// newOpening returns the opening of one attempt, with a new attempt ID and the time limits of the attempt.
func (a *attempter) newOpening(ctx context.Context, target *balance.Target) *lapisv1.CallOpen {
	template := a.opening
	open := &lapisv1.CallOpen{
		Service: template.GetService(), Instance: target.Endpoint.GetInstance(), Group: template.GetGroup(),
		Method: template.GetMethod(), Target: template.GetTarget(), Host: template.GetHost(),
		Headers: template.GetHeaders(), AttemptId: a.gateway.nextAttemptID(),
		Repeatable: template.GetRepeatable(), Background: template.GetBackground(), Upload: template.GetUpload(),
		Attempt: template.GetAttempt() + uint32(len(a.tried)), ContentLength: template.GetContentLength(),
		RouteRevision: template.GetRouteRevision(), IdempotencyKey: template.GetIdempotencyKey(),
		Priority: template.GetPriority(), CallerService: template.GetCallerService(),
		Account: template.GetAccount(), AccountPriority: template.GetAccountPriority(), KeyDigest: template.GetKeyDigest(),
		Trial: template.GetTrial(), Repeat: a.failureCounts.Seen > 0, AllowedRegions: a.route.GetAllowedRegions(),
	}
	if limit := target.StatedLimit(); limit.Stated {
		open.StatedLimit = &limit.PerSecond
	}
	if a.targetLatency() > 0 {
		bounds := a.waitBounds(ctx, target.ServiceTime(a.route.GetName()))
		open.SlackMillis = millisWithMinimum(1, bounds.Headroom)
		open.TargetMillis = millisWithMinimum(0, bounds.StartWithin)
		open.MaxWaitMillis = millisWithMinimum(0, bounds.MaxWait)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := a.timeUntil(deadline)
		open.DeadlineMillis = millisWithMinimum(1, remaining)
		open.ExpiresAfterMillis = millisWithMinimum(1, remaining-refusal.MinRemaining(a.recentServiceTime(target)))
	}
	return open
}

// recentServiceTime returns the time that recent calls of the route took at target.
func (a *attempter) recentServiceTime(target *balance.Target) time.Duration {
	return target.RecentServiceTime(a.route.GetName(), time.Now())
}

// millisWithMinimum returns a duration in whole milliseconds for the protocol, at least minimum. Fields in
// which 0 stands for no limit need a minimum of 1.
func millisWithMinimum(minimum int64, duration time.Duration) uint32 {
	return uint32(max(duration.Milliseconds(), minimum))
}
