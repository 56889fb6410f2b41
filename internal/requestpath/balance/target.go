package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Target is one instance with what this daemon observed of it.
type Target struct {
	Endpoint *lapisv1.Endpoint
	*observations
}

// observations are what this daemon saw of one instance; they are shared by
// the targets that stand for it as its endpoint changes.
type observations struct {
	firstSeen time.Time
	// warmAt is when the instance stops being slow from its start, as it
	// stated; zero where it does not say.
	warmAt time.Time
	// refusedUntil is when the instance takes calls again that refused one because it
	// is cold.
	refusedUntil time.Time
	inFlight     atomic.Int64

	// mutex protects everything below.
	mutex        sync.Mutex
	failures     int
	ejectedUntil time.Time
	// reported is the load that the daemon beside the instance stated, in calls
	// per slot, and reportedOwn the calls from here that it includes.
	reported    float64
	reportedOwn int64
	reportedAt  time.Time
	// services holds the service time of each route, in seconds, and failure
	// the share of the attempts that failed.
	services map[string]*serviceTime
	failure  mean
}

// noteCold takes in how much longer the instance says that it stays slow.
func (o *observations) noteCold(endpoint *lapisv1.Endpoint, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.warmAt = now.Add(time.Duration(endpoint.GetColdMillis()) * time.Millisecond)
}

func (t *Target) failureShare(now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failure.faded(0, failureMemory, now)
}

// cold reports whether the instance said that it is still cold.
func (t *Target) cold(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.warmAt)
}

// score is the expected load per slot after one more call.
func (t *Target) score(slots float64, now time.Time) float64 {
	if stated := t.Endpoint.GetSlots(); stated > 0 {
		slots = float64(stated)
	}
	load := float64(t.inFlight.Load()+1) / slots
	t.mutex.Lock()
	if now.Before(t.warmAt) {
		load *= coldFactor
	}
	if now.Sub(t.reportedAt) < reportLifetime {
		load += reportWeight * t.reported
	}
	t.mutex.Unlock()
	age := now.Sub(t.firstSeen)
	if age < slowStart {
		load /= coldWeight + (1-coldWeight)*float64(age)/float64(slowStart)
	}
	return load
}

func (t *Target) ejected(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.ejectedUntil)
}

// Begin notes that a call is handed to the instance.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End notes that a call begun with Begin is over.
func (t *Target) End() { t.inFlight.Add(-1) }

// Reported notes the load that the instance's daemon stated.
func (t *Target) Reported(load float32, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reported = float64(load)
	t.reportedOwn = t.inFlight.Load()
	t.reportedAt = now
}

// Report returns the load that the instance's daemon stated last, in calls per
// slot, and how old that is; 0 and 0 before the first.
func (t *Target) Report(now time.Time) (load float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reportedAt.IsZero() {
		return 0, 0
	}
	return t.reported, now.Sub(t.reportedAt)
}

// Succeeded notes that the instance gave an answer.
func (t *Target) Succeeded() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures = 0
}

// Failed notes that the instance could not be reached or broke off; repeated
// failures eject it for a time.
func (t *Target) Failed(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failures++
	t.failure.addTo(0, 1, failureSmoothing, failureMemory, now)
	if t.failures < ejectAfter {
		return
	}
	pause := min(ejectBase<<min(t.failures-ejectAfter, 10), ejectMax)
	t.ejectedUntil = now.Add(pause)
}

// RefusedCold notes that the instance refused a call because it is cold, and takes none
// for so long.
func (t *Target) RefusedCold(retryAfter time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusedUntil = now.Add(retryAfter)
}
