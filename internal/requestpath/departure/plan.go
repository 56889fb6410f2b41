package departure

import (
	"math"
	"time"
)

// Times of the reads of the stored departures.
const (
	// firstReadMax is the latest time after its start at which a daemon reads the departures, unless
	// another daemon has told it: a store that answers at the start may refuse soon after, and the
	// heartbeats of an instance that left may arrive by then.
	firstReadMax = 800 * time.Millisecond
	// awaitedReadMax is the latest time after a heartbeat that waits for the departures. It must leave
	// time for the links between daemons that start together, some tens of milliseconds, so that the
	// first one that reads tells the others, and most of StoreTimeout for the answer.
	awaitedReadMax = 100 * time.Millisecond
	// steepness shapes the random times of the reads: the density grows exponentially, so that about
	// one of 64 daemons draws an early time (Nonnenmacher and Biersack, "Optimal multicast feedback",
	// 1998). It is the logarithm of their number, plus 1.
	steepness = 5.2
)

// plan decides when a daemon reads the departures. It does not read a clock. Create it with newPlan.
//
// Inputs: the start of the process, whether the departures are known, heartbeats that wait for them,
// the failures of earlier reads, and requests of other daemons.
type plan struct {
	random func() float64
	// readAt is the time of the next read for this daemon itself.
	readAt  time.Time
	retries Backoff
	// requestedAt is the time of a request by another daemon, zero for none.
	requestedAt time.Time
}

func newPlan(startedAt time.Time, random func() float64) plan {
	p := plan{random: random}
	p.readAt = startedAt.Add(p.lateBiased(firstReadMax))
	return p
}

// lateBiased returns a random time up to latest, with a density that grows exponentially.
func (p *plan) lateBiased(latest time.Duration) time.Duration {
	position := math.Log(1+p.random()*(math.Exp(steepness)-1)) / steepness
	return time.Duration(position * float64(latest))
}

// next returns the time of the next read; due is false if none is planned. known states that the
// departures are known, and startedAt is the start of the process.
func (p *plan) next(known bool, startedAt time.Time) (at time.Time, due bool) {
	switch {
	case !p.requestedAt.IsZero():
		return p.requestedAt, true
	case known, !p.readAt.Before(startedAt.Add(TTL)):
		return time.Time{}, false
	default:
		return p.readAt, true
	}
}

// awaited records that a heartbeat waits for the departures.
func (p *plan) awaited(now time.Time) {
	if at := now.Add(p.lateBiased(awaitedReadMax)); at.Before(p.readAt) {
		p.readAt = at
	}
}

// requested records that another daemon requests a read.
func (p *plan) requested(now time.Time) { p.requestedAt = now }

// succeeded records a read that was answered.
func (p *plan) succeeded() { p.requestedAt = time.Time{} }

// failed records a read that failed at now.
func (p *plan) failed(now time.Time) {
	p.requestedAt = time.Time{}
	p.readAt = now.Add(p.retries.Next(p.random()))
}
