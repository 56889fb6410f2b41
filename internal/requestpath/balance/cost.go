package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Weights of the score by cost, in parts of the target latency.
const (
	// failureCost is what a certain failure costs: it is worth nothing, an answer that is late or
	// from another zone most of its worth. Larger than what a body of 5 KB to another zone costs,
	// so that ordinary calls leave an instance that fails alone in its zone.
	failureCost = 2
	// latenessCost is what an answer costs that is certain to be late: as much as a failure,
	// since it is worth little.
	latenessCost = 2
	// choiceNoise is the most that chance adds to a cost, so that daemons do not all choose
	// the same instance: not above crossingBase, or calls would leave the own zone by chance.
	choiceNoise = 0.05
	// unknownServicePart is the service time that is expected of a route, in parts of its
	// target latency, while no candidate answered a call of it; below 1.
	unknownServicePart = 0.25
)

// costState is what the score by cost knows of an instance.
type costState struct {
	// known is the service time of the route there, in seconds, and spread its spread
	// (serviceTime).
	known, spread mean
	// deviation is how much longer work takes there now than the instance mostly states, in parts of
	// that; freed is true where known is the time that the route mostly takes, freed of deviations.
	deviation float64
	freed     bool
	// load is the calls of all daemons there, running and waiting, and slots what runs at once.
	load, slots float64
	// failures is the share of failed attempts, 0 to 1.
	failures float64
	// cold is true while the instance reports that it is cold. It is then admitted coldRate calls
	// a second, 0 where its pool does not say, and takes none for refusedFor seconds.
	cold                 bool
	coldRate, refusedFor float64
	tier                 locality.Tier
}

// callState is what the score by cost knows of the call, all times in seconds.
type callState struct {
	// target is the target latency and left what is left of it, negative once it is over.
	target, left float64
	// typical is the service time of the route over all candidates, and spread the squared
	// deviation from it in parts of it.
	typical, spread float64
	// bytes is about how many go both ways.
	bytes float64
	now   time.Time
}

// costOf returns the cost of a call at an instance, in parts of the target latency; less is
// better. It is the sum of the expected time until the answer, the chance that the answer
// is late, the share of failures, the price of the way (locality.go) and noise.
func costOf(call *callState, seen *costState, noise float64) float64 {
	total, service := seen.expected(call.typical, call.now)
	total += roundTripOf(seen.tier)
	late := lateness(service, call.spread, call.left-(total-service))
	cost := total/call.target + late*latenessCost + seen.failures*failureCost + noise
	return cost + crossingOf(seen.tier, call.bytes)
}

// cheapest returns the candidate with the least cost.
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
	least := math.Inf(1)
	for index := range states {
		if cost := costOf(&call, &states[index], choiceNoise*s.random.Float64()); cost < least {
			least = cost
			best = candidates[index]
		}
	}
	return best
}

// callState returns what is known of the call, the typical times from all candidates.
func (s *selector) callState(candidates []costState) callState {
	call := callState{target: s.choice.TargetLatency.Seconds(), bytes: s.choice.Bytes, now: s.now}
	call.left = call.target - s.choice.Spent.Seconds()
	call.spread = typicalSpread(candidates, s.now)
	typical, known := typicalService(candidates)
	if !known {
		typical = call.target * unknownServicePart
	}
	call.typical = typical
	return call
}
