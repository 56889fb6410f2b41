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

// drawSelector returns a generated choice with the instances to choose from.
func drawSelector(t *rapid.T) (*selector, []*Target) {
	generator := &drawn{Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1000, 0)}
	targets := generator.targets()
	return &selector{
		daemon: "node", place: locality.Place{Zone: "z0", Region: "r0"}, service: generator.service(),
		choice: generator.choice(targets), now: generator.now, random: generator.Rand,
	}, targets
}

// What passes the filter was not tried, meets each constraint and is in service; health only
// keeps out instances while there are better ones.
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
		doubtful := func(target *Target) bool {
			return isDoubtful(target.Endpoint.GetState(), target.ejected(selection.now))
		}
		assert.Equal(t, err == nil, slices.ContainsFunc(targets, allowed))
		for _, target := range feasible {
			assert.Assert(t, allowed(target))
			assert.Equal(t, doubtful(target), doubtful(feasible[0]))
		}
		if err == nil && doubtful(feasible[0]) {
			assert.Assert(t, !slices.ContainsFunc(targets, func(target *Target) bool { return allowed(target) && !doubtful(target) }))
		}
	})
}

// A subset holds no instance twice, none that is not a candidate, all where there are few,
// and never more than its size and what other regions add.
func TestSubsetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		selection, candidates := drawSelector(t)
		chosen := selection.subset(candidates)
		assert.Assert(t, len(chosen) >= min(len(candidates), subsetSize))
		assert.Assert(t, len(chosen) <= subsetSize+otherRegionTaken)
		for index, target := range chosen {
			assert.Assert(t, slices.Contains(candidates, target))
			assert.Assert(t, !slices.Contains(chosen[:index], target))
		}
	})
}

// Nothing that is worse about an instance makes it cheaper.
func TestCostIsMonotonic(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string, least, most float64) float64 { return rapid.Float64Range(least, most).Draw(t, name) }
		call := &callState{
			target: number("target", 0.01, 10), left: number("left", -1, 10), typical: number("typical", 0.001, 5),
			spread: number("spread", 0, 3), bytes: number("bytes", 0, 100_000), now: now,
		}
		seen := &costState{
			known: mean{value: number("known", 0.001, 5), at: now}, load: number("load", 0, 30), slots: 6,
			failures: number("failures", 0, 1), coldRate: number("rate", 0, 10),
			tier: locality.Tier(rapid.IntRange(0, 1).Draw(t, "tier")),
		}
		cost := costOf(call, seen, 0)
		for name, worse := range map[string]func(*costState){
			"load":     func(state *costState) { state.load += 3 },
			"failures": func(state *costState) { state.failures += 0.1 },
			"service":  func(state *costState) { state.known.value *= 1.5 },
			"distance": func(state *costState) { state.tier++ },
		} {
			changed := *seen
			worse(&changed)
			assert.Assert(t, costOf(call, &changed, 0) >= cost, "%s", name)
		}
	})
}

// The score by load rises with calls, with reports, with cold and with youth.
func TestLoadScoreIsMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seen := loadState{
			slots: float64(rapid.IntRange(1, 10).Draw(t, "slots")), inFlight: float64(rapid.IntRange(0, 30).Draw(t, "in flight")),
			reported: rapid.Float64Range(0, 3).Draw(t, "reported"), age: time.Duration(rapid.Int64Range(0, int64(slowStartWindow)).Draw(t, "age")),
		}
		for name, worse := range map[string]func(*loadState){
			"calls":    func(state *loadState) { state.inFlight++ },
			"reported": func(state *loadState) { state.reported += 0.5 },
			"cold":     func(state *loadState) { state.cold = true },
			"younger":  func(state *loadState) { state.age /= 2 },
		} {
			changed := seen
			worse(&changed)
			assert.Assert(t, loadScore(changed) >= loadScore(seen), "%s", name)
		}
	})
}

// The same inputs and the same randomness give the same instance, and every daemon the same for
// one key.
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
