package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Slow start has two forms. An instance may report how long it stays cold (with each heartbeat,
// announced as cold_millis): it counts as slower by coldFactor until then, and as a queue of
// limited rate where its pool sets one (expected.go). Of any other instance that is new this
// daemon assumes slowStartWindow; that form counts in the score by load only, because the score by
// cost knows service times instead.
const (
	// slowStartWindow is how long a new instance that reports no slots gets a growing part of the
	// calls.
	slowStartWindow = 10 * time.Second
	// slowStartFloor is the part of the calls, 0 to 1, that such an instance gets at first. It is
	// above 0, or the load of a new instance would be infinite.
	slowStartFloor = 0.1
	// coldFactor is how many times as loaded, or as slow, an instance counts while it reports that
	// it is cold. It is above 1, so that warm ones go first.
	coldFactor = 2
)

// slowStartOf returns when the slow start of a new incarnation began. It keeps the time of the
// earlier incarnation (known, or nil). Instances that are there when this daemon starts count as
// warm, since most were there before; so do those that report their slots, which also report how
// long they are cold.
func slowStartOf(known *Target, endpoint *lapisv1.Endpoint, created, now time.Time) time.Time {
	switch {
	case known != nil:
		return known.slowStartAt
	case now.Sub(created) < slowStartWindow, endpoint.GetSlots() > 0:
		return now.Add(-slowStartWindow)
	default:
		return now
	}
}

// slowStartShare returns the part of the calls, slowStartFloor to 1, that an instance gets at
// an age.
func slowStartShare(age time.Duration) float64 {
	if age >= slowStartWindow {
		return 1
	}
	return slowStartFloor + (1-slowStartFloor)*float64(age)/float64(slowStartWindow)
}
