package admission

import "time"

// Constants of a pace.
const (
	// paceMargin is the part of the bound of a second that is left free: calls that are
	// admitted apart may arrive at the back end closer together. With a tenth left free, 15
	// arrived in one second of 14.75 allowed on a machine that had just lost power; 13.25 had
	// been admitted, so that some had been held up for 0.16 s. With 0.15 calls may be held
	// up by 0.2 s (14.65 arrive, by arithmetic).
	paceMargin = 0.15
	// leastRatePart is the part of the stated rate that is admitted in any case. Chosen, not
	// measured; where a bound of hardly more than one call a second leaves no room for a
	// burst of one and a rate, almost nothing is sent, but not nothing.
	leastRatePart = 0.15
	// usualBurst is the number of calls admitted at once after a pause, as far as the
	// bound leaves room. Chosen, not measured; a back end takes them one behind the other.
	usualBurst = 2
	// coldRateFactor is how many times its stated rate a cold back end is admitted where
	// the bound of a second leaves room. Factors of 1, 1.5, 2 and 2.5 gave a worth (0 to 1)
	// of 0.659, 0.688, 0.701, 0.717 on one full day with a loss of power and 0.741, 0.745,
	// 0.783, 0.790 on another; no instance crashed at 2.5, and those that got about 5 times
	// their rate did.
	coldRateFactor = 2.5
	// leastBurst lets a call go at all: a bucket that holds less than one token never
	// admits any.
	leastBurst = 1
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
// while it is cold, and must not get more than perSecond*overshoot+allowance calls in any
// second.
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

// holds reports whether the pace bounds what is admitted now.
func (p Pace) holds(now time.Time) bool {
	return p.PerSecond > 0 && (p.Until.IsZero() || now.Before(p.Until))
}

// PaceUse is how far a queue's pace is used.
type PaceUse struct {
	// PerSecond (calls a second) and Tokens (calls that may start now) are 0 while no pace
	// holds.
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

// awaitToken has the waiting calls dispatched when the next token is there or the pace ends;
// the caller holds mutex.
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
