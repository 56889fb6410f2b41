package refusal

import "time"

// Bounds of the time within which a call may wait and start.
const (
	// waitOfHeadroom is the part of its headroom that a call may wait for a slot, over all
	// attempts: a larger part refuses later what is refused in the end.
	waitOfHeadroom = 0.5
	// waitOfDeadline is the part of the time from its arrival to its deadline that a call may wait.
	// It is below 0.5, so that the larger part is left to run.
	waitOfDeadline = 0.45
	// leastWait is what a call may wait however short its headroom.
	leastWait = 50 * time.Millisecond
	// leastWaitLater is what a call may wait at an instance after it used up its wait at earlier
	// ones. It is below leastWait.
	leastWaitLater = 5 * time.Millisecond
	// startOfUsual is the part of a call's usual time at the instance that must be left for it to
	// start. With less it would hold a slot until its deadline.
	startOfUsual = 0.5
	// startMargin is the least time that must be left, so that a late call is refused as not run
	// before its deadline makes its outcome unknown. It is above the time that a refusal takes from
	// one daemon to the other.
	startMargin = 10 * time.Millisecond
)

// Timing is what decides how long a call may wait at an instance.
type Timing struct {
	// Target is the time inside which an answer is worth most; 0 where the route states none.
	Target time.Duration
	// ServiceTime is the mean time that calls of the route take at the instance, without the
	// wait for a slot; 0 where no answer was seen.
	ServiceTime time.Duration
	// Spent is the time since the call's arrival, SpentBefore that from its caller's first try
	// to its arrival.
	Spent, SpentBefore time.Duration
	// HasDeadline is true when the call has a deadline, Whole the time from its arrival to that.
	HasDeadline bool
	Whole       time.Duration
}

// Bounds is how long a call may wait at an instance.
type Bounds struct {
	// Headroom is the target latency less the service time.
	Headroom time.Duration
	// DueIn is what is left of Headroom since the caller's first try: the time in which the call
	// must start for its answer to be in time; negative once it is late.
	DueIn time.Duration
	// MaxWait is the time after which the call is refused if it has no slot.
	MaxWait time.Duration
}

// BoundsOf returns the bounds of a call with a target latency. MaxWait is at most waitOfHeadroom and
// waitOfDeadline allow and at least leastWait, from the call's arrival; less what was spent it is
// at least leastWaitLater.
func BoundsOf(timing Timing) Bounds {
	headroom := timing.Target - timing.ServiceTime
	return Bounds{
		Headroom: headroom,
		DueIn:    headroom - timing.Spent - timing.SpentBefore,
		MaxWait:  max(timing.wait(headroom)-timing.Spent, leastWaitLater),
	}
}

// wait returns how long after its arrival a call may get a slot, over all attempts.
func (t Timing) wait(headroom time.Duration) time.Duration {
	most := time.Duration(waitOfHeadroom * float64(headroom))
	if t.HasDeadline {
		most = min(most, time.Duration(waitOfDeadline*float64(t.Whole)))
	}
	return max(most, leastWait)
}

// LeastTime returns the time that must be left until its deadline for a call to start at an
// instance where such calls lately took usual.
func LeastTime(usual time.Duration) time.Duration {
	return max(startMargin, time.Duration(startOfUsual*float64(usual)))
}

// Hopeless reports whether too little time is left; the call is then refused before any instance
// has it.
func Hopeless(left, usual time.Duration) bool { return left < LeastTime(usual) }
