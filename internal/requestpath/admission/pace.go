package admission

import (
	"math"
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Tunables of a pace.
const (
	// paceMargin is the part of the bound of a second that is left free: calls that
	// are admitted apart may arrive at the back end closer together. With a tenth, 15
	// arrived in a second of a users' day, of 14.75 allowed.
	paceMargin = 0.15
	// usualBurst is the number of calls admitted at once after a pause, as far as
	// the bound leaves room: a back end takes them one behind the other.
	usualBurst = 2
	// boldness is how many times the rate that a cold back end is said to bear it is
	// admitted where a bound of a second is known and leaves room. On the users' days no
	// back end fell over at 2.5 times its rate, and those that got about 5 times did.
	boldness = 2.5
	// leastBurst lets a call go at all.
	leastBurst = 1
	// tokenRounding is what a sum of parts of a token may lack of a whole one.
	tokenRounding = 1e-6
)

// Pace bounds how many calls a queue admits in a time, beside how many run at once:
// a back end that has just started breaks down under more.
type Pace struct {
	// PerSecond is the mean number of calls admitted in a second; 0 sets no bound.
	PerSecond float64
	// Burst is the number of calls that may be admitted at once after a pause.
	Burst float64
	// Until is when the pace ends; zero for a pace without an end.
	Until time.Time
}

// PaceWithin returns the pace of a back end that bears perSecond calls and must not get
// more than perSecond*overshoot+slack in any second. Where that bound is 0, or the back end
// is to be spared, the mean is perSecond. A bound of hardly more than one call a second cannot be kept but by sending
// almost none: then a tenth of perSecond goes.
func PaceWithin(perSecond, overshoot, slack float64, spared bool) Pace {
	bound := perSecond*overshoot + slack
	if bound <= 0 {
		return Pace{PerSecond: perSecond, Burst: usualBurst}
	}
	allowed := bound * (1 - paceMargin)
	burst := max(min(usualBurst, allowed-perSecond), leastBurst)
	least := perSecond * paceMargin
	if !spared {
		perSecond *= boldness
	}
	return Pace{PerSecond: min(perSecond, max(allowed-burst, least)), Burst: burst}
}

// holds reports whether the pace bounds what is admitted now.
func (p Pace) holds(now time.Time) bool {
	return p.PerSecond > 0 && (p.Until.IsZero() || now.Before(p.Until))
}

// bucket holds the tokens of a pace: each call that is admitted takes one.
type bucket struct {
	pace   Pace
	tokens float64
	at     time.Time
}

// follow replaces the pace. One that begins starts without tokens, as if the last second
// were used up; one that goes on keeps what it has.
func (b *bucket) follow(pace Pace, now time.Time) {
	b.refill(now)
	if !b.pace.holds(now) {
		b.tokens = 0
	}
	b.pace = pace
	b.tokens = min(b.tokens, pace.Burst)
	b.at = now
}

// refill adds the tokens that have become due.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.at)
	if elapsed <= 0 {
		return
	}
	b.tokens = min(b.tokens+elapsed.Seconds()*b.pace.PerSecond, b.pace.Burst)
	b.at = now
}

// allows reports whether a call may be admitted now.
func (b *bucket) allows(now time.Time) bool {
	if !b.pace.holds(now) {
		return true
	}
	b.refill(now)
	return b.tokens >= 1-tokenRounding
}

// take uses up a token; it reports whether the pace held.
func (b *bucket) take(now time.Time) bool {
	if !b.pace.holds(now) {
		return false
	}
	b.refill(now)
	b.tokens--
	return true
}

// wait returns how long the call behind so many others waits for its token.
func (b *bucket) wait(ahead int, now time.Time) time.Duration {
	if !b.pace.holds(now) {
		return 0
	}
	b.refill(now)
	missing := max(float64(ahead)+1-tokenRounding-b.tokens, 0)
	wait := secondsOf(missing / b.pace.PerSecond)
	if b.pace.Until.IsZero() {
		return wait
	}
	return min(wait, b.pace.Until.Sub(now))
}

// secondsOf converts seconds, rounded up; what is too long for a duration is the longest.
func secondsOf(seconds float64) time.Duration {
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// PaceUse is how far a queue's pace is used.
type PaceUse struct {
	// PerSecond is 0 while no pace holds, and Tokens then too.
	PerSecond, Tokens float64
	// Admitted are the calls that took a token, and Refused those for which the
	// pace left no time, since the queue began.
	Admitted, Refused int64
}

// SetPace bounds from now on how many calls are admitted in a time; the zero value ends
// the bound. A pace that begins admits nothing at once.
func (q *Queue) SetPace(pace Pace) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.bucket.follow(pace, q.now())
	q.dispatch()
}

// PaceUse returns how far the pace is used.
func (q *Queue) PaceUse() PaceUse {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	use := PaceUse{Admitted: q.pacedCalls, Refused: q.paceRefusals}
	now := q.now()
	if q.bucket.pace.holds(now) {
		q.bucket.refill(now)
		use.PerSecond = q.bucket.pace.PerSecond
		use.Tokens = max(q.bucket.tokens, 0)
	}
	return use
}

// awaitToken has the waiting calls looked at when the next token is there or the pace
// ends; the caller holds mutex.
func (q *Queue) awaitToken(now time.Time) {
	if q.tokenTimer != nil {
		q.tokenTimer.Stop()
		q.tokenTimer = nil
	}
	if !q.anyWaiting() || q.bucket.allows(now) {
		return
	}
	q.tokenTimer = time.AfterFunc(q.bucket.wait(0, now), q.tokenDue)
}

func (q *Queue) tokenDue() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.dispatch()
}

// paceWait estimates how long a call behind ahead others of its group waits for the
// pace, of which the group gets its part.
func (q *Queue) paceWait(g *group, ahead int, now time.Time) time.Duration {
	return q.bucket.wait(int(float64(ahead)/q.shareOf(g)), now)
}

// refusal returns the error for a call that cannot be served in its time: for the pace
// where that is what it would wait for, for load otherwise.
func (q *Queue) refusal(forLoad, forPace time.Duration, detail string) *result.Error {
	code := result.CallNotRunOverloaded
	if forPace > forLoad {
		code = result.CallNotRunCold
		detail = "the back end is cold: " + detail
		q.paceRefusals++
	}
	refusal := result.Errorf(code, "%s", detail)
	refusal.RetryAfter = max(forLoad, forPace, minRetryAfter)
	return refusal
}
