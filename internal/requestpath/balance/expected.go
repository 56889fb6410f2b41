package balance

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// Slowdown of an instance that is nearly at capacity.
const (
	// slowdownUtilization is the load in calls per slot above which calls are assumed to slow down. It
	// is below 1.
	slowdownUtilization = 0.8
	// maxUtilizationSlowdown is the relative increase of the service time when the last slot is
	// taken.
	maxUtilizationSlowdown = 0.3
)

// expected returns the expected response time of one more call, where routeServiceTime is the mean
// service time of the route over all candidates. service is the part of the total that the instance
// spends on the call. All times are in seconds.
func (c *costState) expected(routeServiceTime float64, now time.Time) (total, service float64) {
	timeConstant := serviceTimeDecay
	if c.normalized {
		timeConstant = workDecay
	}
	service = c.serviceTime.decayed(routeServiceTime, timeConstant, now) * (1 + c.transientSlowdown)
	if c.cold {
		service *= coldFactor
	}
	utilization := (c.load + 1) / c.slots
	if utilization > slowdownUtilization {
		service *= 1 + maxUtilizationSlowdown*min((utilization-slowdownUtilization)/(1-slowdownUtilization), 1)
	}
	return max(c.expectedUnlimited(service), c.expectedLimited(service)), service
}

// expectedUnlimited returns the expected response time without the rate limit of the instance.
func (c *costState) expectedUnlimited(service float64) (total float64) {
	if c.cold && c.coldRate > 0 {
		return c.expectedCold(service)
	}
	waiting := max(c.load+1-c.slots, 0)
	return service * (1 + waiting/c.slots)
}

// expectedLimited returns the expected response time at an instance with a rate limit. Calls beyond the
// limit do not wait there, but a call that its daemon rejects loses the time of its attempt; the time
// until the limit leaves a token for it stands for that and spreads the calls by the limits.
func (c *costState) expectedLimited(service float64) (total float64) {
	wait := c.limitRejectionSeconds
	if c.limited {
		wait = max(wait, c.waitAtRate(service, max(c.statedRate, callapi.MinRateLimit)))
	}
	return service + wait
}

// waitAtRate returns the expected wait at an instance that is admitted the given number of calls per
// second. It runs as many calls concurrently as are admitted during one service time; the others wait.
func (c *costState) waitAtRate(service, perSecond float64) float64 {
	capacity := min(c.slots, max(1, perSecond*service))
	return max(c.load+1-capacity, 0) / perSecond
}

// expectedCold returns the expected response time at an instance that is admitted coldRate calls
// per second. Its daemon may admit up to 2.5 times the rate within its bound (docs/design/0019), so the
// result tends to be too long.
func (c *costState) expectedCold(service float64) (total float64) {
	return service + max(c.waitAtRate(service, c.coldRate), c.coldRejectionSeconds)
}

// lateness returns the probability, 0 to 1, that a service time of the given mean and squared
// coefficient of variation exceeds the remaining time in seconds. Service times are modeled as
// log-normal: most are short and a few are very long.
func lateness(service, scv, remaining float64) float64 {
	if remaining <= 0 {
		return 1
	}
	variance := math.Log1p(max(scv, minSCV))
	median := math.Log(service) - variance/2
	return math.Erfc((math.Log(remaining)-median)/math.Sqrt(2*variance)) / 2
}

// meanSCV returns the mean squared coefficient of variation of the route over all candidates. One
// instance alone sees the long service times of a route too rarely.
func meanSCV(candidates []costState, now time.Time) float64 {
	sum, count := 0.0, 0
	for index := range candidates {
		state := &candidates[index]
		if !state.scv.at.IsZero() {
			sum += state.scv.decayed(defaultSCV, scvDecay, now)
			count++
		}
	}
	if count == 0 {
		return defaultSCV
	}
	return sum / float64(count)
}

// meanServiceTime returns the mean over all candidates of the baseline service time of the route,
// in seconds. ok is false if no candidate has an estimate.
func meanServiceTime(candidates []costState) (seconds float64, ok bool) {
	sum, count := 0.0, 0
	for index := range candidates {
		state := &candidates[index]
		if !state.serviceTime.at.IsZero() {
			sum += state.serviceTime.value
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	return sum / float64(count), true
}
