package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// variantSeeds is the number of runs, enough for each faulty variant to fail.
const variantSeeds = 20

// runFewSeeds runs a scenario with variantSeeds seeds.
func runFewSeeds(s scenario) []simResult {
	results := make([]simResult, 0, variantSeeds)
	for seed := range uint64(variantSeeds) {
		results = append(results, runSimulation(s, seed))
	}
	return results
}

func TestDaysCatchAJudgeOfFailuresAlone(t *testing.T) {
	t.Parallel()
	faulty := scenario{bad: fromStart(0, 0.5), variant: variant{ignoresTimes: true}}
	assert.Assert(t, stored(runFewSeeds(faulty), EndRolledBack) < variantSeeds/2)
}

// One daemon receives the announcements of the shift late, so that the end must wait for its
// announcement.
func TestDaysCatchAnEndWrittenTooEarly(t *testing.T) {
	t.Parallel()
	const late = 5 * time.Second
	for seed, result := range runFewSeeds(scenario{announcementDelay: late}) {
		assert.Check(t, result.end == EndCompleted && result.endAfter <= simDuration, "seed %d: %s after %v", seed, result.end, result.endAfter)
		assert.Check(t, result.oldAfterCompleted == 0, "seed %d", seed)
	}
	for seed, result := range runFewSeeds(scenario{announcementDelay: late, variant: variant{announcesEarly: true}}) {
		assert.Check(t, result.oldAfterCompleted > 0, "seed %d", seed)
	}
}

func TestDaysCatchDaemonsThatCountTheSlackForThemselves(t *testing.T) {
	t.Parallel()
	caught := 0
	for _, result := range runFewSeeds(scenario{bad: fromStart(0.3, 0), restarts: true, variant: variant{slack: 50}}) {
		if result.worstOver > 0 {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// The version turns bad after all calls have moved, while the store does writes late. A daemon that
// reverts on its own sends calls to instances that were stopped after the late end.
func TestDaysCatchAStepTakenBack(t *testing.T) {
	t.Parallel()
	turnsBad := func(*rand.Rand) fault {
		return fault{failing: 0.9, after: PlanFor(time.Time{}, simDuration).CompletionAt.Sub(time.Time{}) - 100*time.Millisecond}
	}
	sent := func(v variant) (old int) {
		for _, result := range runFewSeeds(scenario{bad: turnsBad, storeFaults: true, variant: v}) {
			old += result.oldAfterCompleted
		}
		return old
	}
	assert.Equal(t, sent(variant{}), 0)
	assert.Assert(t, sent(variant{revertsAlone: true}) > 0)
}
