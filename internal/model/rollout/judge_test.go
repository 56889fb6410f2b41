package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// trial feeds a judge: answers of the old version in two zones and of three new instances.
type trial struct {
	random   *rand.Rand
	judge    *Judge
	evidence Evidence
	// old is the number of the old version's answers of a moment by zone.
	old map[string]int
}

func newTrial(seed uint64) *trial {
	return &trial{random: rand.New(rand.NewPCG(seed, 5)), judge: NewJudge(), evidence: Evidence{}, old: map[string]int{"y": 50, "z": 50}}
}

// rates are the shares of failures and of slow answers.
type rates struct{ failing, slow float64 }

// note adds answers of one counter.
func (t *trial) note(key Key, count int, r rates) {
	for range count {
		taken := time.Duration(float64(200*time.Millisecond) * (0.7 + 0.6*t.random.Float64()))
		if t.random.Float64() < r.slow {
			taken *= 4
		}
		t.evidence.Note(key, t.random.Float64() < r.failing, taken)
	}
}

// round adds the answers of a moment and returns the verdict.
func (t *trial) round(old map[string]rates, fresh map[string]rates) Verdict {
	for _, zone := range []string{"y", "z"} {
		t.note(Key{Route: "r", Zone: zone}, t.old[zone], old[zone])
	}
	for index, zone := range []string{"y", "z", "z"} {
		instance := fmt.Sprint("i-", index)
		t.note(Key{New: true, Route: "r", Zone: zone, Instance: instance}, 4, fresh[instance])
	}
	return t.judge.Review(t.evidence)
}

// all gives every instance the same rates.
func all(r rates) map[string]rates {
	return map[string]rates{"i-0": r, "i-1": r, "i-2": r, "y": r, "z": r}
}

// convictedAfter returns the rounds until a conviction, -1 for none within a number.
func (t *trial) convictedAfter(rounds int, old, fresh map[string]rates) int {
	for round := range rounds {
		if t.round(old, fresh).Opinion == OpinionBad {
			return round + 1
		}
	}
	return -1
}

var sound = all(rates{0.005, 0.01})

func TestJudgeConvictsSoonAndAcquitsTheSound(t *testing.T) {
	for seed := range uint64(200) {
		for _, bad := range []rates{{failing: 0.2}, {slow: 0.4}} {
			after := newTrial(seed).convictedAfter(40, sound, all(bad))
			assert.Check(t, after > 0 && after <= 25, "seed %d: %v after %d rounds", seed, bad, after)
		}
		trial := newTrial(seed)
		assert.Check(t, trial.convictedAfter(400, sound, sound) < 0, "seed %d", seed)
		assert.Check(t, trial.round(sound, sound).Opinion == OpinionGood, "seed %d", seed)
	}
}

// What was good for long does not pay for what is bad now.
func TestJudgeTakesNoLongerWhenTheVersionTurnsBadLate(t *testing.T) {
	for seed := range uint64(50) {
		trial := newTrial(seed)
		assert.Check(t, trial.convictedAfter(500, sound, sound) < 0)
		after := trial.convictedAfter(40, sound, all(rates{failing: 0.3}))
		assert.Check(t, after > 0 && after <= 15, "seed %d: after %d rounds", seed, after)
	}
}

func TestJudgeDoesNotConvictForOneInstance(t *testing.T) {
	fresh := map[string]rates{"i-0": sound["y"], "i-1": sound["y"], "i-2": {failing: 0.6, slow: 0.5}}
	for seed := range uint64(50) {
		trial := newTrial(seed)
		assert.Check(t, trial.convictedAfter(200, sound, fresh) < 0, "seed %d", seed)
		assert.Check(t, trial.round(sound, fresh).Leaning < 0, "seed %d", seed)
	}
}

