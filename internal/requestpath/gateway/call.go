package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// call is one request as it was read, with the configuration that was in force then. All its
// attempts share it.
type call struct {
	current *snapshot.Snapshot
	route   *lapisv1.Route
	// opening is the head of the call as it goes to the daemon beside an instance, which each
	// attempt copies; its service is the pool drawn last.
	opening *lapisv1.CallOpen
	body    *requestBody
	// attach prepares an attempt's body.
	attach func(*callapi.Call)
	// request is the caller's id of the request, empty where there is none.
	request string
	// keys name what the call asks for where instances crashed under its path; empty
	// otherwise.
	keys []fingerprint.Key
	// local is true when the caller is on this machine.
	local bool

	// started is when the request's head was read.
	started time.Time
	// suspendedBefore is the time for which this machine had been suspended by then.
	suspendedBefore time.Duration
	// waitedBefore is how long the caller had been waiting by then, since an earlier try.
	waitedBefore time.Duration
}

// retryCall returns what the retry rule needs of the call.
func (c *call) retryCall() retry.Call {
	return retry.Call{
		Repeatable: c.opening.GetRepeatable(), ChainRetries: c.opening.GetAttempt(),
		MaxAttempts: int(c.route.GetCallClass().GetMaxAttempts()),
	}
}

// targetLatency returns the time inside which an answer is worth most, 0 where the route
// states none.
func (c *call) targetLatency() time.Duration {
	return time.Duration(c.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
}

// until returns the time until the call's deadline. Its caller has gone on waiting while
// this machine was suspended, the clock of the deadline has not.
func (c *call) until(deadline time.Time) time.Duration {
	return time.Until(deadline) - (boottime.Suspended() - c.suspendedBefore)
}

// hopeless reports whether too little time is left for an answer of an instance where calls
// of the route have been taking usual of late.
func (c *call) hopeless(ctx context.Context, usual time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return ok && refusal.Hopeless(c.until(deadline), usual)
}

// bounds returns how long the call may wait at an instance with the given service time.
func (c *call) bounds(ctx context.Context, serviceTime time.Duration) refusal.Bounds {
	timing := refusal.Timing{
		Target: c.targetLatency(), ServiceTime: serviceTime, Spent: time.Since(c.started), SpentBefore: c.waitedBefore,
	}
	if deadline, ok := ctx.Deadline(); ok {
		timing.HasDeadline, timing.Whole = true, deadline.Sub(c.started)
	}
	return refusal.BoundsOf(timing)
}

// poolOf returns the pool that serves a call of route: of several parts one that is drawn by
// weight. A call keeps to its part also when that has no room, so that the shares stay as the
// operator set them.
func poolOf(route *lapisv1.Route) string {
	parts := route.GetSplit()
	if len(parts) == 0 {
		return route.GetPool()
	}
	total := uint64(0)
	for _, part := range parts {
		total += uint64(part.GetWeight())
	}
	drawn := rand.Uint64N(max(total, 1))
	for _, part := range parts {
		weight := uint64(part.GetWeight())
		if drawn < weight {
			return part.GetPool()
		}
		drawn -= weight
	}
	return route.GetPool()
}
