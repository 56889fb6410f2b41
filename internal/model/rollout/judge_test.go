package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// analyzerTest feeds an analyzer with answers of the old version in two zones and of three new
// instances.
type analyzerTest struct {
	random   *rand.Rand
	analyzer *Analyzer
	evidence Evidence
	// old is the number of the old version's answers per round, by zone.
	old map[string]int
}

func newAnalyzerTest(seed uint64) *analyzerTest {
	return &analyzerTest{random: rand.New(rand.NewPCG(seed, 5)), analyzer: NewAnalyzer(), evidence: Evidence{}, old: map[string]int{"y": 50, "z": 50}}
}

// rates holds the shares of failures and of slow answers.
type rates struct{ failing, slow float64 }

// note adds answers to one counter.
func (t *analyzerTest) note(key Key, count int, r rates) {
	for range count {
		taken := time.Duration(float64(200*time.Millisecond) * (0.7 + 0.6*t.random.Float64()))
		if t.random.Float64() < r.slow {
			taken *= 4
		}
		t.evidence.Note(key, t.random.Float64() < r.failing, taken)
	}
}

// round adds the answers of one round and returns the verdict.
func (t *analyzerTest) round(old map[string]rates, fresh map[string]rates) Verdict {
	for _, zone := range []string{"y", "z"} {
		t.note(Key{Route: "r", Zone: zone}, t.old[zone], old[zone])
	}
	for index, zone := range []string{"y", "z", "z"} {
		instance := fmt.Sprint("i-", index)
		t.note(Key{New: true, Route: "r", Zone: zone, Instance: instance}, 4, fresh[instance])
	}
	return t.analyzer.Review(t.evidence)
}

// all returns the same rates for every instance and zone.
func all(r rates) map[string]rates {
	return map[string]rates{"i-0": r, "i-1": r, "i-2": r, "y": r, "z": r}
}

// rejectedAfter returns the number of rounds until the version is rejected, or -1 if it is not.
func (t *analyzerTest) rejectedAfter(rounds int, old, fresh map[string]rates) int {
	for round := range rounds {
		if t.round(old, fresh).Opinion == OpinionBad {
			return round + 1
		}
	}
	return -1
}

var healthy = all(rates{0.005, 0.01})

func TestJudgeConvictsSoonAndAcquitsTheSound(t *testing.T) {
	for seed := range uint64(200) {
		for _, bad := range []rates{{failing: 0.2}, {slow: 0.4}} {
			after := newAnalyzerTest(seed).rejectedAfter(40, healthy, all(bad))
			assert.Check(t, after > 0 && after <= 25, "seed %d: %v after %d rounds", seed, bad, after)
		}
		analyzerTest := newAnalyzerTest(seed)
		assert.Check(t, analyzerTest.rejectedAfter(400, healthy, healthy) < 0, "seed %d", seed)
		assert.Check(t, analyzerTest.round(healthy, healthy).Opinion == OpinionGood, "seed %d", seed)
	}
}

// A long period of good answers must not delay the rejection of a version that turns bad later.
func TestJudgeTakesNoLongerWhenTheVersionTurnsBadLate(t *testing.T) {
	for seed := range uint64(50) {
		analyzerTest := newAnalyzerTest(seed)
		assert.Check(t, analyzerTest.rejectedAfter(500, healthy, healthy) < 0)
		after := analyzerTest.rejectedAfter(40, healthy, all(rates{failing: 0.3}))
		assert.Check(t, after > 0 && after <= 15, "seed %d: after %d rounds", seed, after)
	}
}

func TestJudgeDoesNotConvictForOneInstance(t *testing.T) {
	fresh := map[string]rates{"i-0": healthy["y"], "i-1": healthy["y"], "i-2": {failing: 0.6, slow: 0.5}}
	for seed := range uint64(50) {
		analyzerTest := newAnalyzerTest(seed)
		assert.Check(t, analyzerTest.rejectedAfter(200, healthy, fresh) < 0, "seed %d", seed)
		assert.Check(t, analyzerTest.round(healthy, fresh).TotalLogRatio < 0, "seed %d", seed)
	}
}

// In zone z both versions fail at the same rate. Two of three new instances run there and few of
// the old ones, so that the new version looks much worse if the zones are summed.
func TestJudgeComparesWithinTheZone(t *testing.T) {
	grey := rates{failing: 0.5}
	old := map[string]rates{"y": {0.005, 0.01}, "z": grey}
	fresh := map[string]rates{"i-0": {0.005, 0.01}, "i-1": grey, "i-2": grey}
	for seed := range uint64(50) {
		analyzerTest := newAnalyzerTest(seed)
		analyzerTest.old = map[string]int{"y": 180, "z": 20}
		assert.Check(t, analyzerTest.rejectedAfter(200, old, fresh) < 0, "seed %d", seed)
	}
}

// A period in which both versions fail must not cause a rejection.
func TestJudgeComparesTheSameTime(t *testing.T) {
	for seed := range uint64(50) {
		analyzerTest := newAnalyzerTest(seed)
		assert.Check(t, analyzerTest.rejectedAfter(100, healthy, healthy) < 0)
		worse := all(rates{failing: 0.3, slow: 0.2})
		assert.Check(t, analyzerTest.rejectedAfter(100, worse, worse) < 0, "seed %d", seed)
	}
}

func TestConvictionStands(t *testing.T) {
	analyzerTest := newAnalyzerTest(1)
	assert.Assert(t, analyzerTest.rejectedAfter(40, healthy, all(rates{failing: 0.5})) > 0)
	for range 500 {
		verdict := analyzerTest.round(healthy, healthy)
		assert.Assert(t, verdict.Opinion == OpinionBad && verdict.Symptom == SymptomFailures)
	}
}

func TestJudgeWithoutAnswersIsUndecided(t *testing.T) {
	verdict := NewAnalyzer().Review(Evidence{})
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

// Overdue calls must not be counted before enough answers are known, because the first answers to
// arrive are the fastest ones.
func TestUsualTimeNeedsEnoughAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	traffic := NewTraffic(testOrder)
	traffic.Apply(Allocation{Order: testOrder, Share: 0.5})
	_, _ = traffic.Begin("r", &lapisv1.Endpoint{Instance: "b", Version: "v2"}, now)
	for range minBaselineAnswers - 1 {
		attempt, _ := traffic.Begin("r", &lapisv1.Endpoint{Instance: "a", Version: "v1"}, now)
		traffic.Answered(attempt, false, false, time.Millisecond, now.Add(time.Millisecond))
	}
	evidence := traffic.Evidence(now.Add(time.Minute))
	assert.Equal(t, evidence[Key{New: true, Route: "r", Instance: "b"}].Answers, uint32(0))
}

// A decider that does not know the old instances must not take the new version for the one in force
// while any daemon reports answers of the old one.
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
		for _, after := range []time.Duration{5*time.Second - probeDelay, 5 * time.Second} {
			controller.Tick(View{
				Now: now.Add(after), StoreAnswered: now.Add(after), Members: []string{"a"}, Known: 1,
				New: []string{"i"}, Warm: []string{"i"}, InstancesKnown: true,
			})
		}
		assert.Equal(t, controller.State() == StateProbing, old, "%s", controller.State())
	}
}
