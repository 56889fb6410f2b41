package balance

import (
	"cmp"
	"slices"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// best is the second stage of a choice: it ranks feasible instances, of which there is at
// least one, and returns the first.
//
// A call with an idempotency key goes to the instance that ranks first for the key at every
// daemon, so that repetitions meet. Any other call is ranked within this daemon's subset
// (subset.go), by one of two scores. The cut between them: a route with a target latency
// is ranked by cost (cost.go), because time, lateness, bytes and failures are all counted in
// parts of that latency; a route without one lacks this common unit and is ranked by load
// per slot (load.go) alone.
func (s *selector) best(feasible []*Target) *Target {
	if s.choice.Key != "" {
		return rankFirst(feasible, s.choice.Key)
	}
	candidates := s.subset(feasible)
	if s.choice.TargetLatency > 0 {
		return s.cheapest(candidates)
	}
	return s.leastLoaded(candidates)
}

// rankFirst returns the candidate with the highest rendezvous score for the key.
func rankFirst(candidates []*Target, key string) *Target {
	return slices.MaxFunc(candidates, func(a, b *Target) int {
		return cmp.Compare(rendezvous.Score(key, a.Endpoint.GetInstance()), rendezvous.Score(key, b.Endpoint.GetInstance()))
	})
}