// In zone z old and new fail alike; two of three new instances stand there and few of the
// old ones, so that over all zones together the new version looks much worse.
func TestJudgeComparesWithinTheZone(t *testing.T) {
	grey := rates{failing: 0.5}
	old := map[string]rates{"y": {0.005, 0.01}, "z": grey}
	fresh := map[string]rates{"i-0": {0.005, 0.01}, "i-1": grey, "i-2": grey}
	for seed := range uint64(50) {
		trial := newTrial(seed)
		trial.old = map[string]int{"y": 180, "z": 20}
		assert.Check(t, trial.convictedAfter(200, old, fresh) < 0, "seed %d", seed)
	}
}

// A grey time that strikes all at once convicts nobody.
func TestJudgeComparesTheSameTime(t *testing.T) {
	for seed := range uint64(50) {
		trial := newTrial(seed)
		assert.Check(t, trial.convictedAfter(100, sound, sound) < 0)
		worse := all(rates{failing: 0.3, slow: 0.2})
		assert.Check(t, trial.convictedAfter(100, worse, worse) < 0, "seed %d", seed)
	}
}

func TestConvictionStands(t *testing.T) {
	trial := newTrial(1)
	assert.Assert(t, trial.convictedAfter(40, sound, all(rates{failing: 0.5})) > 0)
	for range 500 {
		verdict := trial.round(sound, sound)
		assert.Assert(t, verdict.Opinion == OpinionBad && verdict.Symptom == SymptomFailures)
	}
}

func TestJudgeWithoutAnswersIsUndecided(t *testing.T) {
	verdict := NewJudge().Review(Evidence{})
	assert.Equal(t, verdict, Verdict{Opinion: OpinionUndecided})
}

func TestAnswersOfColdInstancesAreNoEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	traffic := NewTraffic(testOrder)
	traffic.Apply(Allocation{Order: testOrder, Share: 0.5})
	attempt, ok := traffic.Begin("r", &lapisv1.Endpoint{Instance: "b", Version: "v2"}, now)
	assert.Assert(t, ok)
	traffic.Answered(attempt, true, true, time.Second, now)
	assert.Equal(t, len(traffic.Evidence(now)), 0)
}

// The first answers to come are the quickest; they say nothing of what is late.
func TestUsualTimeNeedsEnoughAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	traffic := NewTraffic(testOrder)
	traffic.Apply(Allocation{Order: testOrder, Share: 0.5})
	_, _ = traffic.Begin("r", &lapisv1.Endpoint{Instance: "b", Version: "v2"}, now)
	for range leastUsual - 1 {
		attempt, _ := traffic.Begin("r", &lapisv1.Endpoint{Instance: "a", Version: "v1"}, now)
		traffic.Answered(attempt, false, false, time.Millisecond, now.Add(time.Millisecond))
	}
	evidence := traffic.Evidence(now.Add(time.Minute))
	assert.Equal(t, evidence[Key{New: true, Route: "r", Instance: "b"}].Answers, uint32(0))
}

// A decider that has not heard of the old instances does not take the new version for the
// one in force while any daemon has answers of the old one.
func TestVersionIsNotInForceWhileOldAnswersCome(t *testing.T) {
	now := time.Unix(1000, 0)
	order := Order{Service: "desk", Identity: testOrder, Revision: 4}
	for _, old := range []bool{true, false} {
		controller := NewController("a", 1, order, now)
		evidence := Evidence{}
		if old {
			evidence.Note(Key{Route: "r"}, false, time.Second)
		}
		controller.Report(Report{Order: testOrder, Node: "a", Sequence: 1, Evidence: evidence})
		for _, after := range []time.Duration{5*time.Second - warmUp, 5 * time.Second} {
			controller.Tick(View{
				Now: now.Add(after), StoreAnswered: now.Add(after), Members: []string{"a"}, Known: 1,
				New: []string{"i"}, Warm: []string{"i"}, Settled: true,
			})
		}
		assert.Equal(t, controller.State() == StateProbing, old, "%s", controller.State())
	}
}
