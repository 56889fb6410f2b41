package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Slow start has two forms. An instance may report with each heartbeat how long it stays cold
// (announced as cold_millis). During that time it counts as slower by coldFactor, and as a
// rate-limited queue if its pool sets a rate (expected.go). For any other new instance this daemon
// assumes slowStartWindow. That form affects the load score only, because the cost score uses
// service times instead.
const (
	// slowStartWindow is the time during which the share of calls of a new instance that reports no
	// slots grows to its full value.
	slowStartWindow = 10 * time.Second
	// slowStartMinShare is the share of calls, 0 to 1, at the start of the window. It is above 0,
	// or the load score of a new instance would be infinite.
	slowStartMinShare = 0.1
	// coldFactor is the factor by which the load or the service time of an instance is multiplied
	// while it reports that it is cold. It is above 1, so that warm instances are preferred.
	coldFactor = 2
)

// slowStartTime returns the time at which the slow start of a new incarnation began. If this daemon
// knows a previous incarnation, the slow start time of that one is kept. Instances that are present
// when this daemon starts count as warm, because most of them were running before. Instances that
// report their slots also count as warm, because they report how long they stay cold.
func slowStartTime(previous *Target, endpoint *lapisv1.Endpoint, created, now time.Time) time.Time {
	switch {
	case previous != nil:
		return previous.slowStartAt
	case now.Sub(created) < slowStartWindow, endpoint.GetSlots() > 0:
		return now.Add(-slowStartWindow)
	default:
		return now
	}
}

// slowStartShare returns the share of calls, slowStartMinShare to 1, of an instance of the given
// age.
func slowStartShare(age time.Duration) float64 {
	if age >= slowStartWindow {
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(age)/float64(slowStartWindow)
}
