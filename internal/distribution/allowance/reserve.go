package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// reserveSuffix makes the ranking for the reserve of an allowance differ from that of its owners.
const reserveSuffix = "/reserve"

// reserve limits the calls that this daemon permits while it reaches no owner. A fixed number of
// calls per window is divided among all daemons by rank.
type reserve struct {
	// grantedAt are the times of the calls granted within the window.
	grantedAt []time.Time
}

// take grants one call if this daemon's part of total calls per window is not used up.
func (r *reserve) take(now time.Time, total, rank, members int, window time.Duration) bool {
	recent := r.grantedAt[:0]
	for _, at := range r.grantedAt {
		if now.Sub(at) <= window {
			recent = append(recent, at)
		}
	}
	r.grantedAt = recent
	if len(r.grantedAt) >= reserveQuota(total, rank, members) {
		return false
	}
	r.grantedAt = append(r.grantedAt, now)
	return true
}

// reserveQuota returns how many of total calls the daemon with a rank, counted from 0, may permit.
func reserveQuota(total, rank, members int) int {
	quota := total / members
	if rank < total%members {
		quota++
	}
	return quota
}

// reserveRank returns the rank of this daemon for the reserve of an allowance.
func (r *ranking) reserveRank(allowance string) int {
	key := allowance + reserveSuffix
	own := rendezvous.Score(key, r.self)
	rank := 0
	for _, m := range r.ordered {
		if m.node != r.self && rendezvous.Score(key, m.node) > own {
			rank++
		}
	}
	return rank
}

// membersSettled reports whether no member was added for a window. A daemon that has just started
// does not know all members yet, and may have used its part before the restart.
func (r *ranking) membersSettled(now time.Time, window time.Duration) bool {
	return now.Sub(r.lastMemberAddedAt) > window
}
