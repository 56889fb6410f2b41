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

// call is a request with the configuration that was current when it was read. All attempts at the
// call share it.
type call struct {
	current *snapshot.Snapshot
	route   *lapisv1.Route
	// opening is the template of the call's head, which is sent to the daemon beside an instance. Each
	// attempt copies it. Its service is the pool that was chosen last.
	opening *lapisv1.CallOpen
	body    *requestBody
	// attach attaches the body to an attempt, as requestBody.attach does.
	attach func(*callapi.Call) (withdraw func())
	// requestID is the caller's ID of the request; empty if there is none.
	requestID string
	// keys identify the request in the quarantine; empty if no instance has crashed under the
	// request's path.
	keys []fingerprint.Key
	// local is true when the caller is on this machine.
	local bool

	// startedAt is the time at which the request's head had been read.
	startedAt time.Time
	// suspendedAtStart is the total time that this machine had been suspended by startedAt, and
	// priorWait the time that the caller had been waiting since its first try.
	suspendedAtStart time.Duration
	priorWait        time.Duration
}

// retryCall returns the properties of the call that the retry rule uses.
func (c *call) retryCall() retry.Call {
	return retry.Call{
		Repeatable: c.opening.GetRepeatable(), ChainRetries: c.opening.GetAttempt(),
		MaxAttempts: int(c.route.GetCallClass().GetMaxAttempts()),
	}
}

// tryOfCaller tells whether the caller is expected to come back after a refusal. A caller that has
// been waiting since an earlier try has come back already. The instance on this machine fails its own
// request if its call is refused.
func (c *call) tryOfCaller() retry.Try {
	if c.local || c.priorWait > 0 {
		return retry.LastTry
	}
	return retry.FirstTry
}

// targetLatency returns the target latency of the route, 0 if it has none.
func (c *call) targetLatency() time.Duration {
	return time.Duration(c.route.GetCallClass().GetTargetLatencyMillis()) * time.Millisecond
}

// waitBounds returns how long the call may wait at an instance with the given service time.
func (c *call) waitBounds(ctx context.Context, serviceTime time.Duration) refusal.Bounds {
	timing := refusal.Timing{
		Target: c.targetLatency(), ServiceTime: serviceTime, Elapsed: time.Since(c.startedAt), ElapsedBeforeArrival: c.priorWait,
	}
	if deadline, ok := ctx.Deadline(); ok {
		timing.HasDeadline, timing.TimeToDeadline = true, deadline.Sub(c.startedAt)
	}
	return refusal.BoundsOf(timing)
}

// pickPool returns the pool for a call of route. For a split route, it draws one at random by weight. A
// pool without free capacity is not replaced by another one, so that the shares stay as the operator set
// them.
func pickPool(route *lapisv1.Route) string {
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

// constraints returns the constraints that an instance must meet to get the call: its zone is not
// evacuated at the time of the attempt, and its region is allowed by the route under which the request
// was read.
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
