package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// moving is a controller of daemon a, whose only other member is b, at a time of its
// order.
type moving struct {
	controller *Controller
	began      time.Time
	view       View
	sequence   uint64
}

// newMoving returns one that has moved all calls.
func newMoving(t *testing.T) *moving {
	t.Helper()
	m := &moving{began: time.Unix(1000, 0), view: View{
		Members: []string{"a", "b"}, Known: 2, New: []string{"i"}, Warm: []string{"i"}, Old: 1, Settled: true,
	}}
	m.controller = NewController("a", 1, Order{
		Service: "desk", Identity: testOrder, Revision: 4, Status: Status{End: EndRunning, Target: "v2"},
	}, m.began)
	for _, node := range m.view.Members {
		m.controller.Report(Report{Order: testOrder, Node: node, Sequence: 1})
	}
	plan := PlanFor(m.began, testOrder.Duration)
	for at := plan.ShiftAt; at.Before(plan.SettledAt); at = at.Add(TickEvery) {
		m.at(at)
	}
	assert.Equal(t, m.controller.State(), StateMoved)
	return m
}

// at ticks at a time and returns the decision.
func (m *moving) at(now time.Time) Decision {
	m.view.Now, m.view.StoreAnswered = now, now
	return m.controller.Tick(m.view)
}

// says lets b say a word.
func (m *moving) says(diverted, drained bool) {
	m.sequence++
	m.controller.Hear(m.view.Now, Word{
		Service: "desk", Node: "b", Incarnation: 1, Sequence: m.sequence, Order: testOrder,
		Phase: PhaseShifting, Diverted: diverted, Drained: drained,
	})
}

// writes reports whether the end is written at a time.
func (m *moving) writes(now time.Time) bool {
	decision := m.at(now)
	return decision.Write != nil && decision.Write.Status.End == EndCompleted
}

func TestEndWaitsForEveryMember(t *testing.T) {
	plan := PlanFor(time.Unix(1000, 0), testOrder.Duration)
	settled, last := plan.SettledAt.Add(TickEvery), plan.LastMoment.Add(time.Second/2)
	for name, test := range map[string]struct {
		says              func(m *moving)
		atSettled, atLast bool
	}{
		"moved":                 {func(m *moving) { m.says(true, true) }, true, true},
		"says nothing":          {func(*moving) {}, false, false},
		"still sends":           {func(m *moving) { m.says(false, false) }, false, false},
		"has calls in flight":   {func(m *moving) { m.says(true, false) }, false, true},
		"own calls in flight":   {func(m *moving) { m.says(true, true); m.view.OldInFlight = 1 }, false, true},
		"is lost and in touch":  {func(m *moving) { m.says(true, true); m.controller.Lost("b") }, false, false},
		"is not in touch":       {func(m *moving) { m.view.Members, m.view.Known = []string{"a"}, 1 }, true, true},
		"half are not in touch": {func(m *moving) { m.view.Members = []string{"a"} }, false, false},
		"speaks of another": {func(m *moving) {
			m.controller.Hear(m.view.Now, Word{Node: "b", Order: Identity{Target: "v3"}, Diverted: true, Drained: true})
		}, false, false},
		"takes it back in order": {func(m *moving) { m.says(true, true); m.says(false, false) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			early, late := newMoving(t), newMoving(t)
			test.says(early)
			test.says(late)
			// The rank among the two delays a write by at most one take-over.
			written := early.writes(settled) || early.writes(settled.Add(TakeOverAfter))
			assert.Equal(t, written, test.atSettled)
			written = late.writes(last) || late.writes(last.Add(TakeOverAfter))
			assert.Equal(t, written, test.atLast)
		})
	}
}

func TestShiftIsCalledOffWhenTheNewInstancesAreLost(t *testing.T) {
	m := newMoving(t)
	m.says(true, true)
	m.view.New, m.view.Warm = nil, nil
	decision := m.at(PlanFor(m.began, testOrder.Duration).SettledAt)
	assert.Equal(t, decision.Steps[0].Reason, ReasonNoInstances)
	assert.Equal(t, decision.Steps[0].To, StateRollingBack)
	assert.Equal(t, decision.Allocation.Share, 1.0)
	m.controller.Observe(&Order{Service: "desk", Identity: testOrder, Revision: 5, Status: Status{End: EndRolledBack, Target: "v2"}})
	assert.Equal(t, m.at(m.view.Now.Add(TickEvery)).Allocation.Share, 0.0)
}

func TestPlanFitsEveryDuration(t *testing.T) {
	began := time.Unix(1000, 0)
	for _, duration := range []time.Duration{LeastDuration, 10 * time.Second, 30 * time.Second, time.Hour} {
		plan := PlanFor(began, duration)
		for _, pair := range [][2]time.Time{
			{began.Add(duration / 2), plan.ShiftAt}, {plan.ShiftAt, plan.ShiftLatest}, {plan.ShiftAt.Add(plan.Ramp), plan.SettledAt}, {plan.ShiftLatest.Add(plan.Ramp / 2), plan.SettledAt},
			{plan.SettledAt, plan.LastMoment}, {plan.LastMoment, plan.Deadline},
		} {
			assert.Check(t, pair[0].Before(pair[1]), "%v: %v", duration, plan)
		}
		assert.Equal(t, plan.ShareInShift(ProbeShare, plan.Ramp), 1.0)
		assert.Equal(t, plan.ShareInShift(ProbeShare, 0), ProbeShare)
	}
}

func TestStepsCarryTheirFigures(t *testing.T) {
	m := newMoving(t)
	fields := m.controller.steps
	assert.Equal(t, len(fields), 0, "no step in the last tick")
	step := Step{Service: "desk", Order: testOrder, Verdict: Verdict{Sum: 3, Answers: 7}}
	assert.Equal(t, len(step.Fields())%2, 0)
}

// While what a decider knows may become a conviction, every daemon keeps the share that it has in
// the shift; at the time when all calls must be moved it moves them.
func TestSuspicionHoldsTheShare(t *testing.T) {
	began := time.Unix(1000, 0)
	order := Order{Service: "desk", Identity: testOrder, Revision: 4}
	controller := NewController("z", 1, order, began)
	view := View{Members: []string{"z", "a", "b", "c"}, Known: 4, New: []string{"i"}, Warm: []string{"i"}, Old: 1, Settled: true}
	plan := PlanFor(began, testOrder.Duration)
	shareAt := func(now time.Time) float64 {
		view.Now, view.StoreAnswered = now, now
		return controller.Tick(view).Allocation.Share
	}
	hear := func(now time.Time, sequence uint64, holding bool) {
		controller.Hear(now, Word{
			Service: "desk", Node: "a", Incarnation: 1, Sequence: sequence, Order: testOrder,
			Phase: PhaseShifting, Shifting: now.Sub(plan.ShiftAt) + time.Millisecond, Holding: holding,
		})
	}
	half := plan.ShiftAt.Add(plan.Ramp / 2)
	hear(half, 1, false)
	shareAt(half)
	before := shareAt(half)
	hear(half, 2, true)
	assert.Equal(t, shareAt(half.Add(plan.Ramp/4)), before)
	hear(half, 3, false)
	assert.Assert(t, shareAt(half.Add(plan.Ramp/4)) > before)
	hear(half, 4, true)
	assert.Equal(t, shareAt(plan.SettledAt), 1.0)
}
