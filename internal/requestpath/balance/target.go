package balance

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/worktime"
)

// reportLifetime is the age up to which a reported load is used. Reports arrive with answers.
const reportLifetime = 2 * time.Second

// Target is one instance with this daemon's observations of it. Its methods are safe for concurrent
// use. Times passed in are from the clock of the balancer.
type Target struct {
	Endpoint *lapisv1.Endpoint
	*observations
	statement *statement
}

// observations holds what this daemon observed of one incarnation of an instance. They are shared
// by its successive targets while its endpoint changes.
type observations struct {
	// slowStartAt is the start of the slow start that this daemon assumes.
	slowStartAt time.Time
	inFlight    atomic.Int64

	// mutex protects everything below.
	mutex sync.Mutex
	// coldUntil is the time until which the instance reported that it is cold.
	coldUntil time.Time
	// refusedUntil is the time until which the instance rejects calls because it is cold, as stated by
	// its latest such rejection.
	refusedUntil time.Time
	// limitedUntil is the time until which the daemon of the instance rejects calls because of the rate
	// limit of the instance, as stated by the latest such rejection.
	limitedUntil time.Time
	// consecutiveFailures counts the failures since the last answer, for ejection.
	consecutiveFailures int
	ejectedUntil        time.Time
	// reportedLoad is the load in calls per slot that the daemon of the instance reported.
	// reportedInFlight is the number of calls of this daemon that it includes.
	reportedLoad     float64
	reportedInFlight int64
	reportedAt       time.Time
	// serviceTimes holds the service time estimates of each route. failureRate is the fraction of
	// attempts that failed.
	serviceTimes map[string]*serviceTime
	failureRate  ewma
	// work tracks the slowdown that the instance reports.
	work worktime.Tracker
}

// setColdUntil records how much longer the instance reports that it is cold.
func (o *observations) setColdUntil(endpoint *lapisv1.Endpoint, now time.Time) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.coldUntil = now.Add(time.Duration(endpoint.GetColdMillis()) * time.Millisecond)
}

// Begin counts a call that is sent to the instance.
func (t *Target) Begin() { t.inFlight.Add(1) }

// End reverts one Begin when the call has ended.
func (t *Target) End() { t.inFlight.Add(-1) }

// RecordLoad records the load, in calls per slot, that the daemon of the instance reported.
func (t *Target) RecordLoad(load float32, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.reportedLoad = float64(load)
	t.reportedInFlight = t.inFlight.Load()
	t.reportedAt = now
}

// RecordSuccess records that the instance answered with any status, which resets the count of
// consecutive failures.
func (t *Target) RecordSuccess() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.consecutiveFailures = 0
}

// RecordFailure records that the instance could not be reached or that its answer was interrupted.
// Several consecutive failures eject the instance (ejectionDuration).
func (t *Target) RecordFailure(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.consecutiveFailures++
	t.failureRate.addWithBase(0, 1, failureSmoothing, failureDecay, now)
	if ejection := ejectionDuration(t.consecutiveFailures); ejection > 0 {
		t.ejectedUntil = now.Add(ejection)
	}
}

// RecordColdRejection records that the instance refused a call because it is cold, and that it rejects
// further calls for retryAfter.
func (t *Target) RecordColdRejection(retryAfter time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.refusedUntil = now.Add(retryAfter)
}

// RecordLimitRejection records that the daemon of the instance refused a call because of the rate limit
// of the instance, and that it rejects further calls for retryAfter.
func (t *Target) RecordLimitRejection(retryAfter time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.limitedUntil = now.Add(retryAfter)
}

// RecordAnswer records the service time of an answered call of a route.
func (t *Target) RecordAnswer(route string, service time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	estimate, ok := t.serviceTimes[route]
	if !ok {
		if len(t.serviceTimes) >= maxRoutes {
			t.serviceTimes = nil
		}
		if t.serviceTimes == nil {
			t.serviceTimes = map[string]*serviceTime{}
		}
		estimate = &serviceTime{}
		t.serviceTimes[route] = estimate
	}
	t.recordServiceTime(estimate, service.Seconds(), now)
	t.failureRate.addWithBase(0, 0, failureSmoothing, failureDecay, now)
}

// recordServiceTime records a service time and uses it to validate the slowdown that the instance
// reports. The caller must hold mutex.
func (o *observations) recordServiceTime(estimate *serviceTime, seconds float64, now time.Time) {
	if ratio, reported := o.work.ReportedRatio(now); reported {
		o.work.RecordServiceTime(seconds, estimate.work.value*ratio, estimate.mean.value)
		estimate.addWork(seconds/ratio, now)
	}
	estimate.add(seconds, now)
}

