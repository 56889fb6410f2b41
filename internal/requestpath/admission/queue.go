package admission

import (
	"container/list"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Queue admits calls to one back end. It is safe for concurrent use.
type Queue struct {
	now func() time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	limits  Limits
	limit   concurrencyLimit
	weights map[string]uint32
	groups  map[groupKey]*group
	// accounts is true if the groups are accounts (account.go).
	accounts bool
	// totalQueued counts the calls that ever waited, and waiting those that wait now.
	totalQueued uint64
	waiting     int
	// running counts the calls that hold a slot, and uploads the uploads among them.
	running, uploads int
	// meanService is the smoothed time that a call holds its slot, excluding uploads.
	meanService time.Duration
	// closed is the error with which calls are refused while the back end accepts none, otherwise
	// nil.
	closed *result.Error
	// idle is closed when no call is running any more; nil while nothing waits for it.
	idle chan struct{}
	// bucket holds the pace, and tokenTimer dispatches the waiting calls when the next token is
	// available. pacedCalls counts the calls that took a token, and paceRefusals those that would
	// not get one in time.
	bucket                   bucket
	tokenTimer               *time.Timer
	pacedCalls, paceRefusals int64
	// rateLimit holds the rate limit that the back end states (ratelimit.go). rateRefusals counts the
	// calls that it refused, and nextRateRetry is when the next refused caller may retry.
	rateLimit     bucket
	rateRefusals  int64
	nextRateRetry time.Time
}

// waiter is a call in the queue. Exactly one message is sent on outcome: nil if the call got a
// slot, otherwise the refusal.
type waiter struct {
	request Request
	// sequence is its number in the order of arrival.
	sequence uint64
	queuedAt time.Time
	deadline time.Time
	position position
	outcome  chan error
	element  *list.Element
	queue    *list.List
}

// position is the position of a call in the queue when it arrived.
type position struct {
	// ahead is the number of waiting calls before it, and behind the last of these.
	ahead  int
	behind *Request
}

// String describes the position for logs.
func (p position) String() string {
	if p.behind == nil {
		return fmt.Sprintf("%d calls ahead in the queue", p.ahead)
	}
	return fmt.Sprintf("%d calls ahead in the queue, the last of group %s, priority %d", p.ahead, p.behind.Group, p.behind.Priority)
}

// NewQueue returns a queue; now is a monotonic clock.
func NewQueue(limits Limits, now func() time.Time) *Queue {
	return &Queue{
		now: now, limits: limits, limit: newLimit(limits.Slots),
		weights: map[string]uint32{}, groups: map[groupKey]*group{},
	}
}

// Configure replaces the number of slots and the shares of the groups in percent.
func (q *Queue) Configure(slots int, weights map[string]uint32) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit.configure(slots)
	q.weights = weights
	q.accounts = false
	q.dispatch()
}

// Close refuses all waiting and later calls with reason. Running calls continue.
func (q *Queue) Close(reason *result.Error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = reason
	for _, g := range q.groups {
		q.refuseAll(g.interactive, reason)
		q.refuseAll(g.background, reason)
	}
	q.scheduleDispatch(q.now())
}

// Reopen admits calls again after Close.
func (q *Queue) Reopen() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = nil
}

func (q *Queue) refuseAll(waiting *list.List, reason error) {
	for element := waiting.Front(); element != nil; element = waiting.Front() {
		refused := element.Value.(*waiter)
		q.remove(refused)
		refused.outcome <- reason
	}
}

// push adds a call to the queue. The caller must hold mutex and set the deadline of the waiter.
func (q *Queue) push(request Request, now time.Time) *waiter {
	q.totalQueued++
	q.waiting++
	waiting := q.groupOf(request).queueOf(request)
	entered := &waiter{request: request, sequence: q.totalQueued, queuedAt: now, outcome: make(chan error, 1), queue: waiting}
	entered.element = waiting.PushBack(entered)
	return entered
}

// remove removes a waiting call from its queue. The caller must hold mutex.
func (q *Queue) remove(waiting *waiter) {
	waiting.queue.Remove(waiting.element)
	q.waiting--
}

