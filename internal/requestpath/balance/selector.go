package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// Choice is what an instance is chosen for.
type Choice struct {
	// Exclude are instances that were tried already.
	Exclude []*Target
	// Key is the caller's idempotency key, empty for none.
	Key   string
	Route string
	// TargetLatency is the time inside which an answer is worth most, 0 where
	// the route sets none.
	TargetLatency time.Duration
	// Spent is the part of TargetLatency that is over already.
	Spent time.Duration
	// Bytes is about how many go both ways.
	Bytes float64
	// Constraints are what an instance must meet to be chosen at all.
	Constraints []Constraint
}

// random is a source of randomness; *rand.Rand is one.
type random interface {
	Float64() float64
	IntN(n int) int
}

// processRandom draws from the process's generator, which is safe for concurrent use.
type processRandom struct{}

// Float64 implements random.
func (processRandom) Float64() float64 { return rand.Float64() }

// IntN implements random.
func (processRandom) IntN(n int) int { return rand.IntN(n) }

// selector makes one choice of an instance from its fields and from what was observed of the
// instances up to now. It reads no clock and draws from random only.
type selector struct {
	// daemon and place are those of this daemon.
	daemon string
	place  locality.Place
	// service is the called service in the configuration in force.
	service *snapshot.Service
	choice  Choice
	now     time.Time
	random  random
}

// pick filters, then scores. Errors: those of filter.
func (s *selector) pick(targets []*Target) (*Target, error) {
	feasible, err := s.filter(targets)
	if err != nil {
		return nil, err
	}
	return s.best(feasible), nil
}

// best is the second stage of a choice: it returns the best of the feasible instances, of which
// there is at least one.
//
// A call with an idempotency key goes to the instance that ranks first for the key at every
// daemon, so that its repetitions meet there. Any other call goes to one of this daemon's subset
// (subset.go). With a target latency that is the one of least cost (cost.go): time, lateness, bytes
// and failures are all counted in parts of that latency. A route without one lacks this common
// unit, and the instance is chosen by load per slot (load.go) alone.
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

// tierOf returns how far an instance is from this daemon.
func (s *selector) tierOf(target *Target) locality.Tier {
	return s.place.TierOf(locality.Place{Zone: target.Endpoint.GetZone(), Region: target.Endpoint.GetRegion()})
}

// slots returns how many calls an instance runs at once: as it reports itself, else as its
// pool does, else 1.
func (s *selector) slots(target *Target) float64 {
	if reported := target.Endpoint.GetSlots(); reported > 0 {
		return float64(reported)
	}
	return float64(max(s.service.Bundle.GetPool().GetSlots(), 1))
}

// coldRate returns how many calls a second a cold instance of the pool is admitted, 0 where
// the pool does not say.
func (s *selector) coldRate() float64 { return s.service.Bundle.GetPool().GetColdCallsPerSecond() }
