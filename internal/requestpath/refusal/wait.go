package refusal

import "time"

// Limits of the time in which a call may wait and start.
const (
	// headroomWaitFraction is the fraction, 0 to 1, of its headroom that a call may wait for a slot,
	// over all attempts. With a larger fraction, calls that are refused in the end are refused later.
	headroomWaitFraction = 0.5
	// deadlineWaitFraction is the fraction of the time from its arrival to its deadline that a call
	// may wait. It is below 0.5, so that the larger part is left to run.
	deadlineWaitFraction = 0.45
	// minWait is the time that a call may wait even if its headroom is shorter.
	minWait = 50 * time.Millisecond
	// minLaterWait is the time that a call may wait at an instance after it used up its wait at
	// earlier ones. It is below minWait.
	minLaterWait = 5 * time.Millisecond
	// minServiceTimeFraction is the fraction of the usual service time that must be left for a call
	// to start. With less, the call would hold a slot until its deadline.
	minServiceTimeFraction = 0.5
	// minStartTime is the minimum time that must be left for a call to start, so that a late call
	// is refused as not run before its deadline makes its outcome unknown. It is longer than a
	// refusal takes from one daemon to the other.
	minStartTime = 10 * time.Millisecond
)

// Timing holds the times that determine how long a call may wait at an instance.
type Timing struct {
	// Target is the response time up to which an answer has its full value; 0 if the route sets
	// none.
	Target time.Duration
	// ServiceTime is the mean service time of the route at the instance, without the wait for a slot;
	// 0 if the instance has not answered a call of the route.
	ServiceTime time.Duration
	// Elapsed is the time since the arrival of the call. ElapsedBeforeArrival is the time from its
	// caller's first attempt to its arrival.
	Elapsed, ElapsedBeforeArrival time.Duration
	// HasDeadline is true if the call has a deadline. TimeToDeadline is the time from its arrival to
	// the deadline.
	HasDeadline    bool
	TimeToDeadline time.Duration
}

// Bounds holds the limits on the wait of a call at an instance.
type Bounds struct {
	// Headroom is the target latency minus the service time.
	Headroom time.Duration
	// StartWithin is the part of Headroom that is left, counted from the caller's first attempt: the
	// time within which the call must start for its answer to be in time. It is negative once the
	// call is late.
	StartWithin time.Duration
	// MaxWait is the time after which the call is refused if it has no slot.
	MaxWait time.Duration
}

// BoundsOf returns the bounds of a call with a target latency. The total wait since the arrival of
// the call is limited by headroomWaitFraction and deadlineWaitFraction, but is at least minWait.
// MaxWait is that wait minus the time spent, and at least minLaterWait.
func BoundsOf(timing Timing) Bounds {
	headroom := timing.Target - timing.ServiceTime
	return Bounds{
		Headroom:    headroom,
		StartWithin: headroom - timing.Elapsed - timing.ElapsedBeforeArrival,
		MaxWait:     max(timing.wait(headroom)-timing.Elapsed, minLaterWait),
	}
}

// wait returns how long after its arrival a call may get a slot, over all attempts.
func (t Timing) wait(headroom time.Duration) time.Duration {
	limit := time.Duration(headroomWaitFraction * float64(headroom))
	if t.HasDeadline {
		limit = min(limit, time.Duration(deadlineWaitFraction*float64(t.TimeToDeadline)))
	}
	return max(limit, minWait)
}

// MinRemaining returns the minimum time that must be left until its deadline for a call to start at an
// instance, where serviceTime is the recent service time of such calls there.
func MinRemaining(serviceTime time.Duration) time.Duration {
	return max(minStartTime, time.Duration(minServiceTimeFraction*float64(serviceTime)))
}

// TooLate reports whether too little time is left to start a call. The call is then refused before
// it is sent to an instance.
func TooLate(remaining, serviceTime time.Duration) bool { return remaining < MinRemaining(serviceTime) }
