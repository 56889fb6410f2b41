package daemon

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// stopStep is one look of a stopping daemon at its calls, and what it must do then.
type stopStep struct {
	at      time.Duration
	refused bool
	serving int64
	waiting int
	settled bool
	action  stopAction
}

func TestEndOfAStop(t *testing.T) {
	for name, steps := range map[string][]stopStep{
		"nothing ends before new calls are refused": {
			{at: 0, settled: true, action: stopWait}, {at: 2 * answersDrain, settled: true, action: stopWait},
		},
		"a call that is served is waited for with open listeners": {
			{refused: true, serving: 1, action: stopWait}, {at: time.Second, refused: true, serving: 1, action: stopWait},
		},
		"callers that come again and again do not hold the stop up": {
			{refused: true, action: stopAccepting}, {refused: true, settled: false, action: stopWait},
			{at: time.Second, refused: true, settled: true, action: stopWait},
			{at: time.Second + answersDrain, refused: true, settled: true, action: stopEnd},
		},
		"a connection that waits to be accepted is not reset": {
			{refused: true, waiting: 1, action: stopWait}, {at: time.Second, refused: true, action: stopAccepting},
		},
		"an answer on its way is waited for anew": {
			{refused: true, action: stopAccepting}, {refused: true, settled: true, action: stopWait},
			{at: answersDrain / 2, refused: true, settled: false, action: stopWait},
			{at: answersDrain, refused: true, settled: true, action: stopWait},
			{at: 2 * answersDrain, refused: true, settled: true, action: stopEnd},
		},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			var ending stopProgress
			for index, step := range steps {
				ending.callersRefused = step.refused
				action := ending.next(stopFacts{serving: step.serving, waiting: step.waiting, settled: step.settled, now: began.Add(step.at)})
				assert.Equal(t, action, step.action, "step %d", index)
			}
		})
	}
}
