package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// variantSeeds is enough for each broken variant to show.
const variantSeeds = 20

// playSome plays a scenario with a few seeds.
func playSome(s scenario) []dayResult {
	results := make([]dayResult, 0, variantSeeds)
	for seed := range uint64(variantSeeds) {
		results = append(results, playDay(s, seed))
	}
	return results
}

func TestDaysCatchAJudgeOfFailuresAlone(t *testing.T) {
	t.Parallel()
	day := scenario{bad: fromStart(0, 0.5), variant: variant{deafToTime: true}}
	assert.Assert(t, stored(playSome(day), EndRolledBack) < variantSeeds/2)
}

// One daemon hears of the shift late, so that the end has to wait for its word.
func TestDaysCatchAnEndWrittenTooEarly(t *testing.T) {
	t.Parallel()
	const late = 5 * time.Second
	for seed, result := range playSome(scenario{slowToHear: late}) {
		assert.Check(t, result.end == EndCompleted && result.endAfter <= dayDuration, "seed %d: %s after %v", seed, result.end, result.endAfter)
		assert.Check(t, result.oldAfterCompleted == 0, "seed %d", seed)
	}
	for seed, result := range playSome(scenario{slowToHear: late, variant: variant{early: true}}) {
		assert.Check(t, result.oldAfterCompleted > 0, "seed %d", seed)
	}
}

func TestDaysCatchDaemonsThatCountTheSlackForThemselves(t *testing.T) {
	t.Parallel()
	caught := 0
	for _, result := range playSome(scenario{bad: fromStart(0.3, 0), restarts: true, variant: variant{slack: 50}}) {
		if result.worstOver > 0 {
			caught++
		}
	}
	assert.Assert(t, caught > 0)
}

// The version turns bad after all have moved, while the store does writes late: a daemon
// that goes back on its own sends to instances that the late end stopped.
func TestDaysCatchAStepTakenBack(t *testing.T) {
	t.Parallel()
	turnsBad := func(*rand.Rand) fault {
		return fault{failing: 0.9, after: PlanFor(time.Time{}, dayDuration).SettledAt.Sub(time.Time{}) - 100*time.Millisecond}
	}
	sent := func(v variant) (old int) {
		for _, result := range playSome(scenario{bad: turnsBad, storeFaults: true, variant: v}) {
			old += result.oldAfterCompleted
		}
		return old
	}
	assert.Equal(t, sent(variant{}), 0)
	assert.Assert(t, sent(variant{takesBack: true}) > 0)
}
