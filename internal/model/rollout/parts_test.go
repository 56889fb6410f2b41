package rollout

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

var testOrder = Identity{Created: 3, Target: "v2", Duration: 30 * time.Second}

// Evidence must be summed once per incarnation, in any order of the reports and if they are
// repeated.
func TestLedgerSumsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var reports []Report
		wanted := Evidence{}
		for _, node := range []string{"a", "b", "c"} {
			for incarnation := range uint64(2) {
				seen := Evidence{}
				for sequence := range uint64(rapid.IntRange(1, 4).Draw(rt, "reports")) {
					key := Key{New: rapid.Bool().Draw(rt, "new"), Route: rapid.SampledFrom([]string{"r", "s"}).Draw(rt, "route")}
					seen.Note(key, rapid.Bool().Draw(rt, "failed"), time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms"))*time.Millisecond)
					reports = append(reports, Report{Order: testOrder, Node: node, Incarnation: incarnation, Sequence: sequence + 1, Evidence: seen.Clone()})
				}
				wanted.Add(seen)
			}
		}
		order := rapid.Permutation(append(slices.Clone(reports), reports...)).Draw(rt, "order")
		reportSet := NewReportSet(testOrder)
		for _, report := range order {
			reportSet.Record(report)
		}
		assert.DeepEqual(rt, reportSet.Sum(), wanted)
		assert.Equal(rt, reportSet.Reporters([]string{"a", "b", "c", "d"}), 3)
		assert.Equal(rt, reportSet.Reporters([]string{"a"}), 1)
		assert.Assert(rt, !reportSet.Record(Report{Order: Identity{Target: "v3"}, Node: "d", Sequence: 1}))
	})
}

// limiter is the part of Exposure that keeps the calls of the new version, summed over all daemons,
// within their share of all calls.
type limiter interface {
	Allow(route string) bool
	Return(route string)
	Note(route string)
}

// overdraw simulates daemons that send calls and restart. It returns the maximum by which the calls
// of the new version exceed the share of all calls.
func overdraw(rt *rapid.T, share float64, start func() limiter) float64 {
	const daemons = 5
	limiters := make([]limiter, daemons)
	for index := range limiters {
		limiters[index] = start()
	}
	taken, sent, worst := 0, 0, -1.0
	for range rapid.IntRange(1, 400).Draw(rt, "calls") {
		index := rapid.IntRange(0, daemons-1).Draw(rt, "daemon")
		route := rapid.SampledFrom([]string{"r", "s", "t"}).Draw(rt, "route")
		if rapid.IntRange(0, 19).Draw(rt, "restart") == 0 {
			limiters[index] = start()
		}
		if limiters[index].Allow(route) {
			if rapid.IntRange(0, 9).Draw(rt, "return") == 0 {
				limiters[index].Return(route)
			} else {
				taken++
			}
		}
		limiters[index].Note(route)
		sent++
		worst = max(worst, float64(taken)-share*float64(sent))
	}
	return worst
}

func TestExposureKeepsToTheShareOverAllDaemonsAndRestarts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := rapid.Float64Range(0.01, 0.9).Draw(rt, "share")
		worst := overdraw(rt, share, func() limiter {
			exposure := NewExposure()
			exposure.SetShare(share)
			return exposure
		})
		assert.Assert(rt, worst <= 1e-6, "%v calls too many", worst)
	})
}

// limiterWithSlack is a limiter that grants a number of extra calls on each daemon.
type limiterWithSlack struct {
	*Exposure
	slack int
}

// Allow grants the extra calls first.
func (s *limiterWithSlack) Allow(route string) bool {
	if s.slack == 0 {
		return s.Exposure.Allow(route)
	}
	s.slack--
	return true
}

// Return does not give tokens back.
func (s *limiterWithSlack) Return(string) {}

func TestSumCatchesDaemonsThatCountTheSlackForThemselves(t *testing.T) {
	caught := false
	rapid.Check(t, func(rt *rapid.T) {
		worst := overdraw(rt, ProbeShare, func() limiter {
			exposure := NewExposure()
			exposure.SetShare(ProbeShare)
			return &limiterWithSlack{exposure, 50}
		})
		caught = caught || worst > 50
	})
	assert.Assert(t, caught)
}

// Rarely called routes must get probes too.
func TestExposureLearnsOfRareRoutes(t *testing.T) {
	exposure := NewExposure()
	exposure.SetShare(ProbeShare)
	random := rand.New(rand.NewPCG(1, 1))
	taken := map[string]int{}
	const calls = 20000
	for range calls {
		route := "usual"
		if random.Float64() < 0.05 {
			route = "rare"
		}
		if exposure.Allow(route) {
			taken[route]++
		}
		exposure.Note(route)
	}
	assert.Assert(t, taken["rare"] > 200, "%v", taken)
	assert.Assert(t, float64(taken["rare"]) <= maxRouteShare*0.06*calls, "%v", taken)
	assert.Assert(t, taken["usual"]+taken["rare"] > 0.9*ProbeShare*calls, "%v", taken)
}

// No transition leads out of an end or back to an earlier state.
func TestStatesOnlyGoForward(t *testing.T) {
	order := map[State]int{
		StateWatching: 0, StateProbing: 1, StateShifting: 2, StateMoved: 3, StateRollingBack: 4, StateCompleted: 5, StateRolledBack: 5,
	}
	triggers := []trigger{triggerProbe, triggerShift, triggerMoved, triggerRollBack, triggerCompleted, triggerRolledBack}
	rapid.Check(t, func(rt *rapid.T) {
		machine := newMachine()
		for range rapid.IntRange(1, 20).Draw(rt, "steps") {
			before := machine.MustState().(State)
			taken := fire(machine, rapid.SampledFrom(triggers).Draw(rt, "trigger"))
			after := machine.MustState().(State)
			assert.Assert(rt, taken == (order[after] > order[before]), "%s to %s", before, after)
			assert.Assert(rt, taken || before == after)
		}
	})
}

