package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Weights of the score by load.
const (
	// reportWeight is the weight of the reported load, in calls per slot, against the calls in
	// flight from here: these are certain, and the report includes them again. It is below 1.
	reportWeight = 0.5
	// zonePenalty is how many calls per slot more an instance of the own zone may have than one of
	// another zone before the other goes first. It is below 1, so that an instance with all slots
	// taken does not go before an idle one of another zone.
	zonePenalty = 0.75
	// regionPenalty is the same against another region: zonePenalty as the prices of the bytes are.
	regionPenalty = zonePenalty * regionPriceRatio
)

// loadState is what the score by load knows of an instance.
type loadState struct {
	// slots is what runs at once, inFlight the calls there from this daemon now.
	slots, inFlight float64
	// cold is true while the instance reports that it is cold.
	cold bool
	// reported is the load in calls per slot that its daemon reported, 0 where that is older
	// than reportLifetime.
	reported float64
	// age is the time since its slow start began.
	age time.Duration
}

// loadScore returns the expected load per slot after one more call, weighed by what is known
// of warmth; less is better.
func loadScore(seen loadState) float64 {
	load := (seen.inFlight + 1) / seen.slots
	if seen.cold {
		load *= coldFactor
	}
	load += reportWeight * seen.reported
	return load / slowStartShare(seen.age)
}

// penaltyOf returns how many calls per slot more a nearer instance may have than one of the
// tier.
func penaltyOf(tier locality.Tier) float64 {
	switch tier {
	case locality.OwnZone:
		return 0
	case locality.OwnRegion:
		return zonePenalty
	default:
		return regionPenalty
	}
}

// leastLoaded returns the better of two random instances of each locality, and of these the
// nearest one unless it is clearly more loaded (penaltyOf). Two at random, because daemons
// that see the same loads would otherwise all choose the same instance.
func (s *selector) leastLoaded(candidates []*Target) *Target {
	var tiers [locality.OtherRegion + 1][]*Target
	for _, target := range candidates {
		tier := s.tierOf(target)
		tiers[tier] = append(tiers[tier], target)
	}
	var best *Target
	least := math.Inf(1)
	for tier, targets := range tiers {
		target, score := s.betterOfTwo(targets)
		score += penaltyOf(locality.Tier(tier))
		if score < least {
			best, least = target, score
		}
	}
	return best
}

// betterOfTwo returns the better of two random targets with its score, nil and infinity
// where there are none.
func (s *selector) betterOfTwo(targets []*Target) (*Target, float64) {
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
