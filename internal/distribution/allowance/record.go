package allowance

import "time"

// refusalQuietPeriod is the time without a refusal after which a series of refusals is over. A series
// consists of the refusals of credits of one allowance that follow each other within this time.
const refusalQuietPeriod = 5 * time.Second

// usageRecord counts the credits that an owner lent and refused of one allowance, for logs and
// metrics.
type usageRecord struct {
	lent, refused, returned uint64
	// refusing is true from the first refusal until refusalQuietPeriod has passed without one.
	refusing                     bool
	refusingSince, lastRefusedAt time.Time
	// refusedAtStart is the value of refused before the first refusal of the current series.
	refusedAtStart uint64
	// logged is true after the start of the current series of refusals was logged.
	logged bool
}

// recordResult adds the outcome of one loan. The first refusal starts a series of refusals.
func (r *usageRecord) recordResult(now time.Time, lent, refused uint32) {
	r.lent += uint64(lent)
	if refused == 0 {
		return
	}
	if !r.refusing {
		r.refusing, r.refusingSince, r.refusedAtStart = true, now, r.refused
	}
	r.refused += uint64(refused)
	r.lastRefusedAt = now
}

// endRefusing ends a series of refusals after refusalQuietPeriod. It returns true once per series.
func (r *usageRecord) endRefusing(now time.Time) bool {
	if !r.refusing || now.Sub(r.lastRefusedAt) < refusalQuietPeriod {
		return false
	}
	r.refusing = false
	return true
}
