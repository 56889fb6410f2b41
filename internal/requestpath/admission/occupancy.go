package admission

import "time"

// meanServiceSmoothing is the weight, 0 to 1, of the newest call in the mean service time. A value
// of 0.1 averages over about the last ten calls.
const meanServiceSmoothing = 0.1

// Occupancy is the current usage of a back end.
type Occupancy struct {
	// Running and Waiting are numbers of calls. Limit is the current concurrency limit.
	Running, Waiting, Limit int
	// MeanServiceTime is the smoothed time that a call holds its slot, excluding uploads.
	MeanServiceTime time.Duration
}

// Occupancy returns the current usage of the back end.
func (q *Queue) Occupancy() Occupancy {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return Occupancy{Running: q.running, Waiting: q.waiting, Limit: q.limit.current, MeanServiceTime: q.meanService}
}

// Load returns the number of running and waiting calls per slot.
func (q *Queue) Load() float32 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return float32(q.running+q.waiting) / float32(max(q.limit.slots, 1))
}

// Running returns the number of calls that hold a slot.
func (q *Queue) Running() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return q.running
}

// Idle returns a channel that is closed when no call is running.
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

// recordServiceTime includes the time that a call held its slot in the mean. The caller must hold
// mutex.
func (q *Queue) recordServiceTime(duration time.Duration) {
	if q.meanService == 0 {
		q.meanService = duration
		return
	}
	q.meanService += time.Duration(meanServiceSmoothing * float64(duration-q.meanService))
}
