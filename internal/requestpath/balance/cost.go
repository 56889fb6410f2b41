package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Weights of the cost score, as fractions of the target latency.
const (
	// failureCost is the cost of a call that is certain to fail. A failed call has no value, while
	// an answer from another zone keeps most of its value. It is larger than the cost of
	// sending a body of 5 KB to another zone, so that ordinary calls avoid an instance that fails
	// and is alone in its zone.
	failureCost = 2
	// latenessCost is the cost of an answer that is certain to be late. It equals failureCost,
	// because a late answer has little value.
	latenessCost = 2
	// costJitter is the maximum random amount added to a cost, so that daemons do not all select
	// the same instance. It must not exceed crossZoneBase, or calls would leave their own zone at
	// random.
	costJitter = 0.05
	// defaultServiceFraction is the assumed service time of a route, as a fraction of its target
	// latency, while no candidate has answered a call of that route. It must be below 1.
	defaultServiceFraction = 0.25
)

// costState is the input of the cost score for one instance.
type costState struct {
	// serviceTime is the mean service time of the route at the instance, in seconds, and scv its
	// squared coefficient of variation (type serviceTime).
	serviceTime, scv ewma
	// transientSlowdown is the relative increase of the current service time over the baseline that
	// the instance reports: 0 for none, 1 for twice the time. normalized is true if serviceTime is the
	// service time at that baseline, without transient slowdowns.
	transientSlowdown float64
	normalized        bool
	// load is the number of calls of all daemons at the instance, running and waiting. slots is the
	// number of calls that it runs concurrently.
	load, slots float64
	// failureRate is the fraction of attempts that failed, 0 to 1.
	failureRate float64
	// cold is true while the instance reports that it is cold. A cold instance is admitted coldRate
	// calls per second, 0 if its pool sets no rate, and rejects all calls for the next
	// coldRejectionSeconds.
	cold                           bool
	coldRate, coldRejectionSeconds float64
	// limited is true if the instance states that it accepts statedRate calls per second from all daemons.
	// Its daemon rejects all calls for the next limitRejectionSeconds.
	limited                           bool
	statedRate, limitRejectionSeconds float64
	tier                              locality.Tier
}

// callState is the input of the cost score for the call. All times are in seconds.
type callState struct {
	// target is the target latency. remaining is the part of it that is left, negative once the
	// target is missed.
	target, remaining float64
	// routeServiceTime is the mean service time of the route over all candidates, and scv its
	// squared coefficient of variation.
	routeServiceTime, scv float64
	// bytes is the approximate size of the request and the response together.
	bytes float64
	now   time.Time
}

// costOf returns the cost of a call at an instance, as a fraction of the target latency; lower is
// better. It is the sum of the expected response time, the probability of a late answer, the
// failure rate, the network cost (locality.go) and jitter.
func costOf(call *callState, state *costState, jitter float64) float64 {
	total, service := state.expected(call.routeServiceTime, call.now)
	total += networkRTT(state.tier)
	late := lateness(service, call.scv, call.remaining-(total-service))
	cost := total/call.target + late*latenessCost + state.failureRate*failureCost + jitter
	return cost + localityCost(state.tier, call.bytes)
}

// cheapest returns the candidate with the lowest cost.
func (s *selector) cheapest(candidates []*Target) *Target {
	states := make([]costState, len(candidates))
	coldRate := s.coldRate()
	for index, target := range candidates {
		states[index] = target.costState(s.choice.Route, s.slots(target), s.now)
		states[index].tier = s.tierOf(target)
		states[index].coldRate = coldRate
	}
	call := s.callState(states)
	var best *Target
	lowest := math.Inf(1)
	for index := range states {
		if cost := costOf(&call, &states[index], costJitter*s.random.Float64()); best == nil || cost < lowest {
			lowest = cost
			best = candidates[index]
		}
	}
	return best
}

// callState returns the input of the cost score for the call. Typical times are taken over all
// candidates.
func (s *selector) callState(candidates []costState) callState {
	call := callState{target: s.choice.TargetLatency.Seconds(), bytes: s.choice.Bytes, now: s.now}
	call.remaining = call.target - s.choice.Elapsed.Seconds()
	call.scv = meanSCV(candidates, s.now)
	routeServiceTime, known := meanServiceTime(candidates)
	if !known {
		routeServiceTime = call.target * defaultServiceFraction
	}
	call.routeServiceTime = routeServiceTime
	return call
}
