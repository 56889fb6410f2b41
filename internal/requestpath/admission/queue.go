// Package admission decides which call may use a back end's slots next. Slots
// are shared between groups by weighted fair queueing over the time that
// calls occupy them: the waiting group that has used the least for its weight
// goes first. Unused shares are lent; a group that returns is served before
// the borrowers as soon as a slot is free. Within a group interactive calls go
// before background ones, and uploads never take all slots while others wait.
package admission

import (
	"container/list"
	"context"
	"math"
	"math/bits"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Tunables of a queue.
const (
	// usageHalfLife is how fast past use of slots is forgotten.
	usageHalfLife = 500 * time.Millisecond
	// defaultWeight is the weight of a group without a declared share, in
	// percent.
	defaultWeight = 1
	// minRetryAfter is the least time named in a refusal.
	minRetryAfter = 50 * time.Millisecond
)

// Limits bound a queue.
type Limits struct {
	// Slots is the number of calls at once.
	Slots int
	// QueueLength is the number of waiting calls of each group.
	QueueLength int
	// QueueTime is the longest wait of an interactive call; background calls
	// may wait BackgroundFactor times as long.
	QueueTime time.Duration
}

// BackgroundFactor is how much longer background calls may wait.
const BackgroundFactor = 8

// Request describes a call that wants a slot.
type Request struct {
	Group      string
	Background bool
	Upload     bool
	// Priority orders the waiting calls of a group; 0 is the most urgent.
	Priority uint32
	// Due is the time by which a call must start to be answered while the answer
	// is worth most. Those that are late go after all others; zero comes last.
	Due time.Time
	// Slack is how long before Due such a call comes when it has not waited yet.
	// The calls with the least go first: they are short, or others wait for them.
	Slack time.Duration
	// MaxWait bounds the wait; 0 means the queue's own bound.
	MaxWait time.Duration
	// NoWait refuses the call when it cannot start at once.
	NoWait bool
	// StartBy is the time after which the call must not start; zero for none.
	StartBy time.Time
}

// Queue admits calls to one back end. It is safe for concurrent use.
type Queue struct {
	now func() time.Time

	// mutex protects everything below.
	mutex   sync.Mutex
	limits  Limits
	weights map[string]uint32
	groups  map[string]*group
	running int
	uploads int
	// limit is the adaptive number of slots, at most limits.Slots. Shedding until
	// unrelatedUntil does not lower it.
	limit          int
	unrelatedUntil time.Time
	successes      int
	meanService    time.Duration
	closed         *result.Error
	idle           chan struct{}
	// bucket holds the pace, and tokenTimer looks at the waiting calls when the next
	// token is there. pacedCalls took a token, paceRefusals got none in their time.
	bucket                   bucket
	tokenTimer               *time.Timer
	pacedCalls, paceRefusals int64
}

// group is the state of one group.
type group struct {
	name string
	// usage is the decayed slot time used, at usageAt.
	usage       float64
	usageAt     time.Time
	running     int
	interactive *list.List
	background  *list.List
}

// waiter is a call in the queue. Exactly one of granted or refused happens.
type waiter struct {
	request  Request
	queued   time.Time
	deadline time.Time
	granted  chan error
	element  *list.Element
	list     *list.List
}

// Slot is the right to use the back end; Release must be called once.
type Slot struct {
	queue   *Queue
	group   *group
	upload  bool
	started time.Time
	// among is the number of calls that ran when it was given, this one included.
	among int
	once  sync.Once
}

// NewQueue returns a queue; now gives the time.
func NewQueue(limits Limits, now func() time.Time) *Queue {
	return &Queue{
		now: now, limits: limits, limit: limits.Slots,
		weights: map[string]uint32{}, groups: map[string]*group{},
	}
}

// Configure replaces the number of slots and the groups' shares in percent.
func (q *Queue) Configure(slots int, weights map[string]uint32) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if slots != q.limits.Slots {
		q.limits.Slots = slots
		q.limit = slots
	}
	q.weights = weights
	q.dispatch()
}

// Close refuses all waiting and later calls with reason. Running calls are not
// touched.
func (q *Queue) Close(reason *result.Error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = reason
	for _, g := range q.groups {
		refuseAll(g.interactive, reason)
		refuseAll(g.background, reason)
	}
	q.awaitToken(q.now())
}

