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

// openingOf returns what the openings of all attempts at a call have in common.
func (g *Gateway) openingOf(rc *app.RequestContext, route *lapisv1.Route, caller caller, revision uint64, body *requestBody) *lapisv1.CallOpen {
	class := route.GetCallClass()
	open := &lapisv1.CallOpen{
		Group: route.GetGroup(), Priority: class.GetPriority(), CallerService: g.callerService(),
		Method: string(rc.Request.Header.Method()), Target: string(rc.Request.Header.RequestURI()), Host: string(rc.Request.Host()),
		Headers: headersOf(rc, &g.config.Envelope), Repeatable: class.GetRepeatable(), Background: class.GetBackground(),
		Upload: class.GetUpload(), Attempt: g.chainAttempt(rc), ContentLength: body.length,
		RouteRevision:  revision,
		IdempotencyKey: string(rc.Request.Header.Peek(callapi.HeaderIdempotencyKey)),
	}
	if who := caller.account; who != nil {
		open.Group, open.Account, open.AccountPriority = who.Name, who.Name, who.Priority
		open.KeyDigest = caller.keyDigest
	}
	return open
}

// openingFor returns the opening of one attempt, with an attempt id of its own and the times
// that bound it.
func (a *attempter) openingFor(ctx context.Context, target *balance.Target) *lapisv1.CallOpen {
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
		Trial: template.GetTrial(), Repeat: a.counts.Seen > 0, AllowedRegions: a.route.GetAllowedRegions(),
	}
	if a.targetLatency() > 0 {
		bounds := a.bounds(ctx, target.ServiceTime(a.route.GetName()))
		open.SlackMillis = millisAtLeast(1, bounds.Headroom)
		open.TargetMillis = millisAtLeast(0, bounds.DueIn)
		open.MaxWaitMillis = millisAtLeast(0, bounds.MaxWait)
	}
	if deadline, ok := ctx.Deadline(); ok {
		remaining := a.until(deadline)
		open.DeadlineMillis = millisAtLeast(1, remaining)
		open.ExpiresAfterMillis = millisAtLeast(1, remaining-refusal.LeastTime(a.recentServiceTime(target)))
	}
	return open
}

// recentServiceTime returns the time that calls of the route lately took at target.
func (a *attempter) recentServiceTime(target *balance.Target) time.Duration {
	return target.RecentServiceTime(a.route.GetName(), time.Now())
}

// millisAtLeast returns a time in whole milliseconds for the wire, where some fields take 0
// for no bound.
func millisAtLeast(least int64, duration time.Duration) uint32 {
	return uint32(max(duration.Milliseconds(), least))
}