// RecordSlowdown records the slowdown that the instance reported at the given time, as a percentage of
// the usual service time; 0 means no report. A report that arrived with an answer must be recorded
// before the answer, with the same time.
func (t *Target) RecordSlowdown(percent uint32, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.work.Add(percent, at)
}

// Slowdown returns the current service time at the instance as a percentage of the usual one, as far as
// its reports are trusted, and the age of the newest report. Without a report it returns 0 and 0.
func (t *Target) Slowdown(now time.Time) (percent float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	at, ok := t.work.LatestTime()
	if !ok {
		return 0, 0
	}
	return worktime.UsualPercent * t.work.CurrentRatio(now), now.Sub(at)
}

// RecordErrorAnswer records that the instance answered a call with an error. Its time does not count
// as a service time. The instance is not ejected, but its cost rises.
func (t *Target) RecordErrorAnswer(now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failureRate.addWithBase(0, 1, failureSmoothing, failureDecay, now)
}

// ReportedLoad returns the most recently reported load, in calls per slot, and its age; 0 and 0 before
// the first report.
func (t *Target) ReportedLoad(now time.Time) (load float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reportedAt.IsZero() {
		return 0, 0
	}
	return t.reportedLoad, now.Sub(t.reportedAt)
}

// ColdRejectionRemaining returns how much longer the instance rejects calls after RecordColdRejection.
func (t *Target) ColdRejectionRemaining(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.refusedUntil.Sub(now), 0)
}

// ServiceTime returns the mean service time of a route at the instance; 0 if it has not answered a
// call of the route.
func (t *Target) ServiceTime(route string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	estimate, ok := t.serviceTimes[route]
	if !ok {
		return 0
	}
	return time.Duration(estimate.mean.value * float64(time.Second))
}

// RecentServiceTime returns ServiceTime decayed to 0 with the time since the last answer to a call
// of the route, so that a route that was slow is tried again.
func (t *Target) RecentServiceTime(route string, now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	estimate, ok := t.serviceTimes[route]
	if !ok {
		return 0
	}
	return time.Duration(estimate.mean.decayed(0, serviceTimeDecay, now) * float64(time.Second))
}

// recentFailureRate returns the fraction of recent attempts that failed, 0 to 1.
func (t *Target) recentFailureRate(now time.Time) float64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.failureRate.decayed(0, failureDecay, now)
}

// cold reports whether the instance reported that it is still cold.
func (t *Target) cold(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.coldUntil)
}

// ejected reports whether outlier detection currently ejects the instance.
func (t *Target) ejected(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return now.Before(t.ejectedUntil)
}

// loadState returns the input of the load score for the instance.
func (t *Target) loadState(slots float64, now time.Time) loadState {
	state := loadState{slots: slots, inFlight: float64(t.inFlight.Load()), slowStartAge: now.Sub(t.slowStartAt)}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state.cold = now.Before(t.coldUntil)
	if now.Sub(t.reportedAt) < reportLifetime {
		state.reportedLoad = t.reportedLoad
	}
	return state
}

// costState returns the input of the cost score for a route at the instance. The caller sets tier
// and coldRate.
func (t *Target) costState(route string, slots float64, now time.Time) costState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	state := costState{
		slots: slots, load: float64(t.inFlight.Load()), cold: now.Before(t.coldUntil),
		failureRate:           t.failureRate.decayed(0, failureDecay, now),
		coldRejectionSeconds:  max(t.refusedUntil.Sub(now).Seconds(), 0),
		limitRejectionSeconds: max(t.limitedUntil.Sub(now).Seconds(), 0),
	}
	if limit, _ := t.statement.load(); limit.Stated {
		state.limited, state.statedRate = true, limit.PerSecond
	}
	if service, ok := t.serviceTimes[route]; ok {
		state.serviceTime, state.scv = service.mean, service.scv
		if t.work.Trusted() {
			// Only normalized times can be compared between instances, because each instance may
			// report its slowdown relative to a different usual time.
			state.serviceTime = service.work.scaled(t.work.BaselineRatio())
			state.scv, state.normalized = service.workSCV, true
		}
	}
	state.transientSlowdown = t.work.TransientRatio(now) - 1
	if age := now.Sub(t.reportedAt); age < reportLifetime {
		// The weight of the calls of other daemons decreases with the age of the report.
		others := max(t.reportedLoad*slots-float64(t.reportedInFlight), 0)
		state.load += others * (1 - float64(age)/float64(reportLifetime))
	}
	return state
}
