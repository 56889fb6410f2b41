package rollout

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is the state of a roll-out on one daemon.
type State string

// States of a roll-out.
const (
	// StateWatching: the order is known; the new version gets no calls.
	StateWatching State = "watching"
	// StateProbing: the new version gets a small share of the calls and is tested.
	StateProbing State = "probing"
	// StateShifting: the new version's share grows until the old version gets no calls.
	StateShifting State = "shifting"
	// StateMoved: the old version gets no calls, and the other daemons have been told so.
	StateMoved State = "moved"
	// StateCompleted and StateRolledBack: the store holds this end.
	StateCompleted State = "completed"
	// StateRollingBack: the new version is to be rolled back; the store does not hold this end yet.
	StateRollingBack State = "rolling_back"
	StateRolledBack  State = "rolled_back"
)

type trigger string

const (
	triggerProbe      trigger = "probe"
	triggerShift      trigger = "shift"
	triggerMoved      trigger = "moved"
	triggerRollBack   trigger = "roll_back"
	triggerCompleted  trigger = "stored_completed"
	triggerRolledBack trigger = "stored_rolled_back"
)

// Reason is the reason for a step.
type Reason string

// Reasons for steps.
const (
	ReasonInstances   Reason = "instances_ready"
	ReasonGood        Reason = "judged_good"
	ReasonUnjudged    Reason = "not_enough_to_judge"
	ReasonLeansBad    Reason = "not_enough_to_judge_leans_bad"
	ReasonBad         Reason = "judged_bad"
	ReasonHeard       Reason = "heard_from_another_daemon"
	ReasonMoved       Reason = "nothing_sent_to_old"
	ReasonStored      Reason = "stored"
	ReasonNoInstances Reason = "no_instances"
	ReasonInForce     Reason = "in_force"
	ReasonImpossible  Reason = "impossible_duration"
)

// Step is a state transition of a roll-out with the figures that it is based on.
type Step struct {
	Service  string
	Order    Identity
	Revision uint64
	From, To State
	Reason   Reason
	Verdict  Verdict
	// TimeLeft is the time until the deadline. Heard is the number of reachable daemons whose evidence
	// is known, Members the number of all reachable daemons.
	TimeLeft       time.Duration
	Heard, Members int
	// Warm is the number of warm instances of the new version, Old that of instances of other
	// versions.
	Warm, Old int
}

// Fields returns the step as key-value pairs for a log line.
func (s Step) Fields() []any {
	return []any{
		"service", s.Service, "target", s.Order.Target, "revision", s.Revision, "from", s.From, "to", s.To,
		"reason", s.Reason, "opinion", s.Verdict.Opinion, "symptom", s.Verdict.Symptom, "route", s.Verdict.Route,
		"sum", s.Verdict.Sum, "leaning", s.Verdict.TotalLogRatio, "answers", s.Verdict.Answers, "bad", s.Verdict.Bad,
		"left_ms", s.TimeLeft.Milliseconds(), "heard", s.Heard, "members", s.Members, "warm", s.Warm, "old", s.Old,
	}
}

// newMachine returns the state machine of a roll-out. An end from the store is permitted in every
// state, and no transition leads out of an end.
func newMachine() *stateless.StateMachine {
	machine := stateless.NewStateMachine(StateWatching)
	machine.Configure(StateWatching).
		Permit(triggerProbe, StateProbing).
		Permit(triggerShift, StateShifting).
		Permit(triggerRollBack, StateRollingBack).
		Permit(triggerCompleted, StateCompleted).Permit(triggerRolledBack, StateRolledBack)
	machine.Configure(StateProbing).
		Permit(triggerShift, StateShifting).
		Permit(triggerRollBack, StateRollingBack).
		Permit(triggerCompleted, StateCompleted).Permit(triggerRolledBack, StateRolledBack)
	machine.Configure(StateShifting).
		Permit(triggerMoved, StateMoved).
		Permit(triggerRollBack, StateRollingBack).
		Permit(triggerCompleted, StateCompleted).Permit(triggerRolledBack, StateRolledBack)
	machine.Configure(StateMoved).
		Permit(triggerRollBack, StateRollingBack).
		Permit(triggerCompleted, StateCompleted).Permit(triggerRolledBack, StateRolledBack)
	machine.Configure(StateRollingBack).
		Permit(triggerCompleted, StateCompleted).Permit(triggerRolledBack, StateRolledBack)
	machine.Configure(StateCompleted)
	machine.Configure(StateRolledBack)
	return machine
}

// fire fires a trigger if it is permitted, and reports whether it was.
func fire(machine *stateless.StateMachine, event trigger) bool {
	permitted, err := machine.CanFire(event)
	if err != nil || !permitted {
		return false
	}
	return machine.FireCtx(context.Background(), event) == nil
}
