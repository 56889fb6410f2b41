package admission_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// The failure: under load calls waited in the queue and were refused late that should have been refused
// as they came. The cause: a slot whose call the back end did not run, since it was fenced, quarantined,
// out of time or shed, counted as a call that was served in no time, so that waits were taken for
// shorter than they were, and a lowered limit grew by calls that nobody ran.
func TestCallsThatDidNotRunTeachNothing(t *testing.T) {
	for name, giveBack := range map[string]func(*admission.Slot){
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
					giveBack(acquire())
				}
				assert.Equal(t, queue.Occupancy().MeanService, 100*time.Millisecond)
			})
		})
	}
}

// A limit that shedding lowered is raised by calls that were served only.
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
