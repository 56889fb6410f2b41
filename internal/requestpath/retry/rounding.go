package retry

import "time"

// offsetWindows is the number of windows for which a rounding offset is kept.
const offsetWindows = 60

// roundingOffset is the number between 0 and 1 that is added to a fractional number of retries
// before it is rounded down. Where a daemon's share is below one retry, some of the daemons so get
// one, and over many daemons the sum is that of the fractions: rounding down alone would leave a
// large fleet without retries, rounding up would give it a multiple of what is allowed.
//
// The offset must not change within a window, since a daemon could use the old one and then the new
// one. After a change, the smaller of the two therefore counts for one window. It changes at all so
// that the callers of one daemon are not without retries for the life of its process.
type roundingOffset struct {
	offset, previous float64
	changedAt        time.Time
}

// at returns the offset at a time, for windows of the given length.
func (r *roundingOffset) at(now time.Time, window time.Duration, random func() float64) float64 {
	if r.changedAt.IsZero() {
		r.offset = random()
		r.previous, r.changedAt = r.offset, now
	}
	if now.Sub(r.changedAt) >= offsetWindows*window {
		r.previous, r.offset, r.changedAt = r.offset, random(), now
	}
	if now.Sub(r.changedAt) <= window+window/windowSlots {
		return min(r.offset, r.previous)
	}
	return r.offset
}
