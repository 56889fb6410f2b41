package admission

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// This file holds the rate limit that a back end states for itself. Like a pace it is a token bucket,
// but a call without a token is refused at once and does not wait: a pace ends within the seconds of a
// slow start, while a rate limit may last, and other back ends may have capacity now.

// rateLimitBurst is the time whose calls a rate limit admits at once after a pause, at least defaultBurst
// calls, so that calls that arrive at random intervals use most of it. It is below the second over which
// the back end states its limit.
const rateLimitBurst = 500 * time.Millisecond

// Parameters of the retry times of calls that a rate limit refuses. Callers that all return at the next
// token would be refused again but for one.
const (
	// returnsPerToken is the number of refused callers that may return for each token. It is above 1,
	// because some of them have no further call by then, and a token that nobody uses is lost.
	returnsPerToken = 2
	// maxRateRetryAfter is the maximum retry time, after which a caller learns whether the limit has
	// changed.
	maxRateRetryAfter = 2 * time.Second
)

// RateLimitUse is the usage of the rate limit of a queue.
type RateLimitUse struct {
	// Tokens is the number of calls that may start now; 0 without a limit.
	Tokens float64
	// Refused is the number of calls that were refused because of a rate limit since the queue was
	// created.
	Refused int64
}

// SetRateLimit limits the rate of admitted calls to perSecond from now on. A new limit admits nothing at
// first, because the calls of the last second, which an earlier process may have admitted, are not
// known; it refuses the calls that wait. Changing a limit keeps its tokens.
func (q *Queue) SetRateLimit(perSecond float64) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	perSecond = max(perSecond, callapi.MinRateLimit)
	started := !q.rateLimit.pace.inForce(now)
	q.rateLimit.setPace(Pace{PerSecond: perSecond, Burst: max(perSecond*rateLimitBurst.Seconds(), defaultBurst)}, now)
	if started {
		q.refuseWaitingForRate(now)
	}
	q.dispatch()
}

// ClearRateLimit removes the rate limit.
func (q *Queue) ClearRateLimit() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.rateLimit.setPace(Pace{}, q.now())
	q.dispatch()
}

// RateLimitUse returns the usage of the queue's rate limit.
func (q *Queue) RateLimitUse() RateLimitUse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	use := RateLimitUse{Refused: q.rateRefusals}
	now := q.now()
	if q.rateLimit.pace.inForce(now) {
		q.rateLimit.refill(now)
		use.Tokens = max(q.rateLimit.tokens, 0)
	}
	return use
}

// rateExhausted reports whether the rate limit leaves no token for one more call, after those of the
// waiting calls. The caller must hold mutex.
func (q *Queue) rateExhausted(now time.Time) bool {
	return q.rateLimit.wait(q.waiting, now) > 0
}

// refuseRateLimited counts and returns the refusal of a call by the rate limit. The caller must hold
// mutex.
func (q *Queue) refuseRateLimited(now time.Time) *result.Error {
	q.rateRefusals++
	return q.rateRefusal(now)
}

// rateRefusal returns the refusal of a call by the rate limit, with a retry time (rateRetryAfter). The
// caller must hold mutex.
func (q *Queue) rateRefusal(now time.Time) *result.Error {
	refusal := result.Errorf(result.CallNotRunLimited, "the back end accepts %g calls per second", q.rateLimit.pace.PerSecond)
	refusal.RetryAfter = q.rateRetryAfter(now)
	return refusal
}

// rateRetryAfter returns when the caller of a refused call may retry: at the token after those of the
// waiting calls and of the callers that were refused before. The caller must hold mutex.
func (q *Queue) rateRetryAfter(now time.Time) time.Duration {
	next := now.Add(q.rateLimit.wait(q.waiting, now))
	if q.nextRateRetry.Before(next) {
		q.nextRateRetry = next
	}
	retryAfter := min(max(q.nextRateRetry.Sub(now), minRetryAfter), maxRateRetryAfter)
	q.nextRateRetry = q.nextRateRetry.Add(durationOf(1 / (returnsPerToken * q.rateLimit.pace.PerSecond)))
	if latest := now.Add(maxRateRetryAfter); q.nextRateRetry.After(latest) {
		q.nextRateRetry = latest
	}
	return retryAfter
}

// refuseWaitingForRate refuses all waiting calls because a rate limit begins. The caller must hold
// mutex.
func (q *Queue) refuseWaitingForRate(now time.Time) {
	if q.waiting == 0 {
		return
	}
	q.rateRefusals += int64(q.waiting)
	refusal := q.rateRefusal(now)
	for _, g := range q.groups {
		q.refuseAll(g.interactive, refusal)
		q.refuseAll(g.background, refusal)
	}
}
