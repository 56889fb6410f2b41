package admission

import (
	"sync"
	"time"
)

// Slot is the right to run one call at the back end. Release or Cancel gives it back; further calls
// of either do nothing. It is safe for concurrent use.
type Slot struct {
	queue   *Queue
	group   *group
	upload  bool
	started time.Time
	// concurrent is the number of running calls when the slot was given, including this one.
	concurrent int
	// position is the position of the call in the queue when it arrived.
	position position
	once     sync.Once
}

// start gives a request a free slot, and a token of the pace and of the rate limit if they are in force.
// The caller must hold mutex.
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
	q.rateLimit.take(now)
	return &Slot{queue: q, group: g, upload: request.Upload, started: now, concurrent: q.running}
}

// grantedSlot returns the slot of a waiter to which dispatch granted one. The service time counts
// from now, when the caller continues, and not from the grant.
func (q *Queue) grantedSlot(waiting *waiter) *Slot {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return &Slot{queue: q, group: q.groupOf(waiting.request), upload: waiting.request.Upload, started: q.now(), concurrent: q.running, position: waiting.position}
}

// HadFreeSlot reports whether fewer calls were running than the back end has slots when the slot was
// given, or whether the back end recently shed calls for another reason than load.
func (s *Slot) HadFreeSlot() bool {
	s.queue.mutex.Lock()
	defer s.queue.mutex.Unlock()
	return s.concurrent < s.queue.limit.slots || s.queue.now().Before(s.queue.limit.ignoreShedUntil)
}

// QueuePosition returns the number of calls that were ahead of this one when it arrived.
func (s *Slot) QueuePosition() int { return s.position.ahead }

// slotOutcome is the result of the call of a slot.
type slotOutcome int

const (
	// outcomeServed means that the back end ran the call, whatever its answer.
	outcomeServed slotOutcome = iota
	// outcomeShed means that the back end refused the call because of overload.
	outcomeShed
	// outcomeNotRun means that no back end ran the call, for another reason than overload.
	outcomeNotRun
)

// Release gives the slot back. shed is true if the back end refused the call because of overload,
// which lowers the limit.
func (s *Slot) Release(shed bool) {
	if shed {
		s.end(outcomeShed)
		return
	}
	s.end(outcomeServed)
}

// Cancel gives the slot back if the back end did not run the call, for another reason than
// overload.
func (s *Slot) Cancel() { s.end(outcomeNotRun) }

func (s *Slot) end(outcome slotOutcome) {
	s.once.Do(func() { s.queue.release(s, outcome) })
}

// release takes a slot back. Only a call that ran is used to estimate service times.
func (q *Queue) release(slot *Slot, outcome slotOutcome) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	slot.group.decay(now)
	slot.group.running--
	q.running--
	if slot.upload {
		q.uploads--
	}
	if outcome == outcomeServed && !slot.upload {
		q.recordServiceTime(now.Sub(slot.started))
	}
	if outcome != outcomeNotRun {
		q.limit.adapt(outcome == outcomeShed, max(slot.concurrent, q.running+1), q.running, now)
	}
	q.dispatch()
	if q.running == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}
