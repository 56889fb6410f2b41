package allowance

import (
	"math"
	"time"
)

// Limit is the maximum call rate of one allowance over all daemons.
type Limit struct {
	// Rate is in calls per second, above 0. Burst is the number of calls that may proceed at once
	// beyond the rate.
	Rate  float64
	Burst uint32
}

// Bounds states how exactly limits are kept: in any Window, at most (rate * Window + burst) * (1 +
// Overshoot) + Slack calls may proceed.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	// Slack is a number of calls.
	Slack float64
}

// Enabled reports whether a window is set, so that limits can be enforced.
func (b Bounds) Enabled() bool { return b.Window > 0 }

// The calls allowed in a window are divided between the credit that owners lend, the reserves of
// daemons that reach no owner, and the inaccuracy of the owners.
const (
	// validityOvershootShare is the part of the overshoot for credit that is lent before a window
	// and spent in it.
	validityOvershootShare = 0.2
	// overlapOvershootShare is the part of the overshoot for two owners that lend at the same time
	// for a short while.
	overlapOvershootShare = 0.1
	// reserveSlackShare is the part of the slack for the reserves of daemons that reach no owner.
	reserveSlackShare = 0.3
	// unusedSlackShare is the part of the slack that stays unused.
	unusedSlackShare = 0.1
	// burstHeadroomSlackShare is the part of the slack added to the burst of a bucket, so that a
	// small account can make several calls at once.
	burstHeadroomSlackShare = 0.3
	// sustainedBurstShare is the capacity of the sustained bucket as a fraction of the burst.
	sustainedBurstShare = 0.1
)

// creditValidity is how long credit may be spent, counted from the request.
func (b Bounds) creditValidity() time.Duration {
	return time.Duration(validityOvershootShare * b.Overshoot * float64(b.Window))
}

// maxCalls is the maximum number of calls in a window.
func (b Bounds) maxCalls(limit Limit) float64 {
	return (limit.Rate*b.Window.Seconds()+float64(limit.Burst))*(1+b.Overshoot) + b.Slack
}

// maxLent is the maximum number of credits that owners may lend in a window.
func (b Bounds) maxLent(limit Limit) float64 {
	return b.maxCalls(limit) - (reserveSlackShare+unusedSlackShare)*b.Slack
}

// fillRate is the rate in calls per second at which a bucket of the given capacity may fill.
// Capacity plus the gain in one window, extended by the inaccuracy of owners, equals maxLent.
func (b Bounds) fillRate(limit Limit, capacity float64) float64 {
	overlapFactor := 1 + (validityOvershootShare+overlapOvershootShare)*b.Overshoot
	return (b.maxLent(limit) - capacity) / (b.Window.Seconds() * overlapFactor)
}

// reserveCalls is the number of calls that all daemons together may permit in a window without an
// owner.
func (b Bounds) reserveCalls() int { return int(math.Floor(reserveSlackShare * b.Slack)) }
