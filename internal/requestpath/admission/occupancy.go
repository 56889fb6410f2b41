package admission

import "time"

// Occupancy is how much of a back end is in use.
type Occupancy struct {
	// Running and Waiting are calls; Limit is how many may run at this time.
	Running, Waiting, Limit int
	// MeanService is the smoothed time that a call holds its slot.
	MeanService time.Duration
}

// Occupancy returns how much is in use.
func (q *Queue) Occupancy() Occupancy {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return Occupancy{Running: q.running, Waiting: q.waiting(), Limit: q.limit, MeanService: q.meanService}
}

// waiting counts the waiting calls; the caller holds mutex.
func (q *Queue) waiting() int {
	count := 0
	for _, g := range q.groups {
		count += g.interactive.Len() + g.background.Len()
	}
	return count
}

// Load returns the running and waiting calls per slot.
func (q *Queue) Load() float32 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return float32(q.running+q.waiting()) / float32(max(q.limits.Slots, 1))
}

// Running returns the calls that hold a slot.
func (q *Queue) Running() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running
}

// Idle returns a channel that is closed once no call runs.
func (q *Queue) Idle() <-chan struct{} {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.running == 0 {
		done := make(chan struct{})
		close(done)
		return done
	}
	if q.idle == nil {
		q.idle = make(chan struct{})
	}
	return q.idle
}
