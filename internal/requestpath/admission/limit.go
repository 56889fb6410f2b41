package admission

import "time"

// Tunables of the adaptive limit.
const (
	// increaseAfter is the number of calls done without shedding after which
	// a lowered limit grows by one.
	increaseAfter = 20
	// fewRunning is the part of the slots up to which a back end cannot be full: what
	// it sheds then says nothing about its capacity, and neither does what it sheds
	// within unrelatedFor after that.
	fewRunning   = 0.25
	unrelatedFor = 5 * time.Second
	// serviceSmoothing weighs the newest call in the mean service time.
	serviceSmoothing = 0.1
)

// noteService takes the time that a call held its slot into the mean.
func (q *Queue) noteService(taken time.Duration) {
	if q.meanService == 0 {
		q.meanService = taken
		return
	}
	q.meanService += time.Duration(serviceSmoothing * float64(taken-q.meanService))
}

// adapt lowers the limit by one at each shed call, which ran among so many, and raises
// it by one after increaseAfter calls without. A back end that sheds although it has
// little to do does so for another reason, which fewer calls at once would not end.
func (q *Queue) adapt(shed bool, among int, now time.Time) {
	switch {
	case shed && float64(among) <= fewRunning*float64(q.limits.Slots):
		q.unrelatedUntil = now.Add(unrelatedFor)
		q.limit = q.limits.Slots
	case shed && now.Before(q.unrelatedUntil):
	case shed:
		q.limit = max(1, min(q.limit, q.running+1)-1)
		q.successes = 0
	default:
		q.successes++
	}
	if q.successes >= increaseAfter && q.limit < q.limits.Slots {
		q.limit++
		q.successes = 0
	}
}
