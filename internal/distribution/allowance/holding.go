package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// useMemory is the time over which it is forgotten how often calls of an allowance came.
const useMemory = time.Second

// refusalMemory bounds how long an owner's word that nothing is left is believed. It bounds the
// asks for an account that asks far more than it may.
const refusalMemory = 50 * time.Millisecond

// credit is what an owner lent.
type credit struct {
	owner string
	// epoch numbers the connection to the owner.
	epoch uint64
	calls uint32
	// lentAt is the owner's word for when it lent.
	lentAt uint64
	// lent is when it was asked for, until the time until which it may be spent.
	lent, until time.Time
}

// unused is credit of an owner that is to be given back.
type unused struct {
	calls uint32
	// lentAt is that of the earliest.
	lentAt uint64
}

// holding is what this daemon has and needs of an allowance.
type holding struct {
	limit Limit
	// credits are those lent and not spent, the oldest first.
	credits []credit
	// waiting are calls without credit, the oldest first; asked is the number of credits asked for
	// and not answered.
	waiting []*Ticket
	asked   uint32
	// askedLate is the number of those for late calls.
	askedLate uint32
	// refusedUntil is the time until which the owner has nothing left, askAfter that until which the
	// daemon asked does not see itself as the owner.
	refusedUntil, askAfter time.Time
	// lateRefusedUntil is the time until which it has nothing left for late calls.
	lateRefusedUntil time.Time
	// returnAfter is when refused callers may return, by the owner's last word.
	returnAfter time.Duration
	// lentBefore is the daemon that lent last, empty once it does not see itself as the owner.
	lentBefore string
	// probe asks for credit although no call waits, to see whether a silent owner is back.
	probe bool
	// unused are credits to be given back, by owner.
	unused map[string]unused
	// recentUse is the number of calls lately, forgotten over useMemory.
	recentUse float64
	usedAt    time.Time
	reserve   reserve
}

// spend takes one credit that is still valid.
func (h *holding) spend(now time.Time) (from credit, ok bool) {
	for at := range h.credits {
		if now.After(h.credits[at].until) {
			continue
		}
		from = h.credits[at]
		h.credits[at].calls--
		if h.credits[at].calls == 0 {
			h.credits = slices.Delete(h.credits, at, at+1)
		}
		return from, true
	}
	return credit{}, false
}

// dropExpired takes away and returns the credits that may not be spent any more.
func (h *holding) dropExpired(now time.Time) (expired []credit) {
	for len(h.credits) > 0 && now.After(h.credits[0].until) {
		expired = append(expired, h.credits[0])
		h.credits = h.credits[1:]
	}
	return expired
}

// put adds credits in the order in which they end.
func (h *holding) put(added credit) {
	at, _ := slices.BinarySearchFunc(h.credits, added, func(a, b credit) int { return a.until.Compare(b.until) })
	h.credits = slices.Insert(h.credits, at, added)
}

func (h *holding) noteUse(now time.Time) {
	passed := now.Sub(h.usedAt).Seconds()
	h.recentUse = h.recentUse*math.Exp(-passed/useMemory.Seconds()) + 1
	h.usedAt = now
}

// wanted returns how many credits to ask for calls that can be in time: one for each that waits,
// and as many as will be used while they are valid.
func (h *holding) wanted(validity time.Duration) uint32 {
	if len(h.waiting) == 0 {
		if h.probe {
			return 1
		}
		return 0
	}
	inTime := uint32(len(h.waiting)) - h.waitingLate()
	if inTime == 0 {
		return 0
	}
	return inTime + uint32(h.recentUse/useMemory.Seconds()*validity.Seconds())
}

// waitingLate returns the number of late calls that wait.
func (h *holding) waitingLate() (count uint32) {
	for _, ticket := range h.waiting {
		if ticket.late {
			count++
		}
	}
	return count
}

// dropDecided forgets calls that wait no longer.
func (h *holding) dropDecided() {
	h.waiting = slices.DeleteFunc(h.waiting, func(ticket *Ticket) bool { return ticket.decided })
}

// need returns what to ask an owner for, nil for nothing.
func (h *holding) need(name, owner string, validity time.Duration, ask bool) *lapisv1.AllowanceNeed {
	need := &lapisv1.AllowanceNeed{Allowance: name, Returned: h.unused[owner].calls, ReturnedLentAt: h.unused[owner].lentAt, PerSecond: h.limit.Rate, Burst: h.limit.Burst}
	if ask && h.asked+h.askedLate == 0 {
		need.Credits, need.LateCredits = h.wanted(validity), h.waitingLate()
	}
	if need.Credits+need.LateCredits == 0 && need.Returned == 0 {
		return nil
	}
	return need
}

// idle reports whether nothing is lost by forgetting the holding.
func (h *holding) idle(now time.Time, window time.Duration) bool {
	return len(h.waiting) == 0 && h.asked+h.askedLate == 0 && len(h.credits) == 0 && len(h.unused) == 0 && now.Sub(h.usedAt) > window
}
