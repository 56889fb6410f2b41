package gateway

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Names of the gateway's events; docs/OPERATIONS.md lists their keys.
const (
	// eventCallFailed is for a call that got no answer of an instance, eventCallAnswered for
	// one that did, and eventAttemptFailed for each attempt without one.
	eventCallFailed    = "call.failed"
	eventCallAnswered  = "call.answered"
	eventAttemptFailed = "call.attempt_failed"
	// eventCallPanicked is for a request that made this daemon panic.
	eventCallPanicked = "call.panicked"
	// eventCallerUnserved is for a connection that this daemon ended although it had read bytes of
	// a request behind the last answer.
	eventCallerUnserved = "caller.unserved"
	// eventKeyRefused is for a request that its API key did not let be served.
	eventKeyRefused = "key.refused"
)

// noteUnserved counts and logs a caller's connection that ended with a request read and unanswered.
func (g *Gateway) noteUnserved(bytes int) {
	g.metrics.unserved.Inc()
	g.config.Decisions.Failure(eventCallerUnserved, "", "bytes", bytes, "stopping", g.stopping.Load())
}

// noteFailure counts and logs a call that got no answer of an instance, with what decided it.
func (g *Gateway) noteFailure(rc *app.RequestContext, route *lapisv1.Route, err error, started time.Time) {
	constraint := constraintOf(err)
	if constraint != "" {
		g.metrics.constrained.WithLabelValues(constraint).Inc()
	}
	code, _ := result.CodeOf(err)
	g.config.Decisions.Failure(eventCallFailed, g.requestID(rc),
		"route", route.GetName(), "revision", g.revision(), "code", uint32(code), "name", code,
		"outcome", callapi.OutcomeOf(err), "took_ms", time.Since(started).Milliseconds(),
		"come_back_ms", retryAfterOf(err).Milliseconds(), "constraint", constraint, "detail", err)
}

// noteRefusedKey counts and logs a request that its API key did not let be served. Of the key the
// line has the start of its digest only.
func (g *Gateway) noteRefusedKey(rc *app.RequestContext, route *lapisv1.Route, key presentedKey, reason refusalReason) {
	g.metrics.refusedKeys.WithLabelValues(string(reason)).Inc()
	currency := g.config.Identity.currency()
	g.config.Decisions.Failure(eventKeyRefused, g.requestID(rc),
		"reason", string(reason), "digest", key.shown(), "route", route.GetName(), "revision", g.revision(),
		"unconfirmed_ms", currency.Unconfirmed.Milliseconds(), "behind", currency.Behind)
}

// revision returns the configuration in force, 0 before the first.
func (g *Gateway) revision() uint64 {
	if current := g.config.Snapshots.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// logAttempt writes the line of an attempt without an answer: what was known of the instance, and
// whether another attempt follows.
func (a *attempter) logAttempt(ctx context.Context, target *balance.Target, err error, again bool) {
	code, _ := result.CodeOf(err)
	load, age := target.Report(time.Now())
	a.gateway.config.Decisions.Failure(eventAttemptFailed, a.requestID,
		"attempt", a.attemptID, "instance", target.Endpoint.GetInstance(), "member", target.Endpoint.GetNode(),
		"state", target.Endpoint.GetState(), "code", uint32(code), "name", code, "again", again,
		"revision", a.current.Revision, "load", load, "load_age_ms", age.Milliseconds(),
		"budget", a.gateway.budget.Left(a.opening.GetService()), "left_ms", leftMillis(ctx),
		"took_ms", time.Since(a.started).Milliseconds(), "head", fingerprint.HeadOf(fingerprint.LineOf(a.opening)), "detail", err)
}

// logAnswer writes the line of a call that an instance answered: always after a failure, for a
// sample of the others.
func (a *attempter) logAnswer(done instanceAnswer) {
	log := a.gateway.config.Decisions
	if done.answer.Head.GetStatus() >= callapi.FirstServerError || len(a.tried) > 0 {
		log.Failure(eventCallAnswered, a.requestID, a.answerPairs(done)...)
		return
	}
	log.Success(eventCallAnswered, a.requestID, func() []any { return a.answerPairs(done) })
}

// answerPairs returns the keys and values of the line of an answered call.
func (a *attempter) answerPairs(done instanceAnswer) []any {
	head := done.answer.Head
	work, workAge := done.target.Work(time.Now())
	return []any{
		"attempt", a.attemptID, "route", a.route.GetName(), "revision", a.current.Revision,
		"instance", done.target.Endpoint.GetInstance(), "member", done.target.Endpoint.GetNode(),
		"attempts", len(a.tried) + 1, "inherited", a.inherited, "status", head.GetStatus(), "load", float64(head.GetLoad()),
		"service_ms", float64(head.GetServiceMicros()) / 1000, "took_ms", time.Since(a.started).Milliseconds(),
		"work_percent", head.GetWorkPercent(), "work_expected", work, "work_age_ms", workAge.Milliseconds(),
	}
}

// leftMillis is the time until the deadline of ctx, 0 where there is none.
func leftMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// constraintOf returns the name of the constraint that left no instance for a call,
// empty where none did.
func constraintOf(err error) string {
	var constrained *balance.ConstraintError
	if errors.As(err, &constrained) {
		return constrained.Constraint
	}
	return ""
}
