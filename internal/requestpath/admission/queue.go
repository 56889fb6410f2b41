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
	// accounts is true where the groups are accounts (account.go).
	accounts bool
	// entered counts the calls that ever waited, and waiting those that do now.
	entered uint64
	waiting int
	// running counts the calls that hold a slot, and uploads those of them that are uploads.
	running, uploads int
	meanService      time.Duration
	// closed is what calls are refused with while the back end takes none, else nil.
	closed *result.Error
	// idle is closed when no call runs any more; nil while nobody waits for that.
	idle chan struct{}
	// bucket holds the pace, and tokenTimer dispatches the waiting calls when the next
	// token is there. pacedCalls took a token, paceRefusals got none in their time.
	bucket                   bucket
	tokenTimer               *time.Timer
	pacedCalls, paceRefusals int64
}

// waiter is a call in the queue. Exactly one message is sent on outcome: nil when the call got
// a slot, the refusal otherwise.
type waiter struct {
	request Request
	// sequence is its place in the order of arrival.
	sequence uint64
	queued   time.Time
	deadline time.Time
	place    place
	outcome  chan error
	element  *list.Element
	queue    *list.List
}

// place is what a call found before it in the queue as it came.
type place struct {
	// ahead is the number of waiting calls that went before it, and behind the last of these.
	ahead  int
	behind *Request
}

// String describes the place for logs.
func (p place) String() string {
	if p.behind == nil {
		return fmt.Sprintf("%d calls went before it", p.ahead)
	}
	return fmt.Sprintf("%d calls went before it, the last of group %s, priority %d", p.ahead, p.behind.Group, p.behind.Priority)
}

// NewQueue returns a queue; now gives the time of a steady clock.
func NewQueue(limits Limits, now func() time.Time) *Queue {
	return &Queue{
		now: now, limits: limits, limit: newLimit(limits.Slots),
		weights: map[string]uint32{}, groups: map[groupKey]*group{},
	}
}

// Configure replaces the number of slots and the groups' shares in percent.
func (q *Queue) Configure(slots int, weights map[string]uint32) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.limit.configure(slots)
	q.weights = weights
	q.accounts = false
	q.dispatch()
}

// Close refuses all waiting and later calls with reason; running calls go on.
func (q *Queue) Close(reason *result.Error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = reason
	for _, g := range q.groups {
		q.refuseAll(g.interactive, reason)
		q.refuseAll(g.background, reason)
	}
	q.awaitToken(q.now())
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

// push has a call wait; the caller holds mutex and sets its deadline.
func (q *Queue) push(request Request, now time.Time) *waiter {
	q.entered++
	q.waiting++
	waiting := q.groupOf(request).queueOf(request)
	entered := &waiter{request: request, sequence: q.entered, queued: now, outcome: make(chan error, 1), queue: waiting}
	entered.element = waiting.PushBack(entered)
	return entered
}

// remove takes a waiting call out of its queue; the caller holds mutex.
func (q *Queue) remove(waiting *waiter) {
	waiting.queue.Remove(waiting.element)
	q.waiting--
}

// Acquire waits for a slot. Errors, all proving that the call did not start:
// CallNotRunOverloaded, CallNotRunCold while the pace leaves no time for it,
// CallNotRunExpired, the reason given to Close.
func (q *Queue) Acquire(ctx context.Context, request Request) (*Slot, error) {
	waiting, slot, err := q.enter(request)
	if err != nil || slot != nil {
		return slot, err
	}
	timer := time.NewTimer(waiting.deadline.Sub(waiting.queued))
	defer timer.Stop()
	select {
	case err = <-waiting.outcome:
	case <-timer.C:
		err = q.abandon(waiting, q.waitedTooLong(waiting.place))
	case <-ctx.Done():
		err = q.abandon(waiting, result.Errorf(result.CallNotRunExpired, "the caller went away"))
	}
	if err != nil {
		return nil, err
	}
	return q.slotFor(waiting), nil
}

// enter carries out what decideArrival and decideWait say: it grants a slot at once, queues the
// call or refuses it.
func (q *Queue) enter(request Request) (*waiter, *Slot, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	found := arrival{closed: q.closed != nil, slotFree: q.mayRun(request, now), othersWait: q.waiting > 0}
	switch decideArrival(request, found, now) {
	case actionRefuseClosed:
		return nil, nil, q.closed
	case actionRefuseExpired:
		return nil, nil, result.Errorf(result.CallNotRunExpired, "the time to start has passed")
	case actionStart:
		return nil, q.start(q.groupOf(request), request, now), nil
	}
	waiting, err := q.queueOrRefuse(request, now)
	return waiting, nil, err
}

// queueOrRefuse is enter for a call that finds no free slot; the caller holds mutex.
func (q *Queue) queueOrRefuse(request Request, now time.Time) (*waiter, error) {
	if q.accounts {
		return q.queueAmongAccounts(request, now)
	}
	g := q.groupOf(request)
	waiting := g.queueOf(request)
	found := place{ahead: ahead(waiting, request, now)}
	expected := q.expectedWait(g, found.ahead, now)
	verdict, deadline := decideWait(request, waiting.Len(), expected, q.limits, now)
	switch verdict {
	case actionRefuseNoSlot:
		return nil, q.refuse(expected, "no slot is free", found)
	case actionRefuseFull:
		return nil, q.refuse(expected, "the queue of group "+request.Group+" is full", found)
	}
	entered := q.push(request, now)
	entered.deadline, entered.place = deadline, found
	q.dispatch()
	return entered, nil
}

// expectedWait estimates how long a call behind ahead others of its group waits; the group gets
// its share of the slots and of the tokens.
func (q *Queue) expectedWait(g *group, ahead int, now time.Time) waitEstimate {
	share := q.shareOf(g)
	return waitEstimate{
		forSlot:  slotWait(q.meanService, ahead, float64(q.limit.current)*share),
		forToken: q.bucket.wait(int(float64(ahead)/share), now),
	}
}

// refuse returns and counts the refusal of a call; the caller holds mutex.
func (q *Queue) refuse(expected waitEstimate, detail string, found place) *result.Error {
	if expected.byPace() {
		q.paceRefusals++
	}
	return refusalFor(expected, detail+": "+found.String())
}

// waitedTooLong returns the error for a call whose time in the queue is over. A call that comes
// back would wait for one call to end or for the next token.
func (q *Queue) waitedTooLong(found place) error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refuse(waitEstimate{forSlot: q.meanService, forToken: q.bucket.wait(0, q.now())}, "the wait was too long", found)
}

// abandon takes a waiter out of the queue; one that was granted a slot in the same moment gives it
// back. It returns reason.
func (q *Queue) abandon(waiting *waiter, reason error) error {
	q.mutex.Lock()
	select {
	case err := <-waiting.outcome:
		q.mutex.Unlock()
		if err == nil {
			q.slotFor(waiting).Cancel()
		}
		return reason
	default:
	}
	q.remove(waiting)
	q.mutex.Unlock()
	return reason
}

// mayRun reports whether a free slot may be given to request.
func (q *Queue) mayRun(request Request, now time.Time) bool {
	if q.running >= q.limit.current || !q.bucket.allows(now) {
		return false
	}
	return !request.Upload || q.uploads < q.limit.uploads()
}

// dispatch gives free slots to waiting calls; the caller holds mutex.
func (q *Queue) dispatch() {
	for {
		now := q.now()
		next := q.next(now)
		if next == nil {
			q.awaitToken(now)
			return
		}
		q.remove(next)
		q.start(q.groupOf(next.request), next.request, now)
		next.outcome <- nil
	}
}
