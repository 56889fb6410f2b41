package allowance

import "time"

// calmAfter is how long nothing must be refused for a time of refusals to be over.
const calmAfter = 5 * time.Second

// record is what an owner lent and refused of an allowance, for operators.
type record struct {
	lent, refused, returned uint64
	// refusing is true from the first refusal until calmAfter passed without one.
	refusing    bool
	since, last time.Time
	// refusedBefore is the count when refusing began.
	refusedBefore uint64
	// told is true once operators were told that refusing began.
	told bool
}

func (r *record) note(now time.Time, lent, refused uint32) {
	r.lent += uint64(lent)
	if refused == 0 {
		return
	}
	if !r.refusing {
		r.refusing, r.since, r.refusedBefore = true, now, r.refused
	}
	r.refused += uint64(refused)
	r.last = now
}

// calm reports that a time of refusals has ended; it does so once.
func (r *record) calm(now time.Time) bool {
	if !r.refusing || now.Sub(r.last) < calmAfter {
		return false
	}
	r.refusing = false
	return true
}
