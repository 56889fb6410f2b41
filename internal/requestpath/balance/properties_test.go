package balance

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// drawSelector returns a random selection with its instances.
func drawSelector(t *rapid.T) (*selector, []*Target) {
	generator := &generator{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1000, 0)}
	targets := generator.targets()
	return &selector{
		daemon: "node", place: locality.Place{Zone: "z0", Region: "r0"}, service: generator.service(),
		choice: generator.choice(targets), now: generator.now, random: generator.Rand,
	}, targets
}

// Checks that the instances that pass the filter were not tried, meet all constraints and are in
// service, and that unhealthy instances are returned only if there are no healthy ones.
func TestFilterKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selection, targets := drawSelector(t)
		feasible, err := selection.filter(targets)
		allowed := func(target *Target) bool {
			for _, constraint := range selection.choice.Constraints {
				if !constraint.Allows(target.Endpoint) {
					return false
				}
			}
			return !slices.Contains(selection.choice.Exclude, target) && selection.inService(target)
		}
		unhealthy := func(target *Target) bool {
			return isUnhealthy(target.Endpoint.GetState(), target.ejected(selection.now))
		}
		assert.Equal(t, err == nil, slices.ContainsFunc(targets, allowed))
		for _, target := range feasible {
			assert.Assert(t, allowed(target))
			assert.Equal(t, unhealthy(target), unhealthy(feasible[0]))
		}
		if err == nil && unhealthy(feasible[0]) {
			assert.Assert(t, !slices.ContainsFunc(targets, func(target *Target) bool { return allowed(target) && !unhealthy(target) }))
		}
	})
}

// Checks that a subset holds only candidates, none of them twice, all of them if there are few, and
// never more than subsetSize plus the extra instances of other regions.
func TestSubsetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selection, candidates := drawSelector(t)
		chosen := selection.subset(candidates)
		assert.Assert(t, len(chosen) >= min(len(candidates), subsetSize))
		assert.Assert(t, len(chosen) <= subsetSize+otherRegionReserved)
		for index, target := range chosen {
			assert.Assert(t, slices.Contains(candidates, target))
			assert.Assert(t, !slices.Contains(chosen[:index], target))
		}
	})
}

// Checks that the cost of an instance never decreases if one of its properties gets worse.
func TestCostIsMonotonic(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string, min, max float64) float64 { return rapid.Float64Range(min, max).Draw(t, name) }
		call := &callState{
			target: number("target", 0.01, 10), remaining: number("left", -1, 10), routeServiceTime: number("typical", 0.001, 5),
			scv: number("spread", 0, 3), bytes: number("bytes", 0, 100_000), now: now,
		}
		base := &costState{
			serviceTime: ewma{value: number("known", 0.001, 5), at: now}, load: number("load", 0, 30), slots: 6,
			failureRate: number("failures", 0, 1), coldRate: number("rate", 0, 10),
			tier: locality.Tier(rapid.IntRange(0, 1).Draw(t, "tier")),
		}
		cost := costOf(call, base, 0)
		for name, worse := range map[string]func(*costState){
			"load":     func(state *costState) { state.load += 3 },
			"failures": func(state *costState) { state.failureRate += 0.1 },
			"service":  func(state *costState) { state.serviceTime.value *= 1.5 },
			"distance": func(state *costState) { state.tier++ },
		} {
			changed := *base
			worse(&changed)
			assert.Assert(t, costOf(call, &changed, 0) >= cost, "%s", name)
		}
	})
}

// Checks that the load score does not decrease with more calls, a higher reported load, a cold
// instance or a shorter slow start age.
func TestLoadScoreIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := loadState{
			slots: float64(rapid.IntRange(1, 10).Draw(t, "slots")), inFlight: float64(rapid.IntRange(0, 30).Draw(t, "in flight")),
			reportedLoad: rapid.Float64Range(0, 3).Draw(t, "reported"), slowStartAge: time.Duration(rapid.Int64Range(0, int64(slowStartWindow)).Draw(t, "age")),
		}
		for name, worse := range map[string]func(*loadState){
			"calls":    func(state *loadState) { state.inFlight++ },
			"reported": func(state *loadState) { state.reportedLoad += 0.5 },
			"cold":     func(state *loadState) { state.cold = true },
			"younger":  func(state *loadState) { state.slowStartAge /= 2 },
		} {
			changed := base
			worse(&changed)
			assert.Assert(t, loadScore(changed) >= loadScore(base), "%s", name)
		}
	})
}

// Checks that equal inputs and equal randomness select the same instance, and that every daemon
// selects the same instance for a key.
func TestChoiceDependsOnItsInputsOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selection, targets := drawSelector(t)
		seed := rapid.Uint64().Draw(t, "random")
		again := *selection
		selection.random, again.random = rand.New(rand.NewPCG(seed, 2)), rand.New(rand.NewPCG(seed, 2))
		if selection.choice.Key != "" {
			again.daemon, again.place = "other", locality.Place{Zone: "z3", Region: "r1"}
		}
		first, _ := selection.pick(targets)
		second, _ := again.pick(targets)
		assert.Assert(t, first == second)
	})
}
