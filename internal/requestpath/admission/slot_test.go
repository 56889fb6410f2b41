package admission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// Guards against late refusals under load: calls waited in the queue and were refused late instead
// of on arrival. A slot whose call did not run (fenced, quarantined, expired or shed) was counted
// as a call with a service time of nearly zero, so that waits were estimated too short, and a
// lowered limit was raised by calls that did not run.
func TestCallsThatDidNotRunTeachNothing(t *testing.T) {
	for name, release := range map[string]func(*admission.Slot){
		"not begun": (*admission.Slot).Cancel,
		"shed":      func(slot *admission.Slot) { slot.Release(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				queue := newQueue(8, nil)
				acquire := func() *admission.Slot {
					slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
					assert.NilError(t, err)
					return slot
				}
				for range 20 {
					slot := acquire()
					time.Sleep(100 * time.Millisecond)
					slot.Release(false)
				}
				for range 20 {
					release(acquire())
				}
				assert.Equal(t, queue.Occupancy().MeanServiceTime, 100*time.Millisecond)
			})
		})
	}
}

// Checks that only served calls raise a limit that shedding has lowered.
func TestLimitGrowsByServedCallsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(4, nil)
		var slots []*admission.Slot
		for range 4 {
			slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
			assert.NilError(t, err)
			slots = append(slots, slot)
		}
		for _, slot := range slots {
			slot.Release(true)
		}
		lowered := queue.Occupancy().Limit
		for range 100 {
			slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
			assert.NilError(t, err)
			slot.Cancel()
		}
		assert.Assert(t, lowered < 4)
		assert.Equal(t, queue.Occupancy().Limit, lowered)
	})
}
