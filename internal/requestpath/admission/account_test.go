package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// referenceBefore is the order of the calls within a group, without accounts.
func referenceBefore(r, other *Request, now time.Time) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if late, otherLate := r.late(now), other.late(now); late != otherLate {
		return otherLate
	}
	if r.Due.IsZero() || other.Due.IsZero() {
		return !r.Due.IsZero() && other.Due.IsZero()
	}
	if step, otherStep := r.headroomBucket(), other.headroomBucket(); step != otherStep {
		return step < otherStep
	}
	return r.Due.Before(other.Due)
}

func drawRequest(t *rapid.T, groups []string) Request {
	request := Request{
		Group:           rapid.SampledFrom(groups).Draw(t, "group"),
		HasAccount:      true,
		Background:      rapid.IntRange(0, 4).Draw(t, "background") == 0,
		AccountPriority: rapid.Uint32Range(0, 2).Draw(t, "account priority"),
		Priority:        rapid.Uint32Range(0, 2).Draw(t, "priority"),
		Headroom:        time.Duration(rapid.IntRange(-10, 400).Draw(t, "headroom")) * time.Millisecond,
		MaxWait:         time.Hour,
	}
	if rapid.IntRange(0, 4).Draw(t, "target") > 0 {
		request.Due = arrivedAt.Add(time.Duration(rapid.IntRange(-50, 400).Draw(t, "due")) * time.Millisecond)
	}
	return request
}

// Checks that the order of the calls within one group equals the reference order.
func TestOrderOfAGroupIsTheFormerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := drawRequest(t, []string{"a"}), drawRequest(t, []string{"a"})
		assert.Equal(t, first.before(&second, arrivedAt), referenceBefore(&first, &second, arrivedAt))
	})
}

// waitingQueue returns a queue in which the given requests wait.
func waitingQueue(requests []Request, accounts bool, weights map[string]uint32) *Queue {
	queue := NewQueue(Limits{Slots: 1, QueueLength: 1000, QueueTime: time.Hour}, func() time.Time { return arrivedAt })
	queue.accounts, queue.weights = accounts, weights
	for _, request := range requests {
		queue.push(request, arrivedAt).deadline = arrivedAt.Add(time.Hour)
	}
	return queue
}

// drain removes the waiting calls in the order in which they get slots, and returns their sequence
// numbers.
func drain(queue *Queue) []uint64 {
	var order []uint64
	for next := queue.next(arrivedAt); next != nil; next = queue.next(arrivedAt) {
		queue.remove(next)
		order = append(order, next.sequence)
	}
	return order
}

// Checks that a single account is served in the same order as a group without accounts.
func TestOneAccountIsServedAsOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Request {
			request := drawRequest(t, []string{"a"})
			request.AccountPriority = 0
			return request
		}), 1, 30).Draw(t, "requests")
		assert.DeepEqual(t, drain(waitingQueue(requests, true, nil)), drain(waitingQueue(requests, false, nil)))
	})
}

// Checks for random usage and weights that no call overtakes one of a more urgent account, nor one
// of a more urgent route of an account of the same priority, nor a more urgent one of an account
// with the same excess.
func TestNoLessUrgentCallGoesFirst(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Request { return drawRequest(t, names) }), 2, 30).Draw(t, "requests")
		queue := waitingQueue(requests, true, map[string]uint32{"a": 1, "b": 300})
		for _, name := range names {
			queue.groupOf(Request{Group: name}).usage = rapid.Float64Range(0, 50).Draw(t, "usage")
		}
		for next := queue.next(arrivedAt); next != nil; next = queue.next(arrivedAt) {
			assertMostUrgent(t, queue, next)
			queue.remove(next)
		}
		assert.Equal(t, queue.waiting, 0)
	})
}

// assertMostUrgent checks that next may go before all other waiting calls.
func assertMostUrgent(t *rapid.T, queue *Queue, next *waiter) {
	excess := map[string]int{}
	waiting := queue.candidates(arrivedAt)
	for _, other := range waiting {
		excess[other.request.Group] = other.excess
	}
	for _, other := range waiting {
		first, second := &next.request, &other.request
		assert.Assert(t, first.AccountPriority <= second.AccountPriority)
		if first.AccountPriority != second.AccountPriority || first.Background != second.Background {
			continue
		}
		assert.Assert(t, first.Priority <= second.Priority)
		if first.Priority == second.Priority && excess[first.Group] == excess[second.Group] {
			assert.Assert(t, first.compareUrgency(second, arrivedAt) <= 0)
		}
	}
}

