package admission

import (
	"sync"
	"time"
)

// Slot is the right to have one call at the back end. Release or Cancel gives it back; further calls of
// either do nothing. It is safe for concurrent use.
type Slot struct {
	queue   *Queue
	group   *group
	upload  bool
	started time.Time
	// concurrent is the number of calls that ran when it was given, this one included.
	concurrent int
	// found is what went before its call.
	found place
	once  sync.Once
}

// start takes a free slot; the caller holds mutex.
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
	return &Slot{queue: q, group: g, upload: request.Upload, started: now, concurrent: q.running}
}

// slotFor returns the slot of a waiter that was granted one by dispatch. Its time begins now, when the
// caller goes on, and not with the grant.
func (q *Queue) slotFor(waiting *waiter) *Slot {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return &Slot{queue: q, group: q.groupOf(waiting.request), upload: waiting.request.Upload, started: q.now(), concurrent: q.running, found: waiting.place}
}

// HadRoom reports whether the back end had fewer calls than it works on at once when the slot was
// given, or has lately shed calls for another cause than load.
func (s *Slot) HadRoom() bool {
	s.queue.mutex.Lock()
	defer s.queue.mutex.Unlock()
	return s.concurrent < s.queue.limit.slots || s.queue.now().Before(s.queue.limit.unrelatedUntil)
}

// Ahead returns how many waiting calls went before this one as it came.
func (s *Slot) Ahead() int { return s.found.ahead }

// slotEnd is what became of the call of a slot.
type slotEnd int

const (
	// endServed: the back end ran it, whatever its answer.
	endServed slotEnd = iota
	// endShed: the back end refused it for overload.
	endShed
	// endNotRun: no back end ran it, and not for overload.
	endNotRun
)

// Release gives the slot back. shed tells that the back end refused the call
// for overload, which lowers the limit.
func (s *Slot) Release(shed bool) {
	if shed {
		s.end(endShed)
		return
	}
	s.end(endServed)
}

// Cancel gives the slot of a call back that the back end did not run, and did not refuse for overload.
func (s *Slot) Cancel() { s.end(endNotRun) }

func (s *Slot) end(how slotEnd) {
	s.once.Do(func() { s.queue.release(s, how) })
}

// release takes a slot back. Only a call that was run shows how long calls take.
func (q *Queue) release(slot *Slot, how slotEnd) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	now := q.now()
	slot.group.decay(now)
	slot.group.running--
	q.running--
	if slot.upload {
		q.uploads--
	}
	if how == endServed && !slot.upload {
		q.noteService(now.Sub(slot.started))
	}
	if how != endNotRun {
		q.limit.adapt(how == endShed, max(slot.concurrent, q.running+1), q.running, now)
	}
	q.dispatch()
	if q.running == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}
