package balance

import "time"

// What was observed of an instance, read for a choice and for the lines of decisions.

// Report returns the load that the instance's daemon reported last, in calls per
// slot, and how old that is; 0 and 0 before the first.
func (t *Target) Report(now time.Time) (load float64, age time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.reportedAt.IsZero() {
		return 0, 0
	}
	return t.reported, now.Sub(t.reportedAt)
}

// RefusedFor returns how much longer the instance takes no calls, after it refused one because
// it is cold; 0 once that is over.
func (t *Target) RefusedFor(now time.Time) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return max(t.refusedUntil.Sub(now), 0)
}

// ServiceTime returns the time that a call of a route takes at the instance, as far
// as that is known; 0 where it is not.
func (t *Target) ServiceTime(route string) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.services[route]
	if !ok {
		return 0
	}
	return time.Duration(known.mean.value * float64(time.Second))
}

// RecentServiceTime returns that time as far as it still counts: it fades to 0 while the
// instance gives no answer to a call of the route, so that a route that was slow is tried
// again.
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

// costState returns what the score by cost needs of the instance for a route, but for its
// distance and its pool's rate for cold ones.
func (t *Target) costState(route string, slots float64, now time.Time) costState {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := costState{
		slots: slots, load: float64(t.inFlight.Load()), cold: now.Before(t.warmAt),
		failures:   t.failure.faded(0, failureMemory, now),
		refusedFor: max(t.refusedUntil.Sub(now).Seconds(), 0),
	}
	if service, ok := t.services[route]; ok {
		seen.known = service.mean
		seen.spread = service.spread
	}
	if age := now.Sub(t.reportedAt); age < reportLifetime {
		// What others had there then counts less the older the report is.
		others := max(t.reported*slots-float64(t.reportedOwn), 0)
		seen.load += others * (1 - float64(age)/float64(reportLifetime))
	}
	return seen
}
