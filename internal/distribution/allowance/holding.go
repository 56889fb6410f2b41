package allowance

import (
	"math"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// useDecayTime is the time constant of the exponential decay of recentUse.
const useDecayTime = time.Second

// refusalCacheTTL is the maximum time for which an owner's refusal is reused for further calls. It
// bounds the rate of asks for an account far above its limit.
const refusalCacheTTL = 50 * time.Millisecond

// credit is a number of credits that an owner lent.
type credit struct {
	owner string
	// epoch is the number of the connection to the owner.
	epoch uint64
	calls uint32
	// lentAt is the owner's own time stamp of the loan, in nanoseconds since the owner started.
	lentAt uint64
	// requestedAt is when the credit was requested. It may be spent until expiresAt.
	requestedAt, expiresAt time.Time
}

// unusedCredit is credit of one owner that is to be returned.
type unusedCredit struct {
	calls uint32
	// lentAt is the earliest time stamp among the loans.
	lentAt uint64
}

// localAllowance is the state of one allowance at this daemon: credit, waiting calls and refusals.
type localAllowance struct {
	limit Limit
	// credits are lent and not yet spent, ordered by expiry.
	credits []credit
	// waiting are the calls without credit, oldest first. requested is the number of credits
	// requested for them and not yet answered.
	waiting   []*Ticket
	requested uint32
	// requestedLate is the number of credits requested for late calls.
	requestedLate uint32
	// refusedUntil is the time until which calls are refused without asking the owner.
	// notOwnerUntil is the time until which a daemon that denied ownership is not asked again.
	refusedUntil, notOwnerUntil time.Time
	// lateRefusedUntil is refusedUntil for late calls.
	lateRefusedUntil time.Time
	// retryAfter is the retry delay for refused callers, from the owner's last answer.
	retryAfter time.Duration
	// lastLender is the daemon that lent last, empty once it denies ownership.
	lastLender string
	// probe requests credit although no call waits, to find out whether an unresponsive owner is
	// back.
	probe bool
	// unused is the credit to be returned, by owner.
	unused map[string]unusedCredit
	// recentUse is the number of recent calls, with exponential decay over useDecayTime.
	recentUse  float64
	lastUsedAt time.Time
	reserve    reserve
}

// spend takes one credit that is still valid.
func (l *localAllowance) spend(now time.Time) (from credit, ok bool) {
	for at := range l.credits {
		if now.After(l.credits[at].expiresAt) {
			continue
		}
		from = l.credits[at]
		l.credits[at].calls--
		if l.credits[at].calls == 0 {
			l.credits = slices.Delete(l.credits, at, at+1)
		}
		return from, true
	}
	return credit{}, false
}

// dropExpired removes and returns the credits that have expired.
func (l *localAllowance) dropExpired(now time.Time) (expired []credit) {
	for len(l.credits) > 0 && now.After(l.credits[0].expiresAt) {
		expired = append(expired, l.credits[0])
		l.credits = l.credits[1:]
	}
	return expired
}

// put inserts credits in the order of their expiry.
func (l *localAllowance) put(added credit) {
	at, _ := slices.BinarySearchFunc(l.credits, added, func(a, b credit) int { return a.expiresAt.Compare(b.expiresAt) })
	l.credits = slices.Insert(l.credits, at, added)
}

// recordUse adds one call to recentUse.
func (l *localAllowance) recordUse(now time.Time) {
	passed := now.Sub(l.lastUsedAt).Seconds()
	l.recentUse = l.recentUse*math.Exp(-passed/useDecayTime.Seconds()) + 1
	l.lastUsedAt = now
}

// creditsWanted returns how many credits to request for calls that are not late: one for each that
// waits, and as many as the recent call rate will use during creditValidity.
func (l *localAllowance) creditsWanted(creditValidity time.Duration) uint32 {
	if len(l.waiting) == 0 {
		if l.probe {
			return 1
		}
		return 0
	}
	inTime := uint32(len(l.waiting)) - l.lateWaitingCount()
	if inTime == 0 {
		return 0
	}
	return inTime + uint32(l.recentUse/useDecayTime.Seconds()*creditValidity.Seconds())
}

func (l *localAllowance) lateWaitingCount() (count uint32) {
	for _, ticket := range l.waiting {
		if ticket.late {
			count++
		}
	}
	return count
}

// dropDecided removes calls that no longer wait.
func (l *localAllowance) dropDecided() {
	l.waiting = slices.DeleteFunc(l.waiting, func(ticket *Ticket) bool { return ticket.decided })
}

// need returns the need to send to an owner, nil if there is none.
func (l *localAllowance) need(name, owner string, creditValidity time.Duration, ask bool) *lapisv1.AllowanceNeed {
	need := &lapisv1.AllowanceNeed{Allowance: name, Returned: l.unused[owner].calls, ReturnedLentAt: l.unused[owner].lentAt, PerSecond: l.limit.Rate, Burst: l.limit.Burst}
	if ask && l.requested+l.requestedLate == 0 {
		need.Credits, need.LateCredits = l.creditsWanted(creditValidity), l.lateWaitingCount()
	}
	if need.Credits+need.LateCredits == 0 && need.Returned == 0 {
		return nil
	}
	return need
}

// isIdle reports whether the state can be dropped without losing anything.
func (l *localAllowance) isIdle(now time.Time, window time.Duration) bool {
	return len(l.waiting) == 0 && l.requested+l.requestedLate == 0 && len(l.credits) == 0 && len(l.unused) == 0 && now.Sub(l.lastUsedAt) > window
}
