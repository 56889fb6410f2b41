package admission_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

func TestOrderWithinAGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		var order []string
		var mutex sync.Mutex
		for _, request := range []admission.Request{{Group: "a", Background: true}, {Group: "a"}} {
			go func() {
				slot, err := queue.Acquire(t.Context(), request)
				assert.Check(t, err == nil)
				mutex.Lock()
				order = append(order, map[bool]string{true: "background", false: "interactive"}[request.Background])
				mutex.Unlock()
				time.Sleep(time.Millisecond)
				slot.Release(false)
			}()
			synctest.Wait()
		}
		held.Release(false)
		time.Sleep(time.Second)
		mutex.Lock()
		defer mutex.Unlock()
		assert.DeepEqual(t, order, []string{"interactive", "background"})
	})
}

func TestMoreUrgentCallsGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(context.Background(), admission.Request{})
		assert.NilError(t, err)
		now := time.Now()
		var mutex sync.Mutex
		var order []string
		enter := func(name string, request admission.Request) {
			go func() {
				slot, err := queue.Acquire(context.Background(), request)
				assert.Check(t, err)
				mutex.Lock()
				order = append(order, name)
				mutex.Unlock()
				slot.Release(false)
			}()
			synctest.Wait()
		}
		enter("no due", admission.Request{Priority: 1})
		enter("less urgent, due soon", admission.Request{Priority: 2, Due: now.Add(time.Millisecond)})
		enter("due later", admission.Request{Priority: 1, Due: now.Add(2 * time.Second)})
		enter("due soon", admission.Request{Priority: 1, Due: now.Add(time.Second)})
		held.Release(false)
		synctest.Wait()
		assert.DeepEqual(t, order, []string{"due soon", "due later", "no due", "less urgent, due soon"})
	})
}

// Checks that calls with little headroom go before calls that arrived or are due earlier, unless
// they are late. Such calls are short, and other calls wait for them.
func TestCallsOfLeastHeadroomGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(context.Background(), admission.Request{})
		assert.NilError(t, err)
		order := make(chan string, 4)
		enter := func(name string, headroom, remaining time.Duration) {
			request := admission.Request{Due: time.Now().Add(remaining), Headroom: headroom, MaxWait: time.Second}
			go func() {
				slot, err := queue.Acquire(context.Background(), request)
				assert.Check(t, err)
				order <- name
				slot.Release(false)
			}()
			synctest.Wait()
		}
		enter("order, due soon", 300*time.Millisecond, 40*time.Millisecond)
		enter("order", 310*time.Millisecond, 310*time.Millisecond)
		enter("nested", 90*time.Millisecond, 90*time.Millisecond)
		enter("nested and late", 90*time.Millisecond, -time.Millisecond)
		held.Release(false)
		for _, want := range []string{"nested", "order, due soon", "order", "nested and late"} {
			assert.Equal(t, <-order, want)
		}
	})
}

// Checks that a late call does not take a slot from one that can still be answered in time.
func TestLateCallsGoLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(context.Background(), admission.Request{})
		assert.NilError(t, err)
		now := time.Now()
		order := make(chan string, 2)
		enter := func(name string, due time.Duration) {
			go func() {
				slot, err := queue.Acquire(context.Background(), admission.Request{Due: now.Add(due), MaxWait: time.Second})
				assert.Check(t, err)
				order <- name
				slot.Release(false)
			}()
			synctest.Wait()
		}
		enter("late by then", 10*time.Millisecond)
		enter("in time", 500*time.Millisecond)
		time.Sleep(20 * time.Millisecond)
		held.Release(false)
		assert.Equal(t, <-order, "in time")
		assert.Equal(t, <-order, "late by then")
	})
}
