package admission

import "time"

// serviceSmoothing is the weight, 0 to 1, of the newest call in the mean service time: at 0.1 it
// follows about the last ten calls.
const serviceSmoothing = 0.1

// Occupancy is how much of a back end is in use.
type Occupancy struct {
	// Running and Waiting are calls; Limit is how many may run at this time.
	Running, Waiting, Limit int
	// MeanService is the smoothed time that a call holds its slot, uploads left out.
	MeanService time.Duration
}

// Occupancy returns how much is in use.
func (q *Queue) Occupancy() Occupancy {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return Occupancy{Running: q.running, Waiting: q.waiting, Limit: q.limit.current, MeanService: q.meanService}
}

// Load returns the running and waiting calls per slot.
func (q *Queue) Load() float32 {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return float32(q.running+q.waiting) / float32(max(q.limit.slots, 1))
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

// noteService adds the time that a call held its slot to the mean; the caller holds mutex.
func (q *Queue) noteService(taken time.Duration) {
	if q.meanService == 0 {
		q.meanService = taken
		return
	}
	q.meanService += time.Duration(serviceSmoothing * float64(taken-q.meanService))
}
