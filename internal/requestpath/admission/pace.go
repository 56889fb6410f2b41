package admission

import (
	"math"
	"time"
)

// Parameters of a pace.
const (
	// paceMargin is the fraction, 0 to 1, of the limit per second that is left unused: calls that are
	// admitted at intervals may arrive closer together at the back end if a daemon gets no processor
	// time. A value of 0.15 allows a delay of 0.2 s.
	paceMargin = 0.15
	// minRateFraction is the fraction, 0 to 1, of the stated rate that is always admitted. A limit of
	// little more than one call per second leaves no room for both a burst of one call and a rate;
	// the rate is then very low, and this minimum keeps it above 0.
	minRateFraction = 0.15
	// defaultBurst is the number of calls admitted at once after a pause, if the limit leaves room.
	// The back end handles them one after the other.
	defaultBurst = 2
	// coldRateFactor is multiplied by the stated rate of a cold back end to get the admitted rate, if
	// the limit per second leaves room, because back ends state less than they can handle.
	coldRateFactor = 2.5
	// minBurst is the minimum capacity of the bucket: with less than one token it would never admit
	// a call.
	minBurst = 1
	// tokenTolerance is the amount, in tokens, by which a sum of fractions of a token may fall
	// short of a whole one. It is far above the rounding error of such a sum in float64 (about
	// 1e-15) and far below one token.
	tokenTolerance = 1e-6
)

// Pace limits the rate at which a queue admits calls, in addition to the limit of concurrent calls:
// a back end in slow start crashes under a higher rate. It is a token bucket, and each admitted
// call takes one token.
type Pace struct {
	// PerSecond is the mean number of calls admitted per second; 0 means no limit.
	PerSecond float64
	// Burst is the capacity of the bucket in calls: the number that may be admitted at once after a
	// pause.
	Burst float64
	// Until is the time at which the pace ends; zero for a pace without an end.
	Until time.Time
}

// PaceWithin returns the pace for a back end that states a capacity of perSecond calls per second
// while it is cold, and that must not receive more than perSecond*overshoot+allowance calls in any
// second.
//
// In any second at most Burst plus PerSecond calls are admitted, so both are chosen to stay below
// that limit minus paceMargin. Without a limit (overshoot and allowance are 0) and if cautious is
// true, the mean rate is the stated rate. Otherwise it is coldRateFactor times the stated rate, as
// far as the limit leaves room. cautious is true after a crash of a cold instance, and if the
// stated rate is a guess.
func PaceWithin(perSecond, overshoot, allowance float64, cautious bool) Pace {
	bound := perSecond*overshoot + allowance
	if bound <= 0 {
		return Pace{PerSecond: perSecond, Burst: defaultBurst}
	}
	allowed := bound * (1 - paceMargin)
	burst := max(min(defaultBurst, allowed-perSecond), minBurst)
	minRate := perSecond * minRateFraction
	if !cautious {
		perSecond *= coldRateFactor
	}
	return Pace{PerSecond: min(perSecond, max(allowed-burst, minRate)), Burst: burst}
}

// inForce reports whether the pace limits the admitted calls now.
func (p Pace) inForce(now time.Time) bool {
	return p.PerSecond > 0 && (p.Until.IsZero() || now.Before(p.Until))
}

// PaceUse is the usage of the pace of a queue.
type PaceUse struct {
	// PerSecond (calls per second) and Tokens (calls that may start now) are 0 while no pace is in
	// force.
	PerSecond, Tokens float64
	// Admitted is the number of calls that took a token, and Refused the number of calls for which
	// the pace left no time, since the queue was created.
	Admitted, Refused int64
}

// SetPace limits the rate of admitted calls from now on. The zero value removes the limit. A new
// pace admits nothing at first; replacing a pace in force keeps its tokens.
func (q *Queue) SetPace(pace Pace) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bucket.setPace(pace, q.now())
	q.dispatch()
}

// PaceUse returns the usage of the queue's pace.
func (q *Queue) PaceUse() PaceUse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	use := PaceUse{Admitted: q.pacedCalls, Refused: q.paceRefusals}
	now := q.now()
	if q.bucket.pace.inForce(now) {
		q.bucket.refill(now)
		use.PerSecond = q.bucket.pace.PerSecond
		use.Tokens = max(q.bucket.tokens, 0)
	}
	return use
}

// scheduleDispatch starts a timer that dispatches the waiting calls when the next tokens are available
// or the pace ends. The caller must hold mutex.
func (q *Queue) scheduleDispatch(now time.Time) {
	if q.tokenTimer != nil {
		q.tokenTimer.Stop()
		q.tokenTimer = nil
	}
	if q.waiting == 0 || (q.bucket.allows(now) && q.rateLimit.allows(now)) {
		return
	}
	q.tokenTimer = time.AfterFunc(max(q.bucket.wait(0, now), q.rateLimit.wait(0, now)), q.onTokenTimer)
}

func (q *Queue) onTokenTimer() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch()
}

// bucket is the token bucket of a pace; each admitted call takes one token. The times passed in
// must not decrease.
type bucket struct {
	pace       Pace
	tokens     float64
	refilledAt time.Time
}

// setPace replaces the pace. A new pace starts without tokens, as if the last second were used up,
// because a restarted daemon does not know what it admitted before. If a pace is in force, its
// tokens are kept.
func (b *bucket) setPace(pace Pace, now time.Time) {
	b.refill(now)
	if !b.pace.inForce(now) {
		b.tokens = 0
	}
	b.pace = pace
	b.tokens = min(b.tokens, pace.Burst)
	b.refilledAt = now
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.pace.PerSecond, b.pace.Burst)
	b.refilledAt = now
}

// allows reports whether a call may be admitted now.
func (b *bucket) allows(now time.Time) bool {
	if !b.pace.inForce(now) {
		return true
	}
	b.refill(now)
	return b.tokens >= 1-tokenTolerance
}

// take removes a token and reports whether a pace is in force.
func (b *bucket) take(now time.Time) bool {
	if !b.pace.inForce(now) {
		return false
	}
	b.refill(now)
	b.tokens--
	return true
}

// wait returns how long a call waits for its token with the given number of calls ahead, at most
// until the pace ends.
func (b *bucket) wait(ahead int, now time.Time) time.Duration {
	if !b.pace.inForce(now) {
		return 0
	}
	b.refill(now)
	missing := max(float64(ahead)+1-tokenTolerance-b.tokens, 0)
	wait := durationOf(missing / b.pace.PerSecond)
	if b.pace.Until.IsZero() {
		return wait
	}
	return min(wait, b.pace.Until.Sub(now))
}

// durationOf converts seconds to a duration, rounded up and capped at the maximum duration.
func durationOf(seconds float64) time.Duration {
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
