package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// movedController is a controller of daemon a that has moved all calls. Daemon b is the only other
// member.
type movedController struct {
	controller *Controller
	orderedAt  time.Time
	view       View
	sequence   uint64
}

// newMovedController returns a controller in StateMoved, shortly before the end may be written.
func newMovedController(t *testing.T) *movedController {
	t.Helper()
	m := &movedController{orderedAt: time.Unix(1000, 0), view: View{
		Members: []string{"a", "b"}, Known: 2, New: []string{"i"}, Warm: []string{"i"}, Old: 1, InstancesKnown: true,
	}}
	m.controller = NewController("a", 1, Order{
		Service: "desk", Identity: testOrder, Revision: 4, Status: Status{End: EndRunning, Target: "v2"},
	}, m.orderedAt)
	for _, node := range m.view.Members {
		m.controller.Report(Report{Order: testOrder, Node: node, Sequence: 1})
	}
	plan := PlanFor(m.orderedAt, testOrder.Duration)
	for at := plan.ShiftAt; at.Before(plan.CompletionAt); at = at.Add(TickInterval) {
		m.at(at)
	}
	assert.Equal(t, m.controller.State(), StateMoved)
	return m
}

// at runs a tick at the given time and returns the decision.
func (m *movedController) at(now time.Time) Decision {
	m.view.Now, m.view.StoreAnswered = now, now
	return m.controller.Tick(m.view)
}

// hearAnnouncement delivers an announcement of daemon b.
func (m *movedController) hearAnnouncement(diverted, drained bool) {
	m.sequence++
	m.controller.Hear(m.view.Now, Announcement{
		Service: "desk", Node: "b", Incarnation: 1, Sequence: m.sequence, Order: testOrder,
		Phase: PhaseShifting, Diverted: diverted, Drained: drained,
	})
}

// writes reports whether the controller writes EndCompleted at the given time.
func (m *movedController) writes(now time.Time) bool {
	decision := m.at(now)
	return decision.Write != nil && decision.Write.Status.End == EndCompleted
}

func TestEndWaitsForEveryMember(t *testing.T) {
	plan := PlanFor(time.Unix(1000, 0), testOrder.Duration)
	settled, last := plan.CompletionAt.Add(TickInterval), plan.DrainDeadline.Add(time.Second/2)
	for name, test := range map[string]struct {
		hearAnnouncement  func(m *movedController)
		atSettled, atLast bool
	}{
		"moved":                 {func(m *movedController) { m.hearAnnouncement(true, true) }, true, true},
		"no word":               {func(*movedController) {}, false, false},
		"still sends calls":     {func(m *movedController) { m.hearAnnouncement(false, false) }, false, false},
		"has calls in flight":   {func(m *movedController) { m.hearAnnouncement(true, false) }, false, true},
		"own calls in flight":   {func(m *movedController) { m.hearAnnouncement(true, true); m.view.OldInFlight = 1 }, false, true},
		"is lost and in touch":  {func(m *movedController) { m.hearAnnouncement(true, true); m.controller.Lost("b") }, false, false},
		"is not in touch":       {func(m *movedController) { m.view.Members, m.view.Known = []string{"a"}, 1 }, true, true},
		"half are not in touch": {func(m *movedController) { m.view.Members = []string{"a"} }, false, false},
		"word about another order": {func(m *movedController) {
			m.controller.Hear(m.view.Now, Announcement{Node: "b", Order: Identity{Target: "v3"}, Diverted: true, Drained: true})
		}, false, false},
		"revoked by a later word": {func(m *movedController) { m.hearAnnouncement(true, true); m.hearAnnouncement(false, false) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			early, late := newMovedController(t), newMovedController(t)
			test.hearAnnouncement(early)
			test.hearAnnouncement(late)
			// A controller of rank 1 writes later by TakeoverDelay.
			written := early.writes(settled) || early.writes(settled.Add(TakeoverDelay))
			assert.Equal(t, written, test.atSettled)
			written = late.writes(last) || late.writes(last.Add(TakeoverDelay))
			assert.Equal(t, written, test.atLast)
		})
	}
}

func TestShiftIsCalledOffWhenTheNewInstancesAreLost(t *testing.T) {
	m := newMovedController(t)
	m.hearAnnouncement(true, true)
	m.view.New, m.view.Warm = nil, nil
	decision := m.at(PlanFor(m.orderedAt, testOrder.Duration).CompletionAt)
	assert.Equal(t, decision.Steps[0].Reason, ReasonNoInstances)
	assert.Equal(t, decision.Steps[0].To, StateRollingBack)
	assert.Equal(t, decision.Allocation.Share, 1.0)
	m.controller.Observe(&Order{Service: "desk", Identity: testOrder, Revision: 5, Status: Status{End: EndRolledBack, Target: "v2"}})
	assert.Equal(t, m.at(m.view.Now.Add(TickInterval)).Allocation.Share, 0.0)
}

func TestPlanFitsEveryDuration(t *testing.T) {
	orderedAt := time.Unix(1000, 0)
	for _, duration := range []time.Duration{MinDuration, 10 * time.Second, 30 * time.Second, time.Hour} {
		plan := PlanFor(orderedAt, duration)
		for _, pair := range [][2]time.Time{
			{orderedAt.Add(duration / 2), plan.ShiftAt}, {plan.ShiftAt, plan.LatestShiftAt}, {plan.ShiftAt.Add(plan.Ramp), plan.CompletionAt}, {plan.LatestShiftAt.Add(plan.Ramp / 2), plan.CompletionAt},
			{plan.CompletionAt, plan.DrainDeadline}, {plan.DrainDeadline, plan.Deadline},
		} {
			assert.Check(t, pair[0].Before(pair[1]), "%v: %v", duration, plan)
		}
		assert.Equal(t, plan.ShareInShift(ProbeShare, plan.Ramp), 1.0)
		assert.Equal(t, plan.ShareInShift(ProbeShare, 0), ProbeShare)
	}
}

func TestStepsCarryTheirFigures(t *testing.T) {
	m := newMovedController(t)
	fields := m.controller.steps
	assert.Equal(t, len(fields), 0, "no step in the last tick")
	step := Step{Service: "desk", Order: testOrder, Verdict: Verdict{Sum: 3, Answers: 7}}
	assert.Equal(t, len(step.Fields())%2, 0)
}

// While the verdict of a decider is suspicious, every daemon must keep its share during the shift;
// at CompletionAt it must move all calls nevertheless.
func TestSuspicionHoldsTheShare(t *testing.T) {
	orderedAt := time.Unix(1000, 0)
	order := Order{Service: "desk", Identity: testOrder, Revision: 4}
	controller := NewController("z", 1, order, orderedAt)
	view := View{Members: []string{"z", "a", "b", "c"}, Known: 4, New: []string{"i"}, Warm: []string{"i"}, Old: 1, InstancesKnown: true}
	plan := PlanFor(orderedAt, testOrder.Duration)
	shareAt := func(now time.Time) float64 {
		view.Now, view.StoreAnswered = now, now
		return controller.Tick(view).Allocation.Share
	}
	hear := func(now time.Time, sequence uint64, holding bool) {
		controller.Hear(now, Announcement{
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
	assert.Equal(t, shareAt(plan.CompletionAt), 1.0)
}
