package balance

import (
	"math"
	"time"
)

// Tunables of the estimates.
const (
	// serviceSmoothing weighs the newest answer in a mean service time.
	serviceSmoothing = 0.2
	// serviceMemory is how fast an instance's own mean gives way to that of all
	// instances, so that one that was slow is tried again.
	serviceMemory = 4 * time.Second
	// failureSmoothing weighs the newest attempt in the share of failures, and
	// failureMemory is how fast that share is forgotten.
	failureSmoothing = 0.15
	failureMemory    = 3 * time.Second
	// maxRoutes bounds the routes whose service times are remembered for one
	// instance.
	maxRoutes = 64
	// almostFull is the load per slot from which an instance counts as slower,
	// and fullSlowdown how much at its last slot.
	almostFull   = 0.8
	fullSlowdown = 0.3
)

// mean is a smoothed value with its time.
type mean struct {
	value float64
	at    time.Time
}

// add takes in an observation: it counts with weight, and with more where the
// mean is old.
func (m *mean) add(value, weight float64, memory time.Duration, now time.Time) {
	*m = mean{value: value + (1-weight)*(m.faded(value, memory, now)-value), at: now}
}

// addTo takes in an observation of a value that is base unless observed lately.
func (m *mean) addTo(base, value, weight float64, memory time.Duration, now time.Time) {
	before := m.faded(base, memory, now)
	*m = mean{value: before + weight*(value-before), at: now}
}

// faded returns the value as far as it still counts, and other for the rest.
func (m mean) faded(other float64, memory time.Duration, now time.Time) float64 {
	if m.at.IsZero() {
		return other
	}
	kept := math.Exp(-float64(now.Sub(m.at)) / float64(memory))
	return kept*m.value + (1-kept)*other
}

// Answered notes an answer to a call of a route: the time that the instance
// took, and the bytes that went both ways.
func (t *Target) Answered(route string, service time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known, ok := t.services[route]
	if !ok {
		if len(t.services) >= maxRoutes {
			t.services = nil
		}
		if t.services == nil {
			t.services = map[string]*mean{}
		}
		known = &mean{}
		t.services[route] = known
	}
	known.add(service.Seconds(), serviceSmoothing, serviceMemory, now)
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

// condition is what is known of an instance for one choice.
type condition struct {
	// known is the time that a call of the route takes there, in seconds.
	known mean
	// load is the calls there, running and waiting, and slots what runs at
	// once.
	load, slots float64
	failures    float64
	cold        bool
	elsewhere   bool
}

// condition returns what is known of the target for a route.
func (t *Target) condition(route, zone string, slots float64, now time.Time) condition {
	if stated := t.Endpoint.GetSlots(); stated > 0 {
		slots = float64(stated)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := condition{
		slots: slots, elsewhere: t.Endpoint.GetZone() != zone, cold: now.Before(t.warmAt),
		failures: t.failure.faded(0, failureMemory, now),
	}
	if service, ok := t.services[route]; ok {
		seen.known = *service
	}
	own := float64(t.inFlight.Load())
	seen.load = own
	if age := now.Sub(t.reportedAt); age < reportLifetime {
		// What others had there then counts less the older the report is.
		others := max(t.reported*slots-float64(t.reportedOwn), 0)
		seen.load += others * (1 - float64(age)/float64(reportLifetime))
	}
	return seen
}

// expected is the time until an answer, in seconds, of one more call, when a
// call takes typical elsewhere.
func (c condition) expected(typical float64, now time.Time) float64 {
	service := c.known.faded(typical, serviceMemory, now)
	if c.cold {
		service *= coldFactor
	}
	used := (c.load + 1) / c.slots
	if used > almostFull {
		service *= 1 + fullSlowdown*min((used-almostFull)/(1-almostFull), 1)
	}
	waiting := max(c.load+1-c.slots, 0)
	return service * (1 + waiting/c.slots)
}

// typicalService is the mean of what is known of the route at all candidates;
// ok is false when nothing is.
func typicalService(conditions []condition) (seconds float64, ok bool) {
	sum, count := 0.0, 0
	for _, seen := range conditions {
		if !seen.known.at.IsZero() {
			sum += seen.known.value
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
