package balance

import (
	"math"
	"time"
)

// A nearly full instance works more slowly.
const (
	// almostFull is the load per slot, 0 to 1, from which an instance counts as slower.
	almostFull = 0.8
	// fullSlowdown is how much longer a call takes, in parts of its time, at the last slot.
	fullSlowdown = 0.3
)

// expected returns the time until an answer of one more call, when a call takes typical
// elsewhere; service is the part of it that the instance works. All are in seconds.
func (c *costState) expected(typical float64, now time.Time) (total, service float64) {
	memory := serviceMemory
	if c.freed {
		memory = workMemory
	}
	service = c.known.faded(typical, memory, now) * (1 + c.deviation)
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

// expectedCold returns that time at an instance that is admitted coldRate calls a second: it
// runs as many as are admitted in the time of one, and the others wait in its daemon's queue. That
// daemon may admit up to 2.5 times the rate within its bound (docs/design/0019), so that the time
// is rather too long.
func (c *costState) expectedCold(service float64) (total float64) {
	capacity := min(c.slots, max(1, c.coldRate*service))
	waiting := max(c.load+1-capacity, 0)
	return service + max(waiting/c.coldRate, c.refusedFor)
}

// lateness returns the chance, 0 to 1, that work of the given mean and spread takes longer
// than what is left, in seconds. Service times are taken as log-normal: most are short and
// few are very long.
func lateness(service, spread, left float64) float64 {
	if left <= 0 {
		return 1
	}
	variance := math.Log1p(max(spread, minSpread))
	median := math.Log(service) - variance/2
	return math.Erfc((math.Log(left)-median)/math.Sqrt(2*variance)) / 2
}

// typicalSpread returns the mean spread of the route over all candidates: one instance
// alone shows the long times of a route too seldom.
func typicalSpread(candidates []costState, now time.Time) float64 {
	sum, count := 0.0, 0
	for index := range candidates {
		seen := &candidates[index]
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

// typicalService returns the mean of the time that the route mostly takes at all candidates, in
// seconds; ok is false when nothing is known of it.
func typicalService(candidates []costState) (seconds float64, ok bool) {
	sum, count := 0.0, 0
	for index := range candidates {
		seen := &candidates[index]
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
