package rollout

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is where a roll-out stands on one daemon.
type State string

// States of a roll-out.
const (
	// StateWatching has seen the order; the new version gets no calls.
	StateWatching State = "watching"
	// StateProbing sends a small share to the new version and judges it.
	StateProbing State = "probing"
	// StateShifting sends more and more, until the old version gets nothing.
	StateShifting State = "shifting"
	// StateMoved sends nothing to the old version any more and has said so.
	StateMoved State = "moved"
	// StateCompleted and StateRolledBack are in the store.
	StateCompleted State = "completed"
	// StateRollingBack found the version bad; the store does not say so yet.
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

// Reason is why a step was taken.
type Reason string

// Reasons of steps.
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

// Step is one step of a roll-out with the figures that decided it.
type Step struct {
	Service  string
	Order    Identity
	Revision uint64
	From, To State
	Reason   Reason
	Verdict  Verdict
	// Left is the time until the deadline; Heard and Members are the daemons whose
	// evidence is known and all in touch.
	Left           time.Duration
	Heard, Members int
	// Warm and Old are the instances of the new version that are warm and those of others.
	Warm, Old int
}

// Fields returns the step as pairs for a line of the log.
func (s Step) Fields() []any {
	return []any{
		"service", s.Service, "target", s.Order.Target, "revision", s.Revision, "from", s.From, "to", s.To,
		"reason", s.Reason, "opinion", s.Verdict.Opinion, "symptom", s.Verdict.Symptom, "route", s.Verdict.Route,
		"sum", s.Verdict.Sum, "leaning", s.Verdict.Leaning, "answers", s.Verdict.Answers, "bad", s.Verdict.Bad,
		"left_ms", s.Left.Milliseconds(), "heard", s.Heard, "members", s.Members, "warm", s.Warm, "old", s.Old,
	}
}

// newMachine returns the state machine of a roll-out. What the store says may come in
// any state, and ends it; nothing leads out of an end.
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

// fire fires a trigger where it is permitted and reports whether it was.
func fire(machine *stateless.StateMachine, event trigger) bool {
	permitted, err := machine.CanFire(event)
	if err != nil || !permitted {
		return false
	}
	return machine.FireCtx(context.Background(), event) == nil
}
