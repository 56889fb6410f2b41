package membership

import "time"

// SourceBackoff schedules the object API queries by which a daemon without a parent finds the
// readers of its zone. The first query is due after a random time up to a bound, because a lost
// parent may have had many children and a whole site may start at once. Each later wait is twice
// the previous one, up to another bound. It is not safe for concurrent use.
type SourceBackoff struct {
	rounds        int
	wait, maxWait time.Duration
	nextQuery     time.Time
}

// NewSourceBackoff returns the state of a daemon that has just started or lost its parent at now.
// first bounds the wait before the first query. The mean of the later waits starts at twice minWait
// and doubles up to maxWait. random is in [0, 1).
func NewSourceBackoff(first, minWait, maxWait time.Duration, now time.Time, random float64) SourceBackoff {
	return SourceBackoff{wait: minWait, maxWait: maxWait, nextQuery: now.Add(time.Duration(random * float64(first+1)))}
}

// Due reports whether a query is due at now.
func (b *SourceBackoff) Due(now time.Time) bool { return !now.Before(b.nextQuery) }

// Rounds returns the number of queries so far.
func (b *SourceBackoff) Rounds() int { return b.rounds }

// Queried records a query at now. The next one is due after 0.5 to 1.5 times the wait, depending on
// random, which is in [0, 1).
func (b *SourceBackoff) Queried(now time.Time, random float64) {
	b.rounds++
	b.wait = min(2*b.wait, b.maxWait)
	b.nextQuery = now.Add(b.wait/2 + time.Duration(random*float64(b.wait)))
}