func TestConstraintsAllowByVersionAndInstance(t *testing.T) {
	old := &lapisv1.Endpoint{Instance: "a", Version: "v1"}
	fresh := &lapisv1.Endpoint{Instance: "b", Version: "v2"}
	other := &lapisv1.Endpoint{Instance: "c", Version: "v2"}
	allowed := func(required Choice) (names string) {
		for _, endpoint := range []*lapisv1.Endpoint{old, fresh, other} {
			if required.Allows(endpoint) {
				names += endpoint.GetInstance()
			}
		}
		return names
	}
	assert.Equal(t, allowed(NotVersions("v2")), "a")
	assert.Equal(t, allowed(NotVersions()), "abc")
	assert.Equal(t, allowed(OnlyVersion("v2")), "bc")
	assert.Equal(t, allowed(OnlyInstances("v2", []string{"a", "c"})), "c")
}

func TestEveryDaemonProbesTheSameFewInstances(t *testing.T) {
	names := make([]string, 0, 40)
	for index := range 40 {
		names = append(names, string(rune('a'+index%26))+string(rune('0'+index/26)))
	}
	probed := Probed(testOrder, names, 40, ProbeShare, 0)
	slices.Reverse(names)
	assert.DeepEqual(t, Probed(testOrder, names, 40, ProbeShare, 0), probed)
	assert.Equal(t, len(probed), 4)
	assert.Equal(t, len(Probed(testOrder, names, 40, 0.5, 0)), 20)
	assert.Equal(t, len(Probed(testOrder, names[:10], 40, ProbeShare, 0)), 4, "those that are not known count")
	assert.Equal(t, len(Probed(testOrder, names[:2], 2, ProbeShare, 0)), 1)
	assert.Equal(t, len(SpreadProbed(testOrder, names[:10], 10, ProbeShare, 0)), minSpreadProbes)
	assert.Equal(t, len(SpreadProbed(testOrder, names, 40, ProbeShare, 0)), 5)
	assert.Equal(t, len(Probed(testOrder, nil, 0, ProbeShare, 0)), 0)
	seen := map[string]bool{}
	for turn := range 10 {
		for _, name := range Probed(testOrder, names, 40, ProbeShare, turn) {
			seen[name] = true
		}
	}
	assert.Equal(t, len(seen), len(names), "every instance has its turn")
}

func TestServiceTimesFallIntoTheirClass(t *testing.T) {
	assert.Equal(t, timeClass(0), 0)
	assert.Equal(t, timeClass(minClassTime), 0)
	assert.Equal(t, timeClass(2*minClassTime), classesPerDoubling)
	assert.Equal(t, timeClass(highestClassTime), timeClasses-1)
}

// After a change of the allocation, Begin must refuse attempts that it no longer allows, even if
// they were chosen before.
func TestTrafficRefusesWhatIsNoLongerAllowed(t *testing.T) {
	now := time.Unix(1000, 0)
	old := &lapisv1.Endpoint{Instance: "a", Version: "v1"}
	fresh := &lapisv1.Endpoint{Instance: "b", Version: "v2"}
	traffic := NewTraffic(testOrder)
	_, probe := traffic.Choose("r")
	assert.Assert(t, !probe)
	_, ok := traffic.Begin("r", fresh, now)
	assert.Assert(t, !ok)
	attempt, ok := traffic.Begin("r", old, now)
	assert.Assert(t, ok)
	traffic.Apply(Allocation{Order: testOrder, Share: 1})
	_, ok = traffic.Begin("r", old, now)
	assert.Assert(t, !ok)
	assert.Equal(t, traffic.OldInFlight(), 1)
	traffic.Answered(attempt, false, false, time.Second, now.Add(time.Second))
	assert.Equal(t, traffic.OldInFlight(), 0)
	_, ok = traffic.Begin("r", fresh, now)
	assert.Assert(t, ok)
	assert.Equal(t, traffic.Sent(), Sent{New: 1, All: 2})
}

// A call without an answer must count as slow once it is overdue, and must not be counted again
// with its answer. Calls of a cold instance are not counted as evidence.
func TestTrafficCountsWhatIsNotAnswered(t *testing.T) {
	now := time.Unix(1000, 0)
	old := &lapisv1.Endpoint{Instance: "a", Version: "v1"}
	fresh := &lapisv1.Endpoint{Instance: "b", Version: "v2"}
	traffic := NewTraffic(testOrder)
	traffic.Apply(Allocation{Order: testOrder, Share: 0.5})
	for range minBaselineAnswers {
		attempt, _ := traffic.Begin("r", old, now)
		traffic.Answered(attempt, false, false, 100*time.Millisecond, now.Add(100*time.Millisecond))
	}
	hangs, _ := traffic.Begin("r", fresh, now)
	cold, _ := traffic.Begin("r", fresh, now)
	traffic.MarkCold(cold)
	key := Key{New: true, Route: "r", Instance: "b"}
	assert.Equal(t, traffic.Evidence(now.Add(200 * time.Millisecond))[key].Answers, uint32(0))
	late := now.Add(2 * time.Second)
	assert.Equal(t, traffic.Evidence(late)[key].Times[timeClasses-1], uint32(1))
	traffic.Answered(hangs, false, false, 2*time.Second, late)
	traffic.Answered(cold, true, false, 2*time.Second, late)
	assert.Equal(t, traffic.Evidence(late)[key].Answers, uint32(1))
}
