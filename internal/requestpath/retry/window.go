package retry

import "time"

// windowSlots is the number of slots into which a sliding window is divided. Counts leave the window
// a slot at a time; with more slots they leave more evenly, at a few bytes a slot and service.
const windowSlots = 20

// recentSlots is the number of slots whose calls count as recent, a tenth of the window.
const recentSlots = windowSlots / 10

// windowCounts counts the calls of a service and the retries, those of first tries apart (see Try).
type windowCounts struct {
	calls                           int
	lastTryRetries, firstTryRetries int
}

func (c windowCounts) retries() int { return c.lastTryRetries + c.firstTryRetries }

// slidingWindow counts the calls and retries of one service in the most recent interval. It keeps
// one slot more than the interval has: retries are counted over all of them, and so over at least
// the interval, calls over at most the interval. A limit on the ratio of both thus holds in every
// interval, wherever it begins.
type slidingWindow struct {
	// slot is the length of a slot. newest is the number of the newest one since the epoch.
	slot   time.Duration
	newest int64
	// history holds the counts of the slots, each at the index that its number gives.
	history [windowSlots + 1]windowCounts
}

func newSlidingWindow(length time.Duration) *slidingWindow {
	return &slidingWindow{slot: max(length/windowSlots, 1)}
}

// slotAt returns the slot of a time, after clearing those that have passed since the last use.
func (w *slidingWindow) slotAt(now time.Time) *windowCounts {
	number := now.UnixNano() / int64(w.slot)
	passed := min(max(number-w.newest, 0), int64(len(w.history)))
	w.newest = max(w.newest, number)
	for back := range passed {
		w.history[w.index(back)] = windowCounts{}
	}
	return &w.history[w.index(0)]
}

// index returns the place of the slot that is back slots older than the newest.
func (w *slidingWindow) index(back int64) int {
	return int((w.newest - back) % int64(len(w.history)))
}

// recentCalls returns the calls of at most the last recentSlots slots.
func (w *slidingWindow) recentCalls(now time.Time) int {
	w.slotAt(now)
	calls := 0
	for back := range int64(recentSlots) {
		calls += w.history[w.index(back)].calls
	}
	return calls
}

// counts returns the calls of at most, and the retries of at least, the interval before now.
func (w *slidingWindow) counts(now time.Time) windowCounts {
	w.slotAt(now)
	var sum windowCounts
	for back := range int64(len(w.history)) {
		slot := w.history[w.index(back)]
		sum.lastTryRetries += slot.lastTryRetries
		sum.firstTryRetries += slot.firstTryRetries
		if back < windowSlots {
			sum.calls += slot.calls
		}
	}
	return sum
}
