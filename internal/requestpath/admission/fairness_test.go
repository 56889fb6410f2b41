package admission_test

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// meter counts the served calls of each group.
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

func (m *meter) percent(group string) float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	total := 0
	for _, count := range m.served {
		total += count
	}
	return 100 * float64(m.served[group]) / float64(total)
}

// generateLoad starts workers that make calls of a group until ctx ends.
func generateLoad(ctx context.Context, queue *admission.Queue, group string, workers int, served *meter) {
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
					generateLoad(ctx, queue, group, workers, served)
				}
				time.Sleep(20 * time.Second)
				cancel()
				time.Sleep(time.Second)
				for group, weight := range test.weights {
					difference := math.Abs(served.percent(group) - float64(weight))
					assert.Check(t, difference <= 2, "group %s has %.1f percent, declared %d", group, served.percent(group), weight)
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
		generateLoad(ctx, queue, "a", 40, alone)
		time.Sleep(5 * time.Second)
		perSecond := float64(alone.count("a")) / 5
		assert.Assert(t, perSecond > 0.85*6/serviceTime.Seconds(), "lent slots are not used: %.0f a second", perSecond)

		returned := &meter{served: map[string]int{}}
		generateLoad(ctx, queue, "b", 40, returned)
		time.Sleep(time.Second)
		assert.Assert(t, returned.count("b") >= 40, "%d calls in the first second", returned.count("b"))
		cancel()
		time.Sleep(time.Second)
	})
}
