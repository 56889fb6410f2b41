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

// deadlineOf returns the context for a call: the route's bound or the one that came along the
// chain of calls, whichever is sooner. Uploads have only the latter.
func (g *Gateway) deadlineOf(ctx context.Context, rc *app.RequestContext, class *lapisv1.CallClass, started time.Time) (context.Context, context.CancelFunc) {
	bound := time.Duration(class.GetDeadlineMillis()) * time.Millisecond
	if bound == 0 && !class.GetUpload() {
		bound = g.config.DefaultDeadline
	}
	chained, stated := g.statedDeadline(rc)
	if stated && (bound == 0 || chained < bound) {
		bound = chained
	}
	if bound == 0 && !stated {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, started.Add(bound))
}

// callContext returns the context of a call. It ends at the call's deadline, when the answers
// of a draining gateway must be out, and when the calls in flight are cut.
func (g *Gateway) callContext(ctx context.Context, exchange *pipeline.Exchange, class *lapisv1.CallClass) (context.Context, context.CancelFunc) {
	endDrain := func() {}
	if by := g.answerBy.Load(); by != nil {
		ctx, endDrain = context.WithDeadline(ctx, *by)
	}
	callCtx, cancel := g.deadlineOf(ctx, exchange.Request, class, exchange.ArrivedAt)
	endCut := context.AfterFunc(g.cut, cancel)
	return callCtx, func() {
		endCut()
		cancel()
		endDrain()
	}
}

// until returns the time until the call's deadline. Its caller has gone on waiting while
// this machine was suspended, the clock of the deadline has not.
func (c *call) until(deadline time.Time) time.Duration {
	return time.Until(deadline) - (boottime.Suspended() - c.suspendedBefore)
}

// hopeless reports whether too little time is left for an answer of an instance where calls
// of the route lately took serviceTime.
func (c *call) hopeless(ctx context.Context, serviceTime time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && refusal.Hopeless(c.until(deadline), serviceTime)
}
