package origin

import (
	"context"

	"github.com/qmuntal/stateless"
)

// State is the state of an instance as seen by the local daemon.
type State string

// States of an instance.
const (
	// StateStarting: the instance has not accepted a connection yet.
	StateStarting State = "starting"
	StateReady    State = "ready"
	// StateDown: the instance does not accept connections, or its heartbeats stopped.
	StateDown State = "down"
	// StateDraining: the instance gets no new calls; some are still in flight.
	StateDraining State = "draining"
	// StateDrained: the instance gets no new calls and has none in flight.
	StateDrained State = "drained"
	// StateRetired: the instance never gets calls again.
	StateRetired State = "retired"
)

type trigger string

const (
	triggerUp     trigger = "up"
	triggerDown   trigger = "down"
	triggerDrain  trigger = "drain"
	triggerResume trigger = "resume"
	triggerIdle   trigger = "idle"
	triggerRetire trigger = "retire"
)

// newLifecycle returns the state machine of an instance.
func newLifecycle() *stateless.StateMachine {
	machine := stateless.NewStateMachine(StateStarting)
	machine.Configure(StateStarting).
		Permit(triggerUp, StateReady).
		Permit(triggerDrain, StateDraining).
		Permit(triggerRetire, StateRetired).
		Ignore(triggerDown).Ignore(triggerResume).Ignore(triggerIdle)
	machine.Configure(StateReady).
		Permit(triggerDown, StateDown).
		Permit(triggerDrain, StateDraining).
		Permit(triggerRetire, StateRetired).
		Ignore(triggerUp).Ignore(triggerResume).Ignore(triggerIdle)
	machine.Configure(StateDown).
		Permit(triggerUp, StateReady).
		Permit(triggerDrain, StateDraining).
		Permit(triggerRetire, StateRetired).
		Ignore(triggerDown).Ignore(triggerResume).Ignore(triggerIdle)
	machine.Configure(StateDraining).
		Permit(triggerIdle, StateDrained).
		Permit(triggerResume, StateStarting).
		Permit(triggerRetire, StateRetired).
		Ignore(triggerUp).Ignore(triggerDown).Ignore(triggerDrain)
	machine.Configure(StateDrained).
		Permit(triggerResume, StateStarting).
		Permit(triggerRetire, StateRetired).
		Ignore(triggerUp).Ignore(triggerDown).Ignore(triggerDrain).Ignore(triggerIdle)
	machine.Configure(StateRetired).
		Ignore(triggerUp).Ignore(triggerDown).Ignore(triggerDrain).
		Ignore(triggerResume).Ignore(triggerIdle).Ignore(triggerRetire)
	return machine
}

func fire(machine *stateless.StateMachine, event trigger) {
	// Every trigger is permitted or ignored in every state.
	_ = machine.FireCtx(context.Background(), event)
}
