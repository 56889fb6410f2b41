package admission_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// meter counts the calls served by group.
type meter struct {
	mutex  sync.Mutex
	served map[string]int
}

func (m *meter) add(group string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.served[group]++
}

func (m *meter) count(group string) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.served[group]
}

func (m *meter) part(group string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := 0
	for _, count := range m.served {
		total += count
	}
	return 100 * float64(m.served[group]) / float64(total)
}

// press keeps workers of a group calling until ctx ends.
func press(ctx context.Context, queue *admission.Queue, group string, workers int, served *meter) {
	for worker := range workers {
		random := rand.New(rand.NewPCG(uint64(worker), 1))
		go func() {
			for ctx.Err() == nil {
				slot, err := queue.Acquire(ctx, admission.Request{Group: group})
				if err != nil {
					time.Sleep(time.Duration(random.IntN(50)+1) * time.Millisecond)
					continue
				}
				time.Sleep(serviceTime + time.Duration(random.IntN(10000))*time.Microsecond)
				slot.Release(false)
				served.add(group)
			}
		}()
	}
}

func TestGroupsGetTheirSharesUnderOverload(t *testing.T) {
	cases := []struct {
		name    string
		weights map[string]uint32
		workers map[string]int
	}{
		{"three groups", map[string]uint32{"a": 50, "b": 30, "c": 20}, map[string]int{"a": 40, "b": 40, "c": 40}},
		{"one presses harder", map[string]uint32{"a": 50, "b": 50}, map[string]int{"a": 20, "b": 200}},
		{"small share", map[string]uint32{"a": 90, "b": 10}, map[string]int{"a": 40, "b": 40}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				queue := newQueue(6, test.weights)
				served := &meter{served: map[string]int{}}
				for group, workers := range test.workers {
					press(ctx, queue, group, workers, served)
				}
				time.Sleep(20 * time.Second)
				cancel()
				time.Sleep(time.Second)
				for group, weight := range test.weights {
					difference := math.Abs(served.part(group) - float64(weight))
					assert.Check(t, difference <= 2, "group %s has %.1f percent, declared %d", group, served.part(group), weight)
				}
			})
		})
	}
}

func TestIdleShareIsLentAndComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		queue := newQueue(6, map[string]uint32{"a": 50, "b": 50})
		alone := &meter{served: map[string]int{}}
		press(ctx, queue, "a", 40, alone)
		time.Sleep(5 * time.Second)
		perSecond := float64(alone.count("a")) / 5
		assert.Assert(t, perSecond > 0.85*6/serviceTime.Seconds(), "lent slots are not used: %.0f a second", perSecond)

		returned := &meter{served: map[string]int{}}
		press(ctx, queue, "b", 40, returned)
		time.Sleep(time.Second)
		assert.Assert(t, returned.count("b") >= 40, "%d calls in the first second", returned.count("b"))
		cancel()
		time.Sleep(time.Second)
	})
}

func TestRefusalsComeEarlyAndNameATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		queue := newQueue(1, nil)
		served := &meter{served: map[string]int{}}
		press(ctx, queue, "a", 30, served)
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

func TestNothingStartsAfterItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		_, err := queue.Acquire(t.Context(), admission.Request{Group: "a", StartBy: time.Now()})
		assert.Assert(t, result.Is(err, result.CallNotRunExpired), "%v", err)
		held, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
		assert.NilError(t, err)
		_, err = queue.Acquire(t.Context(), admission.Request{Group: "a", StartBy: time.Now().Add(100 * time.Millisecond)})
		assert.Assert(t, err != nil)
		held.Release(false)
		assert.Equal(t, queue.Running(), 0)
	})
}

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
		_, err = queue.Acquire(t.Context(), admission.Request{Group: "a", StartBy: time.Now().Add(time.Millisecond)})
		assert.Assert(t, err != nil, "the limit did not fall")
		first.Release(false)
		for range 100 {
			slot, err := queue.Acquire(t.Context(), admission.Request{Group: "a"})
			assert.NilError(t, err)
			slot.Release(false)
		}
		for range 4 {
			_, err := queue.Acquire(t.Context(), admission.Request{Group: "a", StartBy: time.Now().Add(time.Millisecond)})
			assert.NilError(t, err)
		}
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

// Calls that others wait for are short and have little slack: they go before those
// that came earlier and are due earlier, unless they are late.
func TestCallsOfLeastSlackGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(1, nil)
		held, err := queue.Acquire(context.Background(), admission.Request{})
		assert.NilError(t, err)
		order := make(chan string, 4)
		enter := func(name string, slack, left time.Duration) {
			request := admission.Request{Due: time.Now().Add(left), Slack: slack, MaxWait: time.Second}
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

// A call that is late anyway does not keep one that can be in time from its slot.
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

// Every instance of a service shed half of its calls for 8.5 s whatever its load: the
// limit of each fell to one slot (swancycle-hq-now-grown scale-1, 13 to 21.5 s, 35,879
// answers of 503).
func TestSheddingWithoutLoadLeavesTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queue := newQueue(13, nil)
		const callers, lasts = 26, 8 * time.Second
		var shed, served atomic.Int64
		ctx, stop := context.WithTimeout(t.Context(), lasts)
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
		// 26 callers keep 13 slots busy: about as many are served as the slots bear.
		bears := 13 * int64(lasts/serviceTime)
		assert.Assert(t, served.Load() > bears*7/10, "%d served and %d shed, the slots bear %d", served.Load(), shed.Load(), bears)
	})
}