// Checks that the share of an account is proportional to its weight, and that one call beyond it
// does not count as excess.
func TestExcessOverTheShare(t *testing.T) {
	total := activeUsage{weight: 100, usedSlotSeconds: 10, meanCallSeconds: 0.1}
	for name, row := range map[string]struct {
		used, weight float64
		want         int
	}{
		"nothing used":                     {0, 1, 0},
		"one call of a small account":      {0.1, 1, 0},
		"its share":                        {1, 10, 0},
		"one call more than its share":     {1.1, 10, 0},
		"a little more":                    {1.2, 10, 1},
		"far above its share":              {4.5, 10, 3},
		"a large account of the same use":  {4.5, 60, 0},
		"nearly all, by one of many small": {9.9, 1, 6},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, total.excessLevel(row.used, row.weight), row.want) })
	}
}

// Checks that the calls of many small accounts together are subject to one queue length.
func TestManyAccountsHaveOneBound(t *testing.T) {
	queue := waitingQueue(nil, true, nil)
	queue.limits.QueueLength = 10
	queue.running = 1
	refused := 0
	for number := range 80 {
		request := Request{Group: string(rune('A' + number)), MaxWait: time.Hour, Due: arrivedAt.Add(time.Minute)}
		if _, err := queue.enqueueAmongAccounts(request, arrivedAt); err != nil {
			assert.Assert(t, result.Is(err, result.CallNotRunOverloaded))
			refused++
		}
	}
	assert.Equal(t, queue.waiting, 10)
	assert.Equal(t, refused, 70)
}

// Checks that a call with nothing ahead of it is not refused because the share of its account is
// small.
func TestSmallShareIsNoReasonToRefuse(t *testing.T) {
	var others []Request
	for number := range 79 {
		others = append(others, Request{Group: string(rune('A' + number)), Priority: 1, MaxWait: time.Hour})
	}
	queue := waitingQueue(others, true, map[string]uint32{"small": 1, "A": 1000})
	queue.running, queue.meanService = 1, 100*time.Millisecond
	_, err := queue.enqueueAmongAccounts(Request{Group: "small", MaxWait: 10 * time.Millisecond}, arrivedAt)
	assert.NilError(t, err)
}

// Checks that a more urgent call that leaves the least urgent ones no time makes them be refused
// immediately, with a retry time, and that no more calls than necessary are refused.
func TestHopelessCallsAreRefusedNow(t *testing.T) {
	waiting := func(priority uint32, maxWait time.Duration) Request {
		return Request{Group: "a", Priority: priority, MaxWait: maxWait}
	}
	queue := waitingQueue(nil, true, nil)
	queue.running, queue.meanService = 1, 100*time.Millisecond
	enter := func(request Request) *waiter {
		entered, err := queue.enqueueAmongAccounts(request, arrivedAt)
		assert.NilError(t, err)
		return entered
	}
	unaffected := enter(waiting(2, time.Second))
	middle := enter(waiting(1, 150*time.Millisecond))
	displaced := enter(waiting(2, 250*time.Millisecond))
	enter(waiting(0, 100*time.Millisecond))
	assert.Equal(t, len(unaffected.outcome)+len(middle.outcome), 0)
	refusal := (<-displaced.outcome).(*result.Error)
	assert.Equal(t, refusal.Code, result.CallNotRunOverloaded)
	assert.Equal(t, refusal.RetryAfter, 300*time.Millisecond)
	assert.Equal(t, queue.waiting, 3)
}

// Checks that the order of the accounts is total: the comparison is antisymmetric and transitive.
func TestOrderOfAccountsIsTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Request { return drawRequest(t, []string{"a", "b", "c"}) }), 3, 3).Draw(t, "requests")
		var three []candidate
		for number, request := range requests {
			three = append(three, candidate{waiter: &waiter{request: request, sequence: uint64(number)}, excess: rapid.IntRange(0, 2).Draw(t, "excess")})
		}
		a, b, c := three[0], three[1], three[2]
		assert.Equal(t, a.compare(b, arrivedAt), -b.compare(a, arrivedAt))
		if a.compare(b, arrivedAt) < 0 && b.compare(c, arrivedAt) < 0 {
			assert.Assert(t, a.compare(c, arrivedAt) < 0)
		}
	})
}

// Checks that calls without an account never count as above a share, however many there are.
func TestCallsWithoutAccountHaveNoExcess(t *testing.T) {
	requests := []Request{{Group: "default"}, {Group: "hot", HasAccount: true}}
	for _, name := range []string{"a", "b", "c"} {
		requests = append(requests, Request{Group: name, HasAccount: true})
	}
	queue := waitingQueue(requests, true, nil)
	queue.groups[groupKey{name: "default"}].usage, queue.groups[groupKey{name: "hot", isAccount: true}].usage = 40, 40
	for _, waiting := range queue.candidates(arrivedAt) {
		assert.Equal(t, waiting.excess > 0, waiting.request.Group == "hot")
	}
}