// Acquire waits for a slot. All of its errors prove that the call did not start:
// CallNotRunOverloaded, CallNotRunCold if the pace leaves no time for it, CallNotRunLimited if the rate
// limit is exhausted, CallNotRunExpired, or the reason given to Close.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	waiting, slot, err := q.enter(request)
	if err != nil || slot != nil {
		return slot, err
	}
	timer := time.NewTimer(waiting.deadline.Sub(waiting.queuedAt))
	defer timer.Stop()
	select {
	case err = <-waiting.outcome:
	case <-timer.C:
		err = q.abandon(waiting, q.waitedTooLong(waiting.position))
	case <-ctx.Done():
		err = q.abandon(waiting, result.Errorf(result.CallNotRunExpired, "the caller disconnected"))
	}
	if err != nil {
		return nil, err
	}
	return q.grantedSlot(waiting), nil
}

// enter applies decideArrival and decideWait: it grants a slot, queues the call or refuses it.
func (q *Queue) enter(request Request) (*waiter, *Slot, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	found := queueState{
		closed: q.closed != nil, rateExhausted: q.rateExhausted(now), slotFree: q.mayRun(request, now), othersWait: q.waiting > 0,
	}
	switch decideArrival(request, found, now) {
	case actionRefuseClosed:
		return nil, nil, q.closed
	case actionRefuseExpired:
		return nil, nil, result.Errorf(result.CallNotRunExpired, "the latest start time has passed")
	case actionRefuseRate:
		return nil, nil, q.refuseRateLimited(now)
	case actionStart:
		return nil, q.start(q.groupOf(request), request, now), nil
	}
	waiting, err := q.enqueueOrRefuse(request, now)
	return waiting, nil, err
}

// enqueueOrRefuse handles a call that finds no free slot. The caller must hold mutex.
func (q *Queue) enqueueOrRefuse(request Request, now time.Time) (*waiter, error) {
	if q.accounts {
		return q.enqueueAmongAccounts(request, now)
	}
	g := q.groupOf(request)
	waiting := g.queueOf(request)
	found := position{ahead: countAhead(waiting, request, now)}
	expected := q.expectedWait(g, found.ahead, now)
	verdict, deadline := decideWait(request, waiting.Len(), expected, q.limits, now)
	switch verdict {
	case actionRefuseNoSlot:
		return nil, q.refuse(expected, "no slot is free", found)
	case actionRefuseFull:
		return nil, q.refuse(expected, "the queue of group "+request.Group+" is full", found)
	}
	entered := q.push(request, now)
	entered.deadline, entered.position = deadline, found
	q.dispatch()
	return entered, nil
}

// expectedWait estimates the wait of a call with the given number of calls of its group ahead. The
// group gets its share of the slots and of the tokens.
func (q *Queue) expectedWait(g *group, ahead int, now time.Time) waitEstimate {
	share := q.shareOf(g)
	return waitEstimate{
		forSlot:  estimateSlotWait(q.meanService, ahead, float64(q.limit.current)*share),
		forToken: q.bucket.wait(int(float64(ahead)/share), now),
	}
}

// refuse counts a refusal by the pace and returns the error of the call. The caller must hold
// mutex.
func (q *Queue) refuse(expected waitEstimate, detail string, found position) *result.Error {
	if expected.limitedByPace() {
		q.paceRefusals++
	}
	return refusalFor(expected, detail+": "+found.String())
}

// waitedTooLong returns the error for a call whose maximum wait has passed. Its retry time is the
// wait for one call to end or for the next token.
func (q *Queue) waitedTooLong(found position) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refuse(waitEstimate{forSlot: q.meanService, forToken: q.bucket.wait(0, q.now())}, "the maximum wait has passed", found)
}

// abandon removes a waiter from the queue and returns reason. If the waiter was granted a slot or
// refused in the meantime, the slot is released or the refusal dropped.
func (q *Queue) abandon(waiting *waiter, reason error) error {
	q.mutex.Lock()
	select {
	case err := <-waiting.outcome:
		q.mutex.Unlock()
		if err == nil {
			q.grantedSlot(waiting).Cancel()
		}
		return reason
	default:
	}
	q.remove(waiting)
	q.mutex.Unlock()
	return reason
}

// mayRun reports whether a free slot may be given to a request.
func (q *Queue) mayRun(request Request, now time.Time) bool {
	if q.running >= q.limit.current || !q.bucket.allows(now) || !q.rateLimit.allows(now) {
		return false
	}
	return !request.Upload || q.uploads < q.limit.uploads()
}

// dispatch gives free slots to waiting calls. The caller must hold mutex.
func (q *Queue) dispatch() {
	for {
		now := q.now()
		next := q.next(now)
		if next == nil {
			q.scheduleDispatch(now)
			return
		}
		q.remove(next)
		q.start(q.groupOf(next.request), next.request, now)
		next.outcome <- nil
	}
}
