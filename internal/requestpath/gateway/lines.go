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

// Names of the gateway's log events; docs/OPERATIONS.md lists their keys.
const (
	// eventCallFailed is logged for a call that no instance answered, eventCallAnswered for a call
	// that one answered, and eventAttemptFailed for each attempt without an answer.
	eventCallFailed    = "call.failed"
	eventCallAnswered  = "call.answered"
	eventAttemptFailed = "call.attempt_failed"
	// eventCallPanicked is logged for a request whose handling panicked.
	eventCallPanicked = "call.panicked"
	// eventCallerUnserved is logged for a connection that this daemon closed although it had read
	// bytes of a request behind the last answer.
	eventCallerUnserved = "caller.unserved"
	// eventCallerOverLimit is logged for a connection that was closed because the daemon had as many as
	// it may have.
	eventCallerOverLimit = "caller.over_limit"
	// eventKeyRefused is logged for a request that was refused because of its API key.
	eventKeyRefused = "key.refused"
)

// recordUnserved counts and logs a caller's connection that ended with a request read and unanswered.
func (g *Gateway) recordUnserved(bytes int) {
	g.metrics.unserved.Inc()
	g.config.Decisions.Failure(eventCallerUnserved, "", "bytes", bytes, "stopping", g.stopping.Load())
}

// recordConnectionLimit counts and logs a caller's connection that was closed because of
// Config.MaxConnections.
func (g *Gateway) recordConnectionLimit() {
	g.metrics.connectionLimit.Inc()
	g.config.Decisions.Failure(eventCallerOverLimit, "", "limit", g.config.MaxConnections)
}

// recordFailure counts and logs a call that no instance answered, with the reason.
func (g *Gateway) recordFailure(rc *app.RequestContext, route *lapisv1.Route, err error, started time.Time) {
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

// recordRefusedKey counts and logs a request that was refused because of its API key. The log line contains
// only the start of the key's digest.
func (g *Gateway) recordRefusedKey(rc *app.RequestContext, route *lapisv1.Route, key presentedKey, reason refusalReason) {
	g.metrics.refusedKeys.WithLabelValues(string(reason)).Inc()
	freshness := g.config.Identity.freshness()
	g.config.Decisions.Failure(eventKeyRefused, g.requestID(rc),
		"reason", string(reason), "digest", key.loggedDigest(), "route", route.GetName(), "revision", g.revision(),
		"unconfirmed_ms", freshness.SinceConfirmed.Milliseconds(), "behind", freshness.Behind)
}

// revision returns the revision of the current configuration, 0 if there is none yet.
func (g *Gateway) revision() uint64 {
	if current := g.config.Snapshots.Current(); current != nil {
		return current.Revision
	}
	return 0
}

// logAttempt logs an attempt without an answer: the known state of the instance, and whether another
// attempt follows.
func (a *attempter) logAttempt(ctx context.Context, target *balance.Target, err error, again bool) {
	code, _ := result.CodeOf(err)
	load, age := target.ReportedLoad(time.Now())
	a.gateway.config.Decisions.Failure(eventAttemptFailed, a.requestID,
		"attempt", a.attemptID, "instance", target.Endpoint.GetInstance(), "member", target.Endpoint.GetNode(),
		"state", target.Endpoint.GetState(), "code", uint32(code), "name", code, "again", again,
		"revision", a.current.Revision, "load", load, "load_age_ms", age.Milliseconds(),
		"budget", a.gateway.retryBudget.Remaining(a.opening.GetService()), "left_ms", remainingMillis(ctx),
		"took_ms", time.Since(a.startedAt).Milliseconds(), "head", fingerprint.HeadOf(fingerprint.LineOf(a.opening)), "detail", err)
}

// logAnswer logs a call that an instance answered. Calls with a failed attempt or a server error are always
// logged, others are sampled.
func (a *attempter) logAnswer(done instanceAnswer) {
	log := a.gateway.config.Decisions
	if done.answer.Head.GetStatus() >= callapi.FirstServerError || len(a.tried) > 0 {
		log.Failure(eventCallAnswered, a.requestID, a.answerPairs(done)...)
		return
	}
	log.Success(eventCallAnswered, a.requestID, func() []any { return a.answerPairs(done) })
}

// answerPairs returns the log keys and values for an answered call, alternating as in logr.
func (a *attempter) answerPairs(done instanceAnswer) []any {
	head := done.answer.Head
	work, workAge := done.target.Slowdown(time.Now())
	return []any{
		"attempt", a.attemptID, "route", a.route.GetName(), "revision", a.current.Revision,
		"instance", done.target.Endpoint.GetInstance(), "member", done.target.Endpoint.GetNode(),
		"attempts", len(a.tried) + 1, "inherited", a.inherited, "status", head.GetStatus(), "load", float64(head.GetLoad()),
		"service_ms", float64(head.GetServiceMicros()) / 1000, "took_ms", time.Since(a.startedAt).Milliseconds(),
		"work_percent", head.GetWorkPercent(), "work_expected", work, "work_age_ms", workAge.Milliseconds(),
	}
}

// remainingMillis returns the milliseconds until the deadline of ctx, 0 if it has none.
func remainingMillis(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline).Milliseconds()
}

// constraintOf returns the name of the constraint because of which no instance was available for a call;
// empty if there is none.
func constraintOf(err error) string {
	var constrained *balance.ConstraintError
	if errors.As(err, &constrained) {
		return constrained.Constraint
	}
	return ""
}
