package admission

import (
	"math"
	"time"
)

// Constants of a pace.
const (
	// paceMargin is the part of the bound of a second that is left free: calls that are
	// admitted apart may arrive at the back end closer together, where a daemon gets no processor.
	// With 0.15 calls may be held up by 0.2 s.
	paceMargin = 0.15
	// leastRatePart is the part of the stated rate that is admitted in any case:
	// where a bound of hardly more than one call a second leaves no room for a
	// burst of one and a rate, almost nothing is sent, but not nothing.
	leastRatePart = 0.15
	// usualBurst is the number of calls admitted at once after a pause, as far as the
	// bound leaves room: a back end takes them one behind the other.
	usualBurst = 2
	// coldRateFactor is how many times its stated rate a cold back end is admitted where
	// the bound of a second leaves room: back ends state less than what they bear.
	coldRateFactor = 2.5
	// leastBurst lets a call go at all: a bucket that holds less than one token never admits any.
	leastBurst = 1
	// tokenRounding is what a sum of parts of a token may lack of a whole one, in tokens. It is far
	// above the rounding error of such a sum in float64 (about 1e-15) and far below one token.
	tokenRounding = 1e-6
)

// Pace bounds how many calls a queue admits in a time, beside how many run at once: a back end
// in slow start crashes under more. It is a token bucket: each admitted call takes a token.
type Pace struct {
	// PerSecond is the mean number of calls admitted in a second; 0 sets no bound.
	PerSecond float64
	// Burst is the bucket's capacity in calls: what may be admitted at once after a pause.
	Burst float64
	// Until is when the pace ends; zero for a pace without an end.
	Until time.Time
}

// PaceWithin returns the pace of a back end that states a capacity of perSecond calls a second
// while it is cold, and must not get more than perSecond*overshoot+allowance calls in any second.
//
// In any second at most Burst and PerSecond calls are admitted together, so both are chosen to
// stay under the bound less paceMargin. Without a bound (overshoot and allowance 0), and while
// the rule is to be cautious, the mean is the stated rate; else it is coldRateFactor times that,
// as far as there is room. cautious is true after a crash of a cold instance, and where the
// stated rate is a guess.
func PaceWithin(perSecond, overshoot, allowance float64, cautious bool) Pace {
	bound := perSecond*overshoot + allowance
	if bound <= 0 {
		return Pace{PerSecond: perSecond, Burst: usualBurst}
	}
	allowed := bound * (1 - paceMargin)
	burst := max(min(usualBurst, allowed-perSecond), leastBurst)
	least := perSecond * leastRatePart
	if !cautious {
		perSecond *= coldRateFactor
	}
	return Pace{PerSecond: min(perSecond, max(allowed-burst, least)), Burst: burst}
}

func (p Pace) inForce(now time.Time) bool {
	return p.PerSecond > 0 && (p.Until.IsZero() || now.Before(p.Until))
}

// PaceUse is how far a queue's pace is used.
type PaceUse struct {
	// PerSecond (calls a second) and Tokens (calls that may start now) are 0 while no pace is in
	// force.
	PerSecond, Tokens float64
	// Admitted are the calls that took a token, and Refused those for which the pace left no
	// time, since the queue began.
	Admitted, Refused int64
}

// SetPace bounds from now on how many calls are admitted in a time; the zero value ends the
// bound. A pace that begins admits nothing at once; one that goes on keeps its tokens.
func (q *Queue) SetPace(pace Pace) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bucket.setPace(pace, q.now())
	q.dispatch()
}

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

// awaitToken has the waiting calls dispatched when the next token is there or the pace ends;
// the caller holds mutex.
func (q *Queue) awaitToken(now time.Time) {
	if q.tokenTimer != nil {
		q.tokenTimer.Stop()
		q.tokenTimer = nil
	}
	if q.waiting == 0 || q.bucket.allows(now) {
		return
	}
	q.tokenTimer = time.AfterFunc(q.bucket.wait(0, now), q.tokenDue)
}

func (q *Queue) tokenDue() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch()
}

// bucket holds the tokens of a pace: each admitted call takes one. The times passed in must not go
// back.
type bucket struct {
	pace       Pace
	tokens     float64
	refilledAt time.Time
}

// setPace replaces the pace. One that begins starts without tokens, as if the last second were
// used up: a daemon that starts anew does not know what its predecessor admitted. One that
// goes on keeps what it has.
func (b *bucket) setPace(pace Pace, now time.Time) {
	b.refill(now)
	if !b.pace.inForce(now) {
		b.tokens = 0
	}
	b.pace = pace
	b.tokens = min(b.tokens, pace.Burst)
	b.refilledAt = now
}

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
	return b.tokens >= 1-tokenRounding
}

// take uses up a token; it reports whether the pace is in force.
func (b *bucket) take(now time.Time) bool {
	if !b.pace.inForce(now) {
		return false
	}
	b.refill(now)
	b.tokens--
	return true
}

// wait returns how long the call behind so many others waits for its token; at most until the
// pace ends.
func (b *bucket) wait(ahead int, now time.Time) time.Duration {
	if !b.pace.inForce(now) {
		return 0
	}
	b.refill(now)
	missing := max(float64(ahead)+1-tokenRounding-b.tokens, 0)
	wait := durationOf(missing / b.pace.PerSecond)
	if b.pace.Until.IsZero() {
		return wait
	}
	return min(wait, b.pace.Until.Sub(now))
}

// durationOf converts seconds, rounded up and capped at the longest duration.
func durationOf(seconds float64) time.Duration {
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}
