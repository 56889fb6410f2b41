package allowance

import (
	"slices"
	"time"
)

const (
	// returnTimeout is the maximum time after the loan at which credit can be returned. It covers a
	// call's wait for a slot. Credit of calls that are refused later than that is lost.
	returnTimeout = 2 * time.Second
	// peakSlotCount is the number of slots for which peaks are kept. Together the slots must be
	// longer than returnTimeout plus the time a returned credit takes to arrive.
	peakSlotCount    = 48
	peakSlotDuration = 50 * time.Millisecond
)

// tokenBucket holds credit up to a capacity. Its level is negative after another bucket allowed a
// loan that this one did not cover.
//
// Returned credit restores the level that the bucket would have if the credit had never been lent.
// Credit that the bucket could not have held is dropped: peaks are the highest levels in the last
// slots, and a return may not raise any peak since the loan above the capacity.
type tokenBucket struct {
	capacity, level float64
	peaks           [peakSlotCount]float64
	// slotStarted is the start of the slot of peaks[0].
	slotStarted time.Time
}

func newTokenBucket(now time.Time) tokenBucket { return tokenBucket{slotStarted: now} }

// fill adds the credit gained until now.
func (t *tokenBucket) fill(now time.Time, credit float64) {
	t.advanceSlots(now)
	t.level = min(t.capacity, t.level+credit)
	t.peaks[0] = max(t.peaks[0], t.level)
}

// advanceSlots starts the slots that have begun by now, each with the current level as its peak.
func (t *tokenBucket) advanceSlots(now time.Time) {
	elapsedSlots := int(now.Sub(t.slotStarted) / peakSlotDuration)
	if elapsedSlots <= 0 {
		return
	}
	t.slotStarted = t.slotStarted.Add(time.Duration(elapsedSlots) * peakSlotDuration)
	elapsedSlots = min(elapsedSlots, peakSlotCount)
	copy(t.peaks[elapsedSlots:], t.peaks[:peakSlotCount-elapsedSlots])
	for slot := range elapsedSlots {
		t.peaks[slot] = t.level
	}
}

// takeBack returns unused credit that was lent at lentAt. It is dropped if the loan is older than
// the recorded peaks.
func (t *tokenBucket) takeBack(credits float64, lentAt time.Time) {
	// The difference is compared before it is divided: another daemon states lentAt, and the distance of two
	// arbitrary times saturates.
	before := t.slotStarted.Sub(lentAt)
	if before > (peakSlotCount-1)*peakSlotDuration {
		return
	}
	slots := 1
	if before > 0 {
		slots += int((before + peakSlotDuration - 1) / peakSlotDuration)
	}
	highest := max(t.level, slices.Max(t.peaks[:slots]))
	credited := max(0, min(credits, t.capacity-highest))
	t.level += credited
	for slot := range slots {
		t.peaks[slot] += credited
	}
}

// empty removes all credit. The peaks are set to the capacity, so that credit lent before is not
// accepted back.
func (t *tokenBucket) empty() {
	t.level = min(t.level, 0)
	for slot := range t.peaks {
		t.peaks[slot] = t.capacity
	}
}

// resize sets the capacity and drops credit above it.
func (t *tokenBucket) resize(capacity float64) {
	t.capacity = capacity
	t.level = min(t.level, capacity)
}
