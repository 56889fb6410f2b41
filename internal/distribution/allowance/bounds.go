package allowance

import (
	"math"
	"time"
)

// Limit is how many calls may go at all daemons together.
type Limit struct {
	// Rate is in calls a second, above 0; Burst is how many may go at once above that.
	Rate  float64
	Burst uint32
}

// Bounds say how exactly limits are kept: in no Window may more than
// (rate * Window + burst) * (1 + Overshoot) + Slack calls go.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	// Slack is in calls.
	Slack float64
}

// Enabled reports whether limits are kept at all.
func (b Bounds) Enabled() bool { return b.Window > 0 }

// What a window allows is shared out among the calls that owners lend to, those that go without
// an owner, and what makes owners inexact.
const (
	// validityShare is the part of the overshoot for credit that was lent before a window and is
	// spent in it.
	validityShare = 0.2
	// overlapShare is that for two owners that lend at the same time for a moment.
	overlapShare = 0.1
	// reserveShare is the part of the slack for what daemons spend that reach no owner.
	reserveShare = 0.3
	// sparedSlack is the part of the slack that nothing uses.
	sparedSlack = 0.1
	// headroomShare is the part of the slack by which the burst of a bucket is enlarged, so that calls of
	// a small account may come together.
	headroomShare = 0.3
	// sustainedShare is the part of the burst that the sustained bucket holds.
	sustainedShare = 0.1
)

// validity is how long credit may be spent, counted from the ask.
func (b Bounds) validity() time.Duration {
	return time.Duration(validityShare * b.Overshoot * float64(b.Window))
}

// allowed is what may go in a window.
func (b Bounds) allowed(limit Limit) float64 {
	return (limit.Rate*b.Window.Seconds()+float64(limit.Burst))*(1+b.Overshoot) + b.Slack
}

// lent is what owners may lend in a window.
func (b Bounds) lent(limit Limit) float64 {
	return b.allowed(limit) - (reserveShare+sparedSlack)*b.Slack
}

// rate is the rate at which a bucket of a capacity may fill: what it holds and what it gains in a
// window, lengthened by what makes owners inexact, is what owners may lend.
func (b Bounds) rate(limit Limit, capacity float64) float64 {
	inexact := 1 + (validityShare+overlapShare)*b.Overshoot
	return (b.lent(limit) - capacity) / (b.Window.Seconds() * inexact)
}

// reserve is the number of calls that all daemons together may let go in a window without an owner.
func (b Bounds) reserve() int { return int(math.Floor(reserveShare * b.Slack)) }
