package admission_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

func TestLimitFollowsShedding(t *testing.T) {
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
		first, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		_, err = queue.Acquire(t.Context(), admission.Request{Group: "a", LatestStart: time.Now().Add(time.Millisecond)})
		assert.Assert(t, err != nil, "the limit did not decrease")
		first.Release(false)
		for range 100 {
			slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
			assert.NilError(t, err)
			slot.Release(false)
		}
		for range 4 {
			_, err := queue.Acquire(t.Context(), admission.Request{Group: "a", LatestStart: time.Now().Add(time.Millisecond)})
			assert.NilError(t, err)
		}
	})
}

// Guards against the limit dropping to one slot because of shedding that is unrelated to load: all
// instances of a service shed half of their calls for 8.5 s at any load, which caused 35,879
// answers of 503.
func TestSheddingWithoutLoadLeavesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(13, nil)
		const callers, duration = 26, 8 * time.Second
		var shed, served atomic.Int64
		ctx, stop := context.WithTimeout(t.Context(), duration)
		defer stop()
		var running sync.WaitGroup
		for caller := range callers {
			random := rand.New(rand.NewPCG(uint64(caller), 2))
			running.Go(func() {
				for ctx.Err() == nil {
					slot, err := queue.Acquire(ctx, admission.Request{Group: "a"})
					if err != nil {
						time.Sleep(serviceTime)
						continue
					}
					if random.Float64() < 0.55 {
						time.Sleep(time.Millisecond)
						slot.Release(true)
						shed.Add(1)
						continue
					}
					time.Sleep(serviceTime)
					slot.Release(false)
					served.Add(1)
				}
			})
		}
		running.Wait()
		// 26 callers keep 13 slots busy, so the number of served calls is close to the capacity.
		capacity := 13 * int64(duration/serviceTime)
		assert.Assert(t, served.Load() > capacity*7/10, "%d served and %d shed, the slots can serve %d", served.Load(), shed.Load(), capacity)
	})
}

func TestUploadsLeaveSlotsForLookups(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(6, nil)
		for range 10 {
			go func() {
				slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a", Upload: true, Background: true})
				if err == nil {
					time.Sleep(time.Minute)
					slot.Release(false)
				}
			}()
		}
		synctest.Wait()
		assert.Equal(t, queue.Running(), 4)
		slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		slot.Release(false)
		time.Sleep(3 * time.Minute)
	})
}
