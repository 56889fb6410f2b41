package refusal

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Whoever refuses a call names a time first, after which it expects to have room: package balance
// where no instance may get the call, package admission for load and pace, package quarantine
// until the next trial, the instance for what it sheds. RetryAfter replaces most of these by a time
// within the route's target latency; a refusal without any gets DefaultRetryAfter.

// DefaultRetryAfter is the time where nothing better is known: the shortest for callers that read
// whole seconds.
const DefaultRetryAfter = time.Second

// A refused caller may come back after a random time between these parts of the target latency:
// soon, because the target counts from the first try, and spread, so that the returns find slots free.
const (
	returnFrom = 0.15
	returnTo   = 0.6
)

// Refusal is what decides when its caller may come back.
type Refusal struct {
	Code result.Code
	// RetryAfter is the time that whoever refused the call named; 0 for none.
	RetryAfter time.Duration
	// Constrained is true when a constraint left no instance for the call.
	Constrained bool
}

// RetryAfter returns when the caller of a refused call may come back; 0 stands for
// DefaultRetryAfter. target is the target latency of the route, 0 for none, and random is drawn
// from [0, 1).
//
// A time that was named is kept where an earlier return would be refused again (a constraint, the
// quarantine or a rate limit), for a call that may have run, and for a route without a target. All others
// return within the target, early enough for an answer that is worth something: after a random part
// of it, or after one to two times what was named for a call that its instance shed, if that is sooner.
func RetryAfter(refused Refusal, target time.Duration, random float64) time.Duration {
	keeps := refused.Constrained || refused.Code == result.CallNotRunQuarantined || refused.Code == result.CallRateLimited
	if !refused.Code.NotRun() || target == 0 || keeps {
		return refused.RetryAfter
	}
	part := returnFrom + (returnTo-returnFrom)*random
	after := time.Duration(part * float64(target.Milliseconds()) * float64(time.Millisecond))
	if refused.Code == result.CallNotRunShed && refused.RetryAfter > 0 {
		after = min(after, time.Duration((1+random)*float64(refused.RetryAfter)))
	}
	return after
}
