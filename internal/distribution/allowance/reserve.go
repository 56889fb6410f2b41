package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// reserveSuffix ranks daemons for the reserve of an allowance apart from its owners.
const reserveSuffix = "/reserve"

// reserve is what this daemon lets go of an allowance while it reaches no owner. All daemons divide
// the same few calls among themselves: each takes those of its own rank.
type reserve struct {
	// spent are the times of the calls let go within the window.
	spent []time.Time
}

// take lets one call go if the daemon's part of total calls in a window allows it.
func (r *reserve) take(now time.Time, total, rank, members int, window time.Duration) bool {
	kept := r.spent[:0]
	for _, at := range r.spent {
		if now.Sub(at) <= window {
			kept = append(kept, at)
		}
	}
	r.spent = kept
	if len(r.spent) >= reservePart(total, rank, members) {
		return false
	}
	r.spent = append(r.spent, now)
	return true
}

// reservePart returns how many of total calls the daemon of a rank, from 0, may let go.
func reservePart(total, rank, members int) int {
	part := total / members
	if rank < total%members {
		part++
	}
	return part
}

// reserveRank returns the rank of this daemon for the reserve of an allowance.
func (r *ranking) reserveRank(allowance string) int {
	key := allowance + reserveSuffix
	own := rendezvous.Score(key, r.self)
	rank := 0
	for _, known := range r.ordered {
		if known.node != r.self && rendezvous.Score(key, known.node) > own {
			rank++
		}
	}
	return rank
}

// settled reports whether the members have been known for a window: a daemon that has just started
// knows too few of them, and may have spent its part before.
func (r *ranking) settled(now time.Time, window time.Duration) bool {
	return now.Sub(r.grownAt) > window
}
