package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// What this daemon does with the answers of owners.

// receive takes the answer of an owner.
func (a *asker) receive(now time.Time, owner string, grant *lapisv1.AllowanceGrant) {
	asked := a.channels[owner]
	if asked == nil {
		return
	}
	if grant.GetViewWanted() {
		asked.stated = ""
	}
	if asked.silent && asked.connected {
		asked.silent = false
		a.ranking.setContact(now, owner, connected)
	}
	if asked.inFlight.GetSequence() != grant.GetSequence() || asked.inFlight == nil {
		a.setAsideLate(now, owner, asked, grant)
		return
	}
	asked.answered = grant.GetSequence()
	until := asked.sentAt.Add(a.bounds.validity())
	wanting := wantingCredit(asked.inFlight)
	asked.inFlight = nil
	for _, lent := range grant.GetCredits() {
		if held := a.holdings[lent.GetAllowance()]; held != nil && wanting[lent.GetAllowance()] {
			a.receiveCredit(now, held, lent, credit{owner: owner, epoch: asked.epoch, calls: lent.GetCredits(), lentAt: lent.GetLentAt(), lent: asked.sentAt, until: until})
		}
	}
}

// wantingCredit returns the allowances that an ask wants credit of. Others only give some back, and the
// answer to that says nothing of the credit that another daemon is asked for.
func wantingCredit(ask *lapisv1.AllowanceAsk) map[string]bool {
	wanting := map[string]bool{}
	for _, need := range ask.GetNeeds() {
		wanting[need.GetAllowance()] = need.GetCredits()+need.GetLateCredits() > 0
	}
	return wanting
}

// setAsideLate gives back what came after it was waited for.
func (a *asker) setAsideLate(now time.Time, owner string, from *channel, grant *lapisv1.AllowanceGrant) {
	if grant.GetSequence() <= from.answered || grant.GetSequence() > a.sequence {
		return // It came before.
	}
	from.answered = grant.GetSequence()
	for _, lent := range grant.GetCredits() {
		if held := a.holdings[lent.GetAllowance()]; held != nil {
			a.setAside(now, held, credit{owner: owner, epoch: from.epoch, calls: lent.GetCredits(), lentAt: lent.GetLentAt(), lent: from.lateFrom})
		}
	}
}

// setAside notes credits that are to be given back: those of an open connection to their owner that
// were lent within returnTime.
func (a *asker) setAside(now time.Time, held *holding, back credit) {
	known := a.channels[back.owner]
	if back.calls == 0 || known == nil || !known.connected || known.epoch != back.epoch || now.Sub(back.lent) >= returnTime {
		return
	}
	before, some := held.unused[back.owner]
	if !some || back.lentAt < before.lentAt {
		before.lentAt = back.lentAt
	}
	before.calls += back.calls
	held.unused[back.owner] = before
}

// receiveCredit lets waiting calls go, and refuses those that the owner refused.
func (a *asker) receiveCredit(now time.Time, held *holding, lent *lapisv1.AllowanceCredit, added credit) {
	if added.calls > 0 {
		held.put(added)
	}
	asked, askedLate := held.asked, held.askedLate
	held.asked, held.askedLate = 0, 0
	a.serveWaiting(now, held)
	if lent.GetNotOwner() {
		held.askAfter = now.Add(notOwnerPause)
		a.channels[added.owner].disagrees = true
		if held.lentBefore == added.owner {
			held.lentBefore = ""
		}
		return
	}
	held.lentBefore = added.owner
	if lent.GetCredits() >= asked+askedLate {
		return // Calls that came after the ask wait for the next one.
	}
	held.returnAfter = time.Duration(lent.GetRetryAfterMillis()) * time.Millisecond
	held.lateRefusedUntil = now.Add(min(held.returnAfter, refusalMemory))
	if lent.GetCredits() < asked {
		held.refusedUntil = held.lateRefusedUntil
	}
	a.refuseWaiting(held, lent.GetCredits() < asked)
}

// refuseWaiting refuses the late calls that wait, or all.
func (a *asker) refuseWaiting(held *holding, all bool) {
	for _, ticket := range held.waiting {
		if !ticket.decided && (all || ticket.late) {
			a.refuse(ticket, held.returnAfter)
		}
	}
	held.dropDecided()
}

// clearInFlight ends the wait for an answer.
func (a *asker) clearInFlight(asked *channel) {
	for _, need := range asked.inFlight.GetNeeds() {
		if held := a.holdings[need.GetAllowance()]; held != nil && need.GetCredits()+need.GetLateCredits() > 0 {
			held.asked, held.askedLate = 0, 0
		}
	}
	asked.inFlight = nil
}
