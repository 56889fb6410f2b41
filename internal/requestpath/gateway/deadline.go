package gateway

import (
	"context"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
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

// statedDeadline returns the time that the caller says it will wait, 0 where it says none; ok
// is false for what is no number.
func (g *Gateway) statedDeadline(rc *app.RequestContext) (stated time.Duration, ok bool) {
	millis, err := strconv.ParseInt(string(rc.Request.Header.Peek(g.config.Envelope.Deadline)), 10, 64)
	return time.Duration(max(millis, 0)) * time.Millisecond, err == nil
}
