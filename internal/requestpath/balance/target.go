package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// reportLifetime is how long a reported load counts; reports come with answers. Chosen, not
// measured.
const reportLifetime = 2 * time.Second

// Target is one instance with what this daemon observed of it. Its methods are safe for
// concurrent use; times passed in are those of the balancer's clock.
type Target struct {
	Endpoint *lapisv1.Endpoint
	*observations
}

// observations are what this daemon saw of one incarnation of an instance; they are shared by
// the targets that stand for it as its endpoint changes.
type observations struct {
	// slowStartAt is when the slow start began that this daemon assumes.
	slowStartAt time.Time
	inFlight    atomic.Int64

	// mutex protects everything below.
	mutex sync.Mutex
	// warmAt is until when the instance reported that it is cold.
	warmAt time.Time
	// refusedUntil is when the instance takes calls again that refused one because it is
	// cold.
	refusedUntil time.Time
	// failures counts those in a row that eject.
	failures     int
	ejectedUntil time.Time
	// reported is the load that the daemon beside the instance reported, in calls
	// per slot, and reportedOwn the calls from here that it includes.
	reported    float64
	reportedOwn int64
	reportedAt  time.Time
	// services holds the service time of each route, and failure the share of the attempts
	// that failed.
	services map[string]*serviceTime
	failure  mean
}

// noteCold notes how much longer the instance reports that it is cold.
func (o *observations) noteCold(endpoint *lapisv1.Endpoint, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.warmAt = now.Add(time.Duration(endpoint.GetColdMillis()) * time.Millisecond)
}

// Begin notes that a call is handed to the instance.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End notes that a call begun with Begin is over.
func (t *Target) End() { t.inFlight.Add(-1) }

// Reported notes the load, in calls per slot, that the instance's daemon reported.
func (t *Target) Reported(load float32, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reported = float64(load)
	t.reportedOwn = t.inFlight.Load()
	t.reportedAt = now
}

// Succeeded notes that the instance gave an answer, of whatever status; it ends a row of
// failures.
func (t *Target) Succeeded() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures = 0
}

// Failed notes that the instance could not be reached or broke off; failures in a row eject
// it for a time.
func (t *Target) Failed(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures++
	t.failure.addTo(0, 1, failureSmoothing, failureMemory, now)
	if ejection := ejectionFor(t.failures); ejection > 0 {
		t.ejectedUntil = now.Add(ejection)
	}
}

// RefusedCold notes that the instance refused a call because it is cold, and takes none
// for so long.
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
	known.add(service.Seconds(), now)
	t.failure.addTo(0, 0, failureSmoothing, failureMemory, now)
}

// AnsweredFailure notes that the instance answered a call with a failure of its
// own. Its time says nothing about how fast the instance is, and an instance
// that answers is not ejected; it is chosen less.
func (t *Target) AnsweredFailure(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failure.addTo(0, 1, failureSmoothing, failureMemory, now)
}
