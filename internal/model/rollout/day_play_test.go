package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fromStart returns a fault that is present from the start.
func fromStart(failing, slow float64) func(*rand.Rand) fault {
	return func(*rand.Rand) fault { return fault{failing: failing, slow: slow} }
}

// late returns a fault that starts at a random time before the shift.
func late(failing, slow float64) func(*rand.Rand) fault {
	return func(random *rand.Rand) fault {
		until := PlanFor(time.Time{}, simDuration).ShiftAt.Sub(time.Time{})
		return fault{failing: failing, slow: slow, after: time.Duration(random.Float64() * float64(until))}
	}
}

var badScenarios = []scenario{
	{name: "fails from the start", bad: fromStart(0.3, 0)},
	{name: "slow from the start", bad: fromStart(0, 0.5)},
	{name: "fails late", bad: late(0.3, 0)},
	{name: "slow late", bad: late(0, 0.5)},
	{name: "fails on the rare route only", bad: func(*rand.Rand) fault { return fault{failing: 0.5, route: "depot-upload"} }},
	{name: "slow on the rare route only", bad: func(*rand.Rand) fault { return fault{slow: 0.6, route: "depot-upload"} }},
	{name: "fails under load", bad: func(*rand.Rand) fault { return fault{failing: 0.4, load: 6} }},
	{name: "fails under load, more instances", instances: 20, bad: func(*rand.Rand) fault { return fault{failing: 0.4, load: 4} }},
	{name: "fails, restarts and lost answers", bad: late(0.3, 0), restarts: true, storeFaults: true},
	{name: "fails in a grey zone", bad: fromStart(0.3, 0), greyZone: 0.2},
}

var goodScenarios = []scenario{
	{name: "good"},
	{name: "good but cold", coldFor: 8 * time.Second},
	{name: "good with a grey zone", greyZone: 0.3},
	{name: "good with a grey instance", greyInstance: 0.5},
	{name: "good, lost answers", storeFaults: true},
	{name: "good, restarts", restarts: true},
}

// runAllSeeds runs a scenario with every seed.
func runAllSeeds(s scenario) []simResult {
	results := make([]simResult, 0, simSeeds)
	for seed := range uint64(simSeeds) {
		results = append(results, runSimulation(s, seed))
	}
	return results
}

// stored counts the runs that reached the given end by the deadline.
func stored(results []simResult, end End) int {
	count := 0
	for _, result := range results {
		if result.end == end && result.endAfter <= simDuration {
			count++
		}
	}
	return count
}

func TestBadVersionsAreRolledBackWithinTheBound(t *testing.T) {
	for _, testCase := range badScenarios {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			results := runAllSeeds(testCase)
			var times []time.Duration
			worst, worstAfter := 0.0, time.Duration(0)
			for seed, result := range results {
				assert.Check(t, result.end == EndRolledBack && result.endAfter <= simDuration, "seed %d: %s after %v %v", seed, result.end, result.endAfter, describe(result))
				assert.Check(t, result.exposure <= result.bound, "seed %d: %.0f calls of %.0f", seed, result.exposure, result.bound)
				assert.Check(t, !result.reverted, "seed %d: a final end was overwritten", seed)
				assert.Check(t, result.oldAfterCompleted == 0)
				if result.fiftieth > 0 {
					worstAfter = max(worstAfter, result.lastNew-result.fiftieth)
				}
				worst = max(worst, result.exposure/result.bound)
				times = append(times, result.endAfter-result.firstBad)
			}
			assert.Check(t, worstAfter <= 5*time.Second, "sent %v after the fiftieth bad answer", worstAfter)
			slices.Sort(times)
			t.Logf("FIGURES %s: rolled back %d of %d, worst exposure %.2f of the bound, rolled back after the first bad answer p50 %v worst %v, last call %v after the 50th bad answer at worst",
				testCase.name, stored(results, EndRolledBack), simSeeds, worst, times[simSeeds/2], times[simSeeds-1], worstAfter)
		})
	}
}

func TestGoodVersionsAreCompleted(t *testing.T) {
	for _, testCase := range goodScenarios {
		t.Run(testCase.name, func(t *testing.T) {
			t.Parallel()
			results := runAllSeeds(testCase)
			cut, old := 0, 0
			for seed, result := range results {
				if result.end != EndCompleted || result.endAfter > simDuration {
					t.Logf("seed %d: %s after %v %v", seed, result.end, result.endAfter, describe(result))
				}
				assert.Check(t, !result.reverted)
				cut += result.cutOff
				old += result.oldAfterCompleted
			}
			completed := stored(results, EndCompleted)
			assert.Check(t, completed*100 >= simSeeds*99, "%d of %d", completed, simSeeds)
			assert.Check(t, cut == 0, "%d calls cut off", cut)
			if !testCase.restarts {
				assert.Check(t, old == 0, "%d calls sent to stopped instances", old)
			}
			t.Logf("FIGURES %s: completed %d of %d, cut off %d, sent to the old version afterwards %d", testCase.name, completed, simSeeds, cut, old)
		})
	}
}

func describe(result simResult) string {
	text := ""
	for _, step := range result.steps {
		if step.Reason != ReasonHeard && step.Reason != ReasonStored && step.Reason != ReasonInstances {
			text += fmt.Sprintf("[%s %s %s %s sum %.1f lean %.1f n %d bad %d left %v] ", step.To, step.Reason, step.Verdict.Symptom, step.Verdict.Route, step.Verdict.Sum, step.Verdict.TotalLogRatio, step.Verdict.Answers, step.Verdict.Bad, step.TimeLeft)
		}
	}
	return text
}