// Reopen lets calls in again after Close.
func (q *Queue) Reopen() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.closed = nil
}

func refuseAll(waiting *list.List, reason error) {
	for element := waiting.Front(); element != nil; element = waiting.Front() {
		waiting.Remove(element)
		element.Value.(*waiter).granted <- reason
	}
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
	case err = <-waiting.granted:
	case <-timer.C:
		err = q.abandon(waiting, q.waitedTooLong())
	case <-ctx.Done():
		err = q.abandon(waiting, result.Errorf(result.CallNotRunExpired, "the caller went away"))
	}
	if err != nil {
		return nil, err
	}
	return q.slotFor(waiting), nil
}

// enter grants a slot at once, queues the call or refuses it.
func (q *Queue) enter(request Request) (*waiter, *Slot, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	if q.closed != nil {
		return nil, nil, q.closed
	}
	if !request.StartBy.IsZero() && !now.Before(request.StartBy) {
		return nil, nil, result.Errorf(result.CallNotRunExpired, "the time to start has passed")
	}
	g := q.groupOf(request.Group)
	if q.mayRun(request, now) && !q.anyWaiting() {
		return nil, q.start(g, request, now), nil
	}
	waiting := g.interactive
	limit := q.limits.QueueTime
	if request.MaxWait > 0 {
		limit = request.MaxWait
	}
	if request.Background {
		waiting = g.background
		limit *= BackgroundFactor
	}
	before := ahead(waiting, request, now)
	expected, paced := q.expectedWait(g, before), q.paceWait(g, before, now)
	if request.NoWait {
		return nil, nil, q.refusal(expected, paced, "no slot is free")
	}
	if waiting.Len() >= q.limits.QueueLength || max(expected, paced) > limit {
		return nil, nil, q.refusal(expected, paced, "the queue of group "+request.Group+" is full")
	}
	deadline := now.Add(limit)
	if !request.StartBy.IsZero() && request.StartBy.Before(deadline) {
		deadline = request.StartBy
	}
	entered := &waiter{request: request, queued: now, deadline: deadline, granted: make(chan error, 1), list: waiting}
	entered.element = waiting.PushBack(entered)
	q.dispatch()
	return entered, nil, nil
}

// ahead counts the waiting calls that go before a request.
func ahead(waiting *list.List, request Request, now time.Time) int {
	count := 0
	for element := waiting.Front(); element != nil; element = element.Next() {
		if !request.before(&element.Value.(*waiter).request, now) {
			count++
		}
	}
	return count
}

// before reports whether a request that came later goes before another one:
// the more urgent first, then those that can still be in time, then those of the
// least slack, then those that are due first.
func (r *Request) before(other *Request, now time.Time) bool {
	if r.Priority != other.Priority {
		return r.Priority < other.Priority
	}
	if late, otherLate := r.late(now), other.late(now); late != otherLate {
		return otherLate
	}
	if r.Due.IsZero() || other.Due.IsZero() {
		return !r.Due.IsZero() && other.Due.IsZero()
	}
	if step, otherStep := r.slackStep(), other.slackStep(); step != otherStep {
		return step < otherStep
	}
	return r.Due.Before(other.Due)
}

// slackStep is the slack in steps of a factor of two: what callers know of the
// service time of one route differs a little.
func (r *Request) slackStep() int { return bits.Len64(uint64(max(r.Slack.Milliseconds(), 0))) }

// late reports whether the request can no longer start in time.
func (r *Request) late(now time.Time) bool { return !r.Due.IsZero() && r.Due.Before(now) }

// expectedWait estimates how long a call behind ahead others of its group
// waits, from the mean service time and the group's part of the slots.
func (q *Queue) expectedWait(g *group, ahead int) time.Duration {
	part := float64(q.limit) * q.shareOf(g)
	return time.Duration(float64(q.meanService) * float64(ahead) / math.Max(part, 0.5))
}

// shareOf returns the group's part among the groups that are active now.
func (q *Queue) shareOf(g *group) float64 {
	total := 0.0
	for _, other := range q.groups {
		if other == g || other.running > 0 || other.interactive.Len() > 0 || other.background.Len() > 0 {
			total += q.weightOf(other.name)
		}
	}
	return q.weightOf(g.name) / total
}

func (q *Queue) weightOf(name string) float64 {
	if weight, ok := q.weights[name]; ok {
		return float64(weight)
	}
	return defaultWeight
}

