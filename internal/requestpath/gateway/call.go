package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/requestpath/refusal"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
)

// call is one request as it was read, with the configuration that was in force then. All its
// attempts share it.
type call struct {
	current *snapshot.Snapshot
	route   *lapisv1.Route
	// opening is the head of the call as it is sent to the daemon beside an instance. Each
	// attempt copies it; its service is the pool that was drawn last.
	opening *lapisv1.CallOpen
	body    *requestBody
	// attach gives the body to an attempt.
	attach func(*callapi.Call)
	// requestID is the caller's id of the request, empty where there is none.
	requestID string
	// keys are those that the quarantine knows the request by; empty where no instance crashed
	// under its path.
	keys []fingerprint.Key
	// local is true when the caller is on this machine.
	local bool

	// started is when the request's head was read.
	started time.Time
	// suspendedBefore is how long this machine had been suspended by then, waitedBefore how
	// long the caller had been waiting since its first try.
	suspendedBefore time.Duration
	waitedBefore    time.Duration
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

// poolOf returns the pool that serves a call of route; where the route is split, one drawn by
// weight. Another pool does not step in for one without room, so that the shares stay as the
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

// constraints returns what an instance must meet to get the call at all: its zone is not
// evacuated at the time of the attempt, and its region is one that the route in force when
// the request was read allows.
func (a *attempter) constraints() []balance.Constraint {
	var constraints []balance.Constraint
	if evacuated := a.gateway.config.Evacuated; evacuated != nil {
		constraints = append(constraints, balance.NotEvacuated(evacuated))
	}
	if regions := a.route.GetAllowedRegions(); len(regions) > 0 {
		constraints = append(constraints, balance.InRegions(regions))
	}
	return constraints
}
