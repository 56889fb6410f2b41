package refusal

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// The time that a refused caller is told is named first by whoever refuses the call, as the
// time after which it expects to have room: package balance where no instance may
// get the call, package admission for load and pace, package quarantine until the next trial,
// and the instance itself for what it sheds. RetryAfter below replaces most of those by a time
// within the target latency of the route. What is left without any gets DefaultRetryAfter.

// DefaultRetryAfter is named to a refused caller when nothing better is known. Chosen, not
// measured; the shortest time that callers understand which read whole seconds.
const DefaultRetryAfter = time.Second

// A call that was refused may come back after a random time between these parts of its target
// latency: soon, because its worth counts from its first try, and spread, so that the returns
// find slots free. Measured on the first 16 s of a busy day (docs/design/0015): worth 0.653 with
// 0.15 to 0.6 targets and 0.643 with 0.4 to 1.2, both beside a longer wait for a slot than that of
// wait.go; beside that one 0.643 with either, where the sooner return was kept.
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

// RetryAfter returns when the caller of a refused call may come back; 0 for no time of its
// own, which stands for DefaultRetryAfter. target is the target latency of the route, 0 for
// none, and random is drawn from [0, 1).
//
// A time that was named is kept where an earlier return would be refused again: for a call
// that a constraint left without instances, and for one that is quarantined. So is that of
// a call that may have run, and of a route without a target. All others return within the
// target, early enough for an answer that is worth something.
func RetryAfter(refused Refusal, target time.Duration, random float64) time.Duration {
	keeps := refused.Constrained || refused.Code == result.CallNotRunQuarantined
	if !refused.Code.NotRun() || target == 0 || keeps {
		return refused.RetryAfter
	}
	part := returnFrom + (returnTo-returnFrom)*random
	return time.Duration(part * float64(target.Milliseconds()) * float64(time.Millisecond))
}