// waitedTooLong returns the error for a call whose time in the queue is over.
func (q *Queue) waitedTooLong() error {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.refusal(q.meanService, q.bucket.wait(0, q.now()), "the wait was too long")
}

// abandon takes a waiter out of the queue; if it was granted or refused in the
// same moment, that stands.
func (q *Queue) abandon(waiting *waiter, reason error) error {
	q.mutex.Lock()
	select {
	case err := <-waiting.granted:
		q.mutex.Unlock()
		if err == nil {
			q.slotFor(waiting).Release(false)
		}
		return reason
	default:
	}
	waiting.list.Remove(waiting.element)
	q.mutex.Unlock()
	return reason
}

func (q *Queue) slotFor(waiting *waiter) *Slot {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return &Slot{queue: q, group: q.groupOf(waiting.request.Group), upload: waiting.request.Upload, started: q.now(), among: q.running}
}

func (q *Queue) groupOf(name string) *group {
	g, ok := q.groups[name]
	if !ok {
		g = &group{name: name, usageAt: q.now(), interactive: list.New(), background: list.New()}
		q.groups[name] = g
	}
	return g
}

// mayRun reports whether a free slot may be given to request.
func (q *Queue) mayRun(request Request, now time.Time) bool {
	if q.running >= q.limit || !q.bucket.allows(now) {
		return false
	}
	return !request.Upload || q.uploads < q.uploadLimit()
}

// uploadLimit keeps a slot for other calls when there are several.
func (q *Queue) uploadLimit() int { return max(1, q.limit-max(1, q.limit/3)) }

func (q *Queue) anyWaiting() bool { return q.waiting() > 0 }

func (q *Queue) start(g *group, request Request, now time.Time) *Slot {
	g.decay(now)
	g.running++
	q.running++
	if request.Upload {
		q.uploads++
	}
	if q.bucket.take(now) {
		q.pacedCalls++
	}
	return &Slot{queue: q, group: g, upload: request.Upload, started: now, among: q.running}
}

// dispatch gives free slots to waiting calls; the caller holds mutex.
func (q *Queue) dispatch() {
	for {
		next := q.next()
		if next == nil {
			q.awaitToken(q.now())
			return
		}
		next.list.Remove(next.element)
		q.start(q.groupOf(next.request.Group), next.request, q.now())
		next.granted <- nil
	}
}

// next returns the first runnable call of the group that has used the least
// for its weight.
func (q *Queue) next() *waiter {
	var best *waiter
	bestScore := math.Inf(1)
	now := q.now()
	for _, g := range q.groups {
		candidate := q.firstRunnable(g, now)
		if candidate == nil {
			continue
		}
		g.decay(now)
		score := g.usage / q.weightOf(g.name)
		if score < bestScore || (score == bestScore && g.name < best.request.Group) {
			best = candidate
			bestScore = score
		}
	}
	return best
}

// firstRunnable returns the waiting call of a group that goes first.
func (q *Queue) firstRunnable(g *group, now time.Time) *waiter {
	for _, waiting := range []*list.List{g.interactive, g.background} {
		var first *waiter
		for element := waiting.Front(); element != nil; element = element.Next() {
			candidate := element.Value.(*waiter)
			if q.mayRun(candidate.request, now) && (first == nil || candidate.request.before(&first.request, now)) {
				first = candidate
			}
		}
		if first != nil {
			return first
		}
	}
	return nil
}

// decay brings usage up to now: it forgets with usageHalfLife and adds the time
// of the running calls, in slot seconds.
func (g *group) decay(now time.Time) {
	elapsed := now.Sub(g.usageAt)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-float64(elapsed) / float64(usageHalfLife))
	g.usage = g.usage*factor + float64(g.running)*elapsed.Seconds()
	g.usageAt = now
}

// Release gives the slot back. shed tells that the back end refused the call
// for overload, which lowers the limit.
func (s *Slot) Release(shed bool) {
	s.once.Do(func() { s.queue.release(s, shed) })
}

func (q *Queue) release(slot *Slot, shed bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	slot.group.decay(now)
	slot.group.running--
	q.running--
	if slot.upload {
		q.uploads--
	} else {
		q.noteService(now.Sub(slot.started))
	}
	q.adapt(shed, max(slot.among, q.running+1), now)
	q.dispatch()
	if q.running == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}
