package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/worktime"
)

// reportLifetime is how long a reported load counts; reports come with answers.
const reportLifetime = 2 * time.Second

// Target is one instance with what this daemon observed of it. Its methods are safe for
// concurrent use; times passed in are those of the balancer's clock.
type Target struct {
	Endpoint *lapisv1.Endpoint
	*observations
}

// observations are what this daemon saw of one incarnation of an instance. Its targets share them
// as its endpoint changes.
type observations struct {
	// slowStartAt is when the slow start began that this daemon assumes.
	slowStartAt time.Time
	inFlight    atomic.Int64

	// mutex protects everything below.
	mutex sync.Mutex
	// warmAt is until when the instance reported that it is cold.
	warmAt time.Time
	// refusedUntil is when the instance takes calls again, after it refused one because it is
	// cold.
	refusedUntil time.Time
	// failures counts those in a row that eject.
	failures     int
	ejectedUntil time.Time
	// reported is the load that the daemon beside the instance reported, in calls per slot,
	// and reportedOwn the calls of this daemon that it includes.
	reported    float64
	reportedOwn int64
	reportedAt  time.Time
	// services holds the service time of each route, and failure the share of the attempts
	// that failed.
	services map[string]*serviceTime
	failure  mean
	// work is what the instance states of how long work takes there.
	work worktime.Statements
}

// noteCold notes how much longer the instance reports that it is cold.
func (o *observations) noteCold(endpoint *lapisv1.Endpoint, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.warmAt = now.Add(time.Duration(endpoint.GetColdMillis()) * time.Millisecond)
}

// Begin counts a call that is handed to the instance.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End ends the count of Begin.
func (t *Target) End() { t.inFlight.Add(-1) }

// Reported notes the load, in calls per slot, that the instance's daemon reported.
func (t *Target) Reported(load float32, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reported = float64(load)
	t.reportedOwn = t.inFlight.Load()
	t.reportedAt = now
}

// Succeeded notes that the instance gave an answer of any status, which ends a row of failures.
func (t *Target) Succeeded() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures = 0
}

// Failed notes that the instance could not be reached or broke off, which may eject it
// (ejectionFor).
func (t *Target) Failed(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures++
	t.failure.addOver(0, 1, failureSmoothing, failureMemory, now)
	if ejection := ejectionFor(t.failures); ejection > 0 {
		t.ejectedUntil = now.Add(ejection)
	}
}

// RefusedCold notes that the instance refused a call because it is cold and takes none for
// retryAfter.
func (t *Target) RefusedCold(retryAfter time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusedUntil = now.Add(retryAfter)
}

// Answered notes an answer to a call of a route with the time that the instance took.
func (t *Target) Answered(route string, service time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.services[route]
	if !ok {
		if len(t.services) >= maxRoutes {
			t.services = nil
		}
		if t.services == nil {
			t.services = map[string]*serviceTime{}
		}
		known = &serviceTime{}
		t.services[route] = known
	}
	t.noteService(known, service.Seconds(), now)
	t.failure.addOver(0, 0, failureSmoothing, failureMemory, now)
}

// noteService counts a service time, and judges the instance's statements by it; the caller holds
// mutex.
func (o *observations) noteService(known *serviceTime, seconds float64, now time.Time) {
	if ratio, stated := o.work.RatioAt(now); stated {
		o.work.Judge(seconds, known.work.value*ratio, known.mean.value)
		known.addWork(seconds/ratio, now)
	}
	known.add(seconds, now)
}

// StatedWork notes that the instance stated, at the given time, that work takes percent of the usual
// time there; 0 stands for none. A statement that came with an answer is noted before that, with the
// same time.
func (t *Target) StatedWork(percent uint32, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.work.Add(percent, at)
}

// Work returns how long work takes at the instance now in percent of the usual time, as far as that is
// believed, and the age of the newest statement; 0 and 0 where there is none.
func (t *Target) Work(now time.Time) (percent float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at, ok := t.work.Newest()
	if !ok {
		return 0, 0
	}
	return worktime.AsUsual * t.work.RatioNow(now), now.Sub(at)
}

// AnsweredFailure notes that the instance answered a call with a failure of its own. Its time
// does not count as a service time, and the instance is not ejected but chosen less.
func (t *Target) AnsweredFailure(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failure.addOver(0, 1, failureSmoothing, failureMemory, now)
}

// Report returns the load reported last, in calls per slot, and its age; 0 and 0 before the first.
func (t *Target) Report(now time.Time) (load float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reportedAt.IsZero() {
		return 0, 0
	}
	return t.reported, now.Sub(t.reportedAt)
}

// RefusedFor returns how much longer the instance takes no calls after RefusedCold.
func (t *Target) RefusedFor(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.refusedUntil.Sub(now), 0)
}

// ServiceTime returns the mean time that a call of a route takes at the instance, 0 where no
// answer was seen.
func (t *Target) ServiceTime(route string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.services[route]
	if !ok {
		return 0
	}
	return time.Duration(known.mean.value * float64(time.Second))
}

// RecentServiceTime returns ServiceTime faded to 0 with the time since the last answer to a call
// of the route, so that a route that was slow is tried again.
func (t *Target) RecentServiceTime(route string, now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.services[route]
	if !ok {
		return 0
	}
	return time.Duration(known.mean.faded(0, serviceMemory, now) * float64(time.Second))
}

// failureShare returns the share of attempts that failed lately, 0 to 1.
func (t *Target) failureShare(now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failure.faded(0, failureMemory, now)
}

// cold reports whether the instance reported that it is still cold.
func (t *Target) cold(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.warmAt)
}

// ejected reports whether failures in a row keep the instance out.
func (t *Target) ejected(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.ejectedUntil)
}

// loadState returns what the score by load needs of the instance.
func (t *Target) loadState(slots float64, now time.Time) loadState {
	seen := loadState{slots: slots, inFlight: float64(t.inFlight.Load()), age: now.Sub(t.slowStartAt)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen.cold = now.Before(t.warmAt)
	if now.Sub(t.reportedAt) < reportLifetime {
		seen.reported = t.reported
	}
	return seen
}

// costState returns what the score by cost needs of the instance for a route, without tier and
// coldRate.
func (t *Target) costState(route string, slots float64, now time.Time) costState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := costState{
		slots: slots, load: float64(t.inFlight.Load()), cold: now.Before(t.warmAt),
		failures:   t.failure.faded(0, failureMemory, now),
		refusedFor: max(t.refusedUntil.Sub(now).Seconds(), 0),
	}
	if service, ok := t.services[route]; ok {
		seen.known, seen.spread = service.mean, service.spread
		if t.work.Believed() {
			// Only so can instances be compared: each may state how long work takes there against a
			// usual time of its own.
			seen.known = service.work.times(t.work.LastingRatio())
			seen.spread, seen.freed = service.workSpread, true
		}
	}
	seen.deviation = t.work.Deviation(now) - 1
	if age := now.Sub(t.reportedAt); age < reportLifetime {
		// The calls of other daemons count less the older the report is.
		others := max(t.reported*slots-float64(t.reportedOwn), 0)
		seen.load += others * (1 - float64(age)/float64(reportLifetime))
	}
	return seen
}
