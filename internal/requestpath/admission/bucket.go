package admission

import (
	"math"
	"time"
)

// tokenRounding is what a sum of parts of a token may lack of a whole one, in tokens. It is far
// above the rounding error of such a sum in float64 (about 1e-15) and far below one token.
const tokenRounding = 1e-6

// bucket holds the tokens of a pace: each call that is admitted takes one. The caller passes
// the time in, which must not go back.
type bucket struct {
	pace   Pace
	tokens float64
	at     time.Time
}

// follow replaces the pace. One that begins starts without tokens, as if the last second were
// used up: a daemon that starts anew does not know what its predecessor admitted. One that
// goes on keeps what it has.
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

// wait returns how long the call behind so many others waits for its token; at most until the
// pace ends.
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
