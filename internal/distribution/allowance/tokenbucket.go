package allowance

import (
	"slices"
	"time"
)

const (
	// returnTime is how long after it was lent credit may come back. It covers a call's wait for
	// a slot; credit of calls that are refused later than that is lost.
	returnTime = 2 * time.Second
	// peakSlots is the number of slots in which peaks are kept; together they are longer than
	// returnTime and the time that the return takes to arrive.
	peakSlots = 48
	peakSlot  = 50 * time.Millisecond
)

// tokenBucket holds credit up to a capacity. Its level is negative where another bucket let more go.
//
// Credit that comes back makes the bucket what it would be had that credit never been lent. What
// it could not have held then is dropped: peaks are the highest levels of the last slots, and no
// return may lift one above the capacity since the credit was lent.
type tokenBucket struct {
	capacity, level float64
	peaks           [peakSlots]float64
	// slotStarted is when the slot of peaks[0] began.
	slotStarted time.Time
}

// newTokenBucket returns an empty bucket.
func newTokenBucket(now time.Time) tokenBucket { return tokenBucket{slotStarted: now} }

// fill adds the credit gained until now.
func (t *tokenBucket) fill(now time.Time, credit float64) {
	t.turnSlots(now)
	t.level = min(t.capacity, t.level+credit)
	t.peaks[0] = max(t.peaks[0], t.level)
}

func (t *tokenBucket) turnSlots(now time.Time) {
	turns := int(now.Sub(t.slotStarted) / peakSlot)
	if turns <= 0 {
		return
	}
	t.slotStarted = t.slotStarted.Add(time.Duration(turns) * peakSlot)
	turns = min(turns, peakSlots)
	copy(t.peaks[turns:], t.peaks[:peakSlots-turns])
	for slot := range turns {
		t.peaks[slot] = t.level
	}
}

// takeBack adds credit that was lent at a time and not used. It is dropped where the peaks do not go
// back that far.
func (t *tokenBucket) takeBack(credits float64, lentAt time.Time) {
	slots := 1
	if before := t.slotStarted.Sub(lentAt); before > 0 {
		slots += int((before + peakSlot - 1) / peakSlot)
	}
	if slots > peakSlots {
		return
	}
	highest := max(t.level, slices.Max(t.peaks[:slots]))
	back := max(0, min(credits, t.capacity-highest))
	t.level += back
	for slot := range slots {
		t.peaks[slot] += back
	}
}

// empty takes all credit away, also what may still come back.
func (t *tokenBucket) empty() {
	t.level = min(t.level, 0)
	for slot := range t.peaks {
		t.peaks[slot] = t.capacity
	}
}

// resize changes the capacity.
func (t *tokenBucket) resize(capacity float64) {
	t.capacity = capacity
	t.level = min(t.level, capacity)
}
