package admission_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const serviceTime = 50 * time.Millisecond

func newQueue(slots int, weights map[string]uint32) *admission.Queue {
	queue := admission.NewQueue(admission.Limits{Slots: slots, QueueLength: 64, QueueTime: 250 * time.Millisecond}, time.Now)
	queue.Configure(slots, weights)
	return queue
}

func TestRefusalsComeEarlyAndNameATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		queue := newQueue(1, nil)
		served := &meter{served: map[string]int{}}
		generateLoad(ctx, queue, "a", 30, served)
		time.Sleep(2 * time.Second)
		started := time.Now()
		_, err := queue.Acquire(ctx, admission.Request{Group: "a"})
		assert.Assert(t, result.Is(err, result.CallNotRunOverloaded), "%v", err)
		assert.Assert(t, time.Since(started) <= 250*time.Millisecond)
		assert.Assert(t, err.(*result.Error).RetryAfter > 0)
		cancel()
		time.Sleep(time.Second)
	})
}

func TestNothingStartsAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		_, err := queue.Acquire(t.Context(), admission.Request{Group: "a", LatestStart: time.Now()})
		assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
		held, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		_, err = queue.Acquire(t.Context(), admission.Request{Group: "a", LatestStart: time.Now().Add(100 * time.Millisecond)})
		assert.Assert(t, err != nil)
		held.Release(false)
		assert.Equal(t, queue.Running(), 0)
	})
}

func TestCloseRefusesWaitersAndLeavesRunningCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		running, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		refused := make(chan error, 1)
		go func() {
			_, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
			refused <- err
		}()
		synctest.Wait()
		queue.Close(result.Errorf(result.CallNotRunDraining, "draining"))
		assert.Assert(t, result.Is(<-refused, result.CallNotRunDraining))
		assert.Equal(t, queue.Running(), 1)
		idle := queue.Idle()
		running.Release(false)
		<-idle
	})
}

func TestWaitsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(context.Background(), admission.Request{})
		assert.NilError(t, err)
		defer held.Release(false)
		started := time.Now()
		_, err = queue.Acquire(context.Background(), admission.Request{NoWait: true})
		assert.Assert(t, result.Is(err, result.CallNotRunOverloaded), "%v", err)
		assert.Equal(t, time.Since(started), time.Duration(0))
		_, err = queue.Acquire(context.Background(), admission.Request{MaxWait: 40 * time.Millisecond})
		assert.Assert(t, result.Is(err, result.CallNotRunOverloaded), "%v", err)
		assert.Equal(t, time.Since(started), 40*time.Millisecond)
	})
}
