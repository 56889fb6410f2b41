package origin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Every trigger is permitted or ignored in every state, so that fire cannot fail.
func TestEveryTriggerIsHandledInEveryState(t *testing.T) {
	triggers := []trigger{triggerUp, triggerDown, triggerDrain, triggerResume, triggerIdle, triggerRetire}
	// triggersTo lists the triggers that lead from StateStarting to each state.
	triggersTo := map[State][]trigger{
		StateStarting: nil,
		StateReady:    {triggerUp},
		StateDown:     {triggerUp, triggerDown},
		StateDraining: {triggerDrain},
		StateDrained:  {triggerDrain, triggerIdle},
		StateRetired:  {triggerRetire},
	}
	for state, path := range triggersTo {
		for _, event := range triggers {
			machine := newLifecycle()
			for _, step := range path {
				fire(machine, step)
			}
			assert.Equal(t, machine.MustState(), state)
			assert.NilError(t, machine.Fire(event), "%s in %s", event, state)
		}
	}
}
