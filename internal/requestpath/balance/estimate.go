package balance

import (
	"math"
	"time"
)

// Smoothing weights and decay time constants of the estimates.
const (
	// serviceTimeSmoothing is the weight, 0 to 1, of the newest answer in a mean service time.
	serviceTimeSmoothing = 0.2
	// serviceTimeDecay is the time constant with which the mean of one instance decays to the mean
	// of all instances, so that an instance that was slow is tried again.
	serviceTimeDecay = 4 * time.Second
	// scvSmoothing is the weight of the newest answer in the squared coefficient of variation (SCV)
	// of service times, and scvDecay the time constant of its decay. An SCV estimate needs more
	// samples than a mean, so it adapts more slowly than serviceTimeSmoothing and serviceTimeDecay.
	scvSmoothing = 0.05
	scvDecay     = 30 * time.Second
	// workSmoothing and workDecay are the same parameters for service times divided by the slowdown
	// that the instance reports. That quotient hardly changes over time.
	workSmoothing = 0.05
	workDecay     = 30 * time.Second
	// defaultSCV is the squared coefficient of variation that is assumed without observations.
	defaultSCV = 0.1
	// minSCV is the lower bound of the squared coefficient of variation, so that an instance with
	// constant service times is not treated as deterministic. It also prevents a division by zero
	// in lateness. It must be below defaultSCV.
	minSCV = 0.01
	// failureSmoothing is the weight of the newest attempt in the failure rate, and failureDecay
	// the time constant of its decay.
	failureSmoothing = 0.15
	failureDecay     = 3 * time.Second
	// maxRoutes bounds the number of routes whose service times are kept for one instance. It is
	// above the number of routes of a service.
	maxRoutes = 64
)

// ewma is an exponentially weighted moving average with the time of its newest observation. The
// zero value holds no observation.
type ewma struct {
	value float64
	at    time.Time
}

// add includes an observation with the given weight. The weight that the average lost by aging goes
// to the observation.
func (m *ewma) add(value, weight float64, timeConstant time.Duration, now time.Time) {
	*m = ewma{value: value + (1-weight)*(m.decayed(value, timeConstant, now)-value), at: now}
}

// addWithBase includes an observation with the given weight. The weight that the average lost by
// aging goes to base.
func (m *ewma) addWithBase(base, value, weight float64, timeConstant time.Duration, now time.Time) {
	before := m.decayed(base, timeConstant, now)
	*m = ewma{value: before + weight*(value-before), at: now}
}

// decayed returns the weighted sum of the average and fallback. The weight of the average decays
// exponentially with its age.
func (m ewma) decayed(fallback float64, timeConstant time.Duration, now time.Time) float64 {
	if m.at.IsZero() {
		return fallback
	}
	kept := math.Exp(-float64(now.Sub(m.at)) / float64(timeConstant))
	return kept*m.value + (1-kept)*fallback
}

// scaled returns the average multiplied by a factor.
func (m ewma) scaled(factor float64) ewma { return ewma{value: m.value * factor, at: m.at} }

// serviceTime holds the service time estimates of one route at one instance.
type serviceTime struct {
	// mean is the mean service time in seconds, and scv the squared coefficient of variation.
	mean, scv ewma
	// work and workSCV are the same estimates for service times divided by the slowdown that the
	// instance reports (package worktime).
	work, workSCV ewma
}

// add records the service time of one call.
func (s *serviceTime) add(seconds float64, now time.Time) {
	s.scv.addSquaredDeviation(seconds, s.mean, now)
	s.mean.add(seconds, serviceTimeSmoothing, serviceTimeDecay, now)
}

// addWork records the service time of one call divided by the reported slowdown. Except for
// influences that no instance reports, the quotient is the same at all instances, so its average
// may adapt more slowly.
func (s *serviceTime) addWork(seconds float64, now time.Time) {
	s.workSCV.addSquaredDeviation(seconds, s.work, now)
	s.work.add(seconds, workSmoothing, workDecay, now)
}

// addSquaredDeviation records the squared relative deviation of a service time from the mean so
// far.
func (m *ewma) addSquaredDeviation(seconds float64, from ewma, now time.Time) {
	if from.at.IsZero() || from.value <= 0 {
		return
	}
	deviation := seconds/from.value - 1
	m.addWithBase(defaultSCV, deviation*deviation, scvSmoothing, scvDecay, now)
}
