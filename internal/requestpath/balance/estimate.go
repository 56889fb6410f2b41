package balance

import (
	"math"
	"time"
)

// How fast estimates follow what is seen and fade.
const (
	// serviceSmoothing is the weight, 0 to 1, of the newest answer in a mean service time.
	serviceSmoothing = 0.2
	// serviceMemory is the time constant in which an instance's own mean gives way to that of
	// all instances, so that one that was slow is tried again.
	serviceMemory = 4 * time.Second
	// spreadSmoothing is the weight of the newest answer in the spread of service times, and
	// spreadMemory the time constant in which that is forgotten. The spread needs more answers
	// than the mean: slower than serviceSmoothing and serviceMemory.
	spreadSmoothing = 0.05
	spreadMemory    = 30 * time.Second
	// workSmoothing and workMemory are the same for service times divided by what the instance
	// stated: what is left hardly changes.
	workSmoothing = 0.05
	workMemory    = 30 * time.Second
	// usualSpread is the squared deviation of a service time, in parts of its mean, where
	// nothing was observed.
	usualSpread = 0.1
	// minSpread keeps an instance that seems to take always the same time from counting as
	// certain; it also keeps lateness from dividing by 0. Below usualSpread.
	minSpread = 0.01
	// failureSmoothing is the weight of the newest attempt in the share of failures, and
	// failureMemory the time constant in which that share is forgotten.
	failureSmoothing = 0.15
	failureMemory    = 3 * time.Second
	// maxRoutes bounds the routes whose service times are remembered for one instance; above the
	// routes of a service.
	maxRoutes = 64
)

// mean is a smoothed value with the time of its newest observation; its zero value is
// without any.
type mean struct {
	value float64
	at    time.Time
}

// add counts an observation with weight. What the mean has lost by age goes to the observation.
func (m *mean) add(value, weight float64, memory time.Duration, now time.Time) {
	*m = mean{value: value + (1-weight)*(m.faded(value, memory, now)-value), at: now}
}

// addOver counts an observation with weight. What the mean has lost by age goes to base.
func (m *mean) addOver(base, value, weight float64, memory time.Duration, now time.Time) {
	before := m.faded(base, memory, now)
	*m = mean{value: before + weight*(value-before), at: now}
}

// faded returns the value weighed by what is left of it at its age, and other for the rest.
func (m mean) faded(other float64, memory time.Duration, now time.Time) float64 {
	if m.at.IsZero() {
		return other
	}
	kept := math.Exp(-float64(now.Sub(m.at)) / float64(memory))
	return kept*m.value + (1-kept)*other
}

// times returns the mean multiplied by a factor.
func (m mean) times(factor float64) mean { return mean{value: m.value * factor, at: m.at} }

// serviceTime is what is known of the time that calls of one route take at an instance.
type serviceTime struct {
	// mean is in seconds, spread the squared deviation from it in parts of it.
	mean, spread mean
	// work and workSpread are the same of the service times divided by what the instance stated
	// (package worktime).
	work, workSpread mean
}

// add counts the time of one call.
func (s *serviceTime) add(seconds float64, now time.Time) {
	s.spread.addDeviation(seconds, s.mean, now)
	s.mean.add(seconds, serviceSmoothing, serviceMemory, now)
}

// addWork counts the time of one call divided by what the instance stated. That is the same at all
// instances but for what none states, so that it may follow more slowly.
func (s *serviceTime) addWork(seconds float64, now time.Time) {
	s.workSpread.addDeviation(seconds, s.work, now)
	s.work.add(seconds, workSmoothing, workMemory, now)
}

// addDeviation counts in a spread how far a time is from the mean so far.
func (m *mean) addDeviation(seconds float64, from mean, now time.Time) {
	if from.at.IsZero() || from.value <= 0 {
		return
	}
	deviation := seconds/from.value - 1
	m.addOver(usualSpread, deviation*deviation, spreadSmoothing, spreadMemory, now)
}
