package membership

import "time"

// SourceBackoff says when a daemon without a parent may ask the object API who the readers of
// its zone are. The first query waits a random time up to a bound, because a lost parent may
// have had many children and a whole site may start at once; each later one waits twice as long
// as the one before, up to another bound. It is not safe for concurrent use.
type SourceBackoff struct {
	rounds        int
	wait, longest time.Duration
	next          time.Time
}

// NewSourceBackoff returns the state of a daemon that starts at now or was a child until
// now. first bounds the wait before the first query; shortest and longest bound the
// waits after that. random is in [0, 1).
func NewSourceBackoff(first, shortest, longest time.Duration, now time.Time, random float64) SourceBackoff {
	return SourceBackoff{wait: shortest, longest: longest, next: now.Add(time.Duration(random * float64(first+1)))}
}

// Due reports whether the object API may be queried at now.
func (b *SourceBackoff) Due(now time.Time) bool { return !now.Before(b.next) }

// Rounds returns the number of queries.
func (b *SourceBackoff) Rounds() int { return b.rounds }

// Queried records a query at now. The next one is due after half to one and a half times
// the wait; random, in [0, 1), says where between.
func (b *SourceBackoff) Queried(now time.Time, random float64) {
	b.rounds++
	b.wait = min(2*b.wait, b.longest)
	b.next = now.Add(b.wait/2 + time.Duration(random*float64(b.wait)))
}
