package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Weights of the load score.
const (
	// reportWeight is the weight of the reported load, in calls per slot, relative to the calls in
	// flight from this daemon. It is below 1, because the calls in flight are known exactly and the
	// report includes them again.
	reportWeight = 0.5
	// zonePenalty is the load in calls per slot that is added to an instance of another zone. It is
	// below 1, so that an idle instance of another zone is preferred to a fully loaded one of the
	// own zone.
	zonePenalty = 0.75
	// regionPenalty is the corresponding penalty for another region. It is larger than zonePenalty
	// by the ratio of the traffic prices.
	regionPenalty = zonePenalty * crossRegionPriceRatio
)

// loadState is the input of the load score for one instance.
type loadState struct {
	// slots is the number of calls that the instance runs concurrently. inFlight is the number of
	// calls that this daemon currently has there.
	slots, inFlight float64
	// cold is true while the instance reports that it is cold.
	cold bool
	// reportedLoad is the load in calls per slot that the daemon of the instance reported; 0 if the
	// report is older than reportLifetime.
	reportedLoad float64
	// slowStartAge is the time since the slow start began.
	slowStartAge time.Duration
}

// loadScore returns the expected load per slot after one more call, raised for a cold instance and
// for one in slow start; lower is better.
func loadScore(state loadState) float64 {
	load := (state.inFlight + 1) / state.slots
	if state.cold {
		load *= coldFactor
	}
	load += reportWeight * state.reportedLoad
	return load / slowStartShare(state.slowStartAge)
}

// localityPenalty returns the load in calls per slot that is added to instances of the given tier.
func localityPenalty(tier locality.Tier) float64 {
	switch tier {
	case locality.OwnZone:
		return 0
	case locality.OwnRegion:
		return zonePenalty
	default:
		return regionPenalty
	}
}

// leastLoaded picks one instance of each locality tier by power of two choices, and returns the one
// with the lowest score including localityPenalty. Random sampling keeps daemons that see the same
// loads from all selecting the same instance.
func (s *selector) leastLoaded(candidates []*Target) *Target {
	var tiers [locality.OtherRegion + 1][]*Target
	for _, target := range candidates {
		tier := s.tierOf(target)
		tiers[tier] = append(tiers[tier], target)
	}
	var best *Target
	lowest := math.Inf(1)
	for tier, targets := range tiers {
		target, score := s.powerOfTwoChoices(targets)
		score += localityPenalty(locality.Tier(tier))
		if target != nil && (best == nil || score < lowest) {
			best, lowest = target, score
		}
	}
	return best
}

// powerOfTwoChoices returns the target with the lower score of two random ones, and that score.
// Without targets it returns nil and infinity.
func (s *selector) powerOfTwoChoices(targets []*Target) (*Target, float64) {
	if len(targets) == 0 {
		return nil, math.Inf(1)
	}
	first := s.random.IntN(len(targets))
	best, bestScore := targets[first], s.loadScoreOf(targets[first])
	if len(targets) == 1 {
		return best, bestScore
	}
	second := (first + 1 + s.random.IntN(len(targets)-1)) % len(targets)
	if score := s.loadScoreOf(targets[second]); score < bestScore {
		return targets[second], score
	}
	return best, bestScore
}

func (s *selector) loadScoreOf(target *Target) float64 {
	return loadScore(target.loadState(s.slots(target), s.now))
}
