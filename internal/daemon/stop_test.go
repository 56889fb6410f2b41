package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopStep is the state of a stopping daemon at one poll, and the expected action.
type stopStep struct {
	at       time.Duration
	refusing bool
	serving  int64
	waiting  int
	drained  bool
	action   stopAction
}

func TestEndOfAStop(t *testing.T) {
	for name, steps := range map[string][]stopStep{
		"does not end before new calls are refused": {
			{at: 0, drained: true, action: stopWait}, {at: 2 * answerDrainTime, drained: true, action: stopWait},
		},
		"waits for a call in service with open listeners": {
			{refusing: true, serving: 1, action: stopWait}, {at: time.Second, refusing: true, serving: 1, action: stopWait},
		},
		"is not delayed by callers that retry": {
			{refusing: true, action: stopAccepting}, {refusing: true, drained: false, action: stopWait},
			{at: time.Second, refusing: true, drained: true, action: stopWait},
			{at: time.Second + answerDrainTime, refusing: true, drained: true, action: stopEnd},
		},
		"does not reset a connection that waits to be accepted": {
			{refusing: true, waiting: 1, action: stopWait}, {at: time.Second, refusing: true, action: stopAccepting},
		},
		"restarts the wait for a further answer": {
			{refusing: true, action: stopAccepting}, {refusing: true, drained: true, action: stopWait},
			{at: answerDrainTime / 2, refusing: true, drained: false, action: stopWait},
			{at: answerDrainTime, refusing: true, drained: true, action: stopWait},
			{at: 2 * answerDrainTime, refusing: true, drained: true, action: stopEnd},
		},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			var ending stopProgress
			for index, step := range steps {
				ending.refusingCalls = step.refusing
				action := ending.next(stopState{serving: step.serving, waiting: step.waiting, drained: step.drained, now: began.Add(step.at)})
				assert.Equal(t, action, step.action, "step %d", index)
			}
		})
	}
}
