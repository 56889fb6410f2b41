package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Tunables of the estimates.
const (
	// serviceSmoothing weighs the newest answer in a mean service time.
	serviceSmoothing = 0.2
	// serviceMemory is how fast an instance's own mean gives way to that of all
	// instances, so that one that was slow is tried again.
	serviceMemory = 4 * time.Second
	// spreadSmoothing weighs the newest answer in the spread of service times,
	// and spreadMemory is how fast that is forgotten.
	spreadSmoothing = 0.05
	spreadMemory    = 30 * time.Second
	// usualSpread is the squared deviation of a service time, in parts of its
	// mean, where nothing was observed.
	usualSpread = 0.1
	// minSpread keeps an instance that seems to take always the same time from
	// being taken as certain.
	minSpread = 0.01
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

// serviceTime is what is known of the time that calls of one route take at an
// instance.
type serviceTime struct {
	// mean is in seconds, spread the squared deviation from it in parts of it.
	mean, spread mean
}

// add takes in the time of one call.
func (s *serviceTime) add(seconds float64, now time.Time) {
	if !s.mean.at.IsZero() && s.mean.value > 0 {
		deviation := seconds/s.mean.value - 1
		s.spread.addTo(usualSpread, deviation*deviation, spreadSmoothing, spreadMemory, now)
	}
	s.mean.add(seconds, serviceSmoothing, serviceMemory, now)
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

// condition is what is known of an instance for one choice.
type condition struct {
	// known is the time that a call of the route takes there, in seconds.
	known mean
	// spread is how much that time varies.
	spread mean
	// load is the calls there, running and waiting, and slots what runs at
	// once.
	load, slots float64
	failures    float64
	cold        bool
	elsewhere   locality.Tier
	// coldRate is how many calls a second the instance bears while it is cold, 0
	// where its pool does not say, and refusedFor how many seconds longer it takes
	// none, as it stated.
	coldRate   float64
	refusedFor float64
}

// condition returns what is known of the target for a route.
func (t *Target) condition(route string, elsewhere locality.Tier, slots, coldRate float64, now time.Time) condition {
	if stated := t.Endpoint.GetSlots(); stated > 0 {
		slots = float64(stated)
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	seen := condition{
		slots: slots, elsewhere: elsewhere, cold: now.Before(t.warmAt),
		failures: t.failure.faded(0, failureMemory, now), coldRate: coldRate,
		refusedFor: max(t.refusedUntil.Sub(now).Seconds(), 0),
	}
	if service, ok := t.services[route]; ok {
		seen.known = service.mean
		seen.spread = service.spread
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
// call takes typical elsewhere; service is the part of it that the instance works.
func (c condition) expected(typical float64, now time.Time) (total, service float64) {
	service = c.known.faded(typical, serviceMemory, now)
	if c.cold {
		service *= coldFactor
	}
	used := (c.load + 1) / c.slots
	if used > almostFull {
		service *= 1 + fullSlowdown*min((used-almostFull)/(1-almostFull), 1)
	}
	if c.cold && c.coldRate > 0 {
		return c.expectedCold(service), service
	}
	waiting := max(c.load+1-c.slots, 0)
	return service * (1 + waiting/c.slots), service
}

// expectedCold is that time at an instance that is admitted coldRate calls a second: it
// works on those of the time that a call takes, and the others wait for their turn.
func (c condition) expectedCold(service float64) (total float64) {
	bears := min(c.slots, max(1, c.coldRate*service))
	waiting := max(c.load+1-bears, 0)
	return service + max(waiting/c.coldRate, c.refusedFor)
}

// lateness is the chance that work of the given mean and spread takes longer than
// what is left, all in seconds. Service times are taken as log-normal: most are
// short and few are very long.
func lateness(service, spread, left float64) float64 {
	if left <= 0 {
		return 1
	}
	variance := math.Log1p(max(spread, minSpread))
	median := math.Log(service) - variance/2
	return math.Erfc((math.Log(left)-median)/math.Sqrt(2*variance)) / 2
}

// typicalSpread is the mean spread of the route over all candidates: one instance
// alone shows the long times of a route too seldom.
func typicalSpread(conditions []condition, now time.Time) float64 {
	sum, count := 0.0, 0
	for _, seen := range conditions {
		if !seen.spread.at.IsZero() {
			sum += seen.spread.faded(usualSpread, spreadMemory, now)
			count++
		}
	}
	if count == 0 {
		return usualSpread
	}
	return sum / float64(count)
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
