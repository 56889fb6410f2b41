package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// deadlineContext returns the context of a call with its deadline: the earlier of the route's deadline and
// the one that the caller states. Config.DefaultDeadline stands in for a route without a deadline, except for
// uploads.
func (g *Gateway) deadlineContext(ctx context.Context, rc *app.RequestContext, class *lapisv1.CallClass, started time.Time) (context.Context, context.CancelFunc) {
	bound := time.Duration(class.GetDeadlineMillis()) * time.Millisecond
	if bound == 0 && !class.GetUpload() {
		bound = g.config.DefaultDeadline
	}
	callerDeadline, stated := g.statedDeadline(rc)
	if stated && (bound == 0 || callerDeadline < bound) {
		bound = callerDeadline
	}
	if bound == 0 && !stated {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, started.Add(bound))
}

// callContext returns the context of a call. It ends at the call's deadline, at the drain deadline of the
// gateway, and when the calls in flight are cancelled.
func (g *Gateway) callContext(ctx context.Context, exchange *pipeline.Exchange, class *lapisv1.CallClass) (context.Context, context.CancelFunc) {
	cancelDrain := func() {}
	if by := g.drainDeadline.Load(); by != nil {
		ctx, cancelDrain = context.WithDeadline(ctx, *by)
	}
	callCtx, cancel := g.deadlineContext(ctx, exchange.Request, class, exchange.ArrivedAt)
	stopWatching := context.AfterFunc(g.callsContext, cancel)
	return callCtx, func() {
		stopWatching()
		cancel()
		cancelDrain()
	}
}

// timeUntil returns the time until the call's deadline. It subtracts the time for which this machine was
// suspended: the monotonic clock that measures the deadline stops during a suspension, but the caller
// continues to wait.
func (c *call) timeUntil(deadline time.Time) time.Duration {
	return time.Until(deadline) - (boottime.Suspended() - c.suspendedAtStart)
}

// cannotFinishInTime reports whether the remaining time is too short for an answer of an instance at which
// recent calls of the route took serviceTime.
func (c *call) cannotFinishInTime(ctx context.Context, serviceTime time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && refusal.TooLate(c.timeUntil(deadline), serviceTime)
}
