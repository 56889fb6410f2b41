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

// Choice holds the properties of a call that determine which instance is selected.
type Choice struct {
	// Exclude lists the instances that were already tried.
	Exclude []*Target
	// Key is the idempotency key of the call; empty for none.
	Key   string
	Route string
	// TargetLatency is the response time up to which an answer has its full value; 0 if the route
	// sets none.
	TargetLatency time.Duration
	// Elapsed is the part of TargetLatency that has already passed.
	Elapsed time.Duration
	// Bytes is the approximate size of the request and the response together.
	Bytes float64
	// Constraints are the conditions that an instance must meet to be selected.
	Constraints []Constraint
}

// Random is a source of randomness, such as *rand.Rand.
type Random interface {
	Float64() float64
	IntN(n int) int
}

// globalRandom uses the global generator of math/rand/v2, which is safe for concurrent use.
type globalRandom struct{}

// Float64 implements Random.
func (globalRandom) Float64() float64 { return rand.Float64() }

// IntN implements Random.
func (globalRandom) IntN(n int) int { return rand.IntN(n) }

// selector selects an instance for one call from its fields and the observations of the instances
// so far. It reads no clock, and random is its only source of randomness.
type selector struct {
	// daemon and place are the name and the location of this daemon.
	daemon string
	place  locality.Place
	// service is the called service in the configuration in force.
	service *snapshot.Service
	choice  Choice
	now     time.Time
	random  Random
}

// pick filters the targets and returns the one with the best score. It returns the errors of
// filter.
func (s *selector) pick(targets []*Target) (*Target, error) {
	feasible, err := s.filter(targets)
	if err != nil {
		return nil, err
	}
	return s.best(feasible), nil
}

// best is the second stage of the selection: it returns the best of the feasible instances, of
// which there must be at least one.
//
// A call with an idempotency key goes to the instance that ranks first for the key at every daemon,
// so that all repeats of the call reach the same instance. Any other call goes to an instance of
// this daemon's subset (subset.go). If the route has a target latency, that is the instance with
// the lowest cost (cost.go), where time, lateness, bytes and failures are all expressed as
// fractions of that latency. A route without a target latency lacks this common unit, so its
// instance is selected by load per slot (load.go) alone.
func (s *selector) best(feasible []*Target) *Target {
	if s.choice.Key != "" {
		return highestScored(feasible, s.choice.Key)
	}
	candidates := s.subset(feasible)
	if s.choice.TargetLatency > 0 {
		return s.cheapest(candidates)
	}
	return s.leastLoaded(candidates)
}

// highestScored returns the candidate with the highest rendezvous hash score for the key.
func highestScored(candidates []*Target, key string) *Target {
	return slices.MaxFunc(candidates, func(a, b *Target) int {
		return cmp.Compare(rendezvous.Score(key, a.Endpoint.GetInstance()), rendezvous.Score(key, b.Endpoint.GetInstance()))
	})
}

// tierOf returns the locality tier of an instance relative to this daemon.
func (s *selector) tierOf(target *Target) locality.Tier {
	return s.place.TierOf(locality.Place{Zone: target.Endpoint.GetZone(), Region: target.Endpoint.GetRegion()})
}

// slots returns how many calls an instance runs concurrently: the value that it reports, else the
// value of its pool, else 1.
func (s *selector) slots(target *Target) float64 {
	if reported := target.Endpoint.GetSlots(); reported > 0 {
		return float64(reported)
	}
	return float64(max(s.service.Bundle.GetPool().GetSlots(), 1))
}

// coldRate returns the number of calls per second that a cold instance of the pool is admitted; 0
// if the pool sets no rate.
func (s *selector) coldRate() float64 { return s.service.Bundle.GetPool().GetColdCallsPerSecond() }
