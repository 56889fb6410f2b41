package refusal

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The component that refuses a call first sets a retry time after which it expects to have
// capacity: package balance if no instance may receive the call, package admission for load and
// rate limits, package quarantine until the next trial, and the instance for calls that it sheds.
// RetryAfter replaces most of these by a time within the target latency of the route. A refusal
// without a retry time gets DefaultRetryAfter.

// DefaultRetryAfter is the retry time if no better one is known. It is the shortest time for
// callers that parse whole seconds.
const DefaultRetryAfter = time.Second

// The retry delay of a refused call is random between these fractions of the target latency. It is
// short, because the target counts from the first attempt, and random, so that the retries are
// spread and find free slots.
const (
	minRetryFraction = 0.15
	maxRetryFraction = 0.6
)

// Refusal holds the properties of a refused call that determine its retry time.
type Refusal struct {
	Code result.Code
	// RetryAfter is the retry time set by the component that refused the call; 0 for none.
	RetryAfter time.Duration
	// Constrained is true if a constraint excluded all instances for the call.
	Constrained bool
}

// RetryAfter returns the time after which the caller of a refused call may retry; 0 means
// DefaultRetryAfter. target is the target latency of the route, 0 for none, and random is a random
// number in [0, 1).
//
// The time in refused is kept if an earlier retry would be refused again (a constraint, the
// quarantine or a rate limit), for a call that may have run, and for a route without a target. All
// other callers retry within the target, early enough for an answer to have value: after a random
// fraction of the target, or, for a call that its instance shed, after one to two times the time in
// refused if that is sooner.
func RetryAfter(refused Refusal, target time.Duration, random float64) time.Duration {
	keepRetryAfter := refused.Constrained || refused.Code == result.CallNotRunQuarantined || refused.Code == result.CallRateLimited
	if !refused.Code.NotRun() || target == 0 || keepRetryAfter {
		return refused.RetryAfter
	}
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*random
	delay := time.Duration(fraction * float64(target.Milliseconds()) * float64(time.Millisecond))
	if refused.Code == result.CallNotRunShed && refused.RetryAfter > 0 {
		delay = min(delay, time.Duration((1+random)*float64(refused.RetryAfter)))
	}
	return delay
}
