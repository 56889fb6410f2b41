package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// What this daemon asks of owners.

// outgoing returns the asks that are due, by daemon.
func (a *asker) outgoing(now time.Time) map[string]*lapisv1.AllowanceAsk {
	needs := a.needs(now)
	current := a.ranking.view(now)
	asks := map[string]*lapisv1.AllowanceAsk{}
	for node, known := range a.channels {
		if !known.connected {
			continue
		}
		ask := &lapisv1.AllowanceAsk{Needs: needs[node], Revision: a.revision}
		if known.stated != current.key && !known.silent {
			known.stated = current.key
			a.viewNumber++
			ask.View = &lapisv1.AllowanceView{Owners: current.owners, Number: a.viewNumber}
		}
		if len(ask.GetNeeds()) > 0 {
			a.sequence++
			ask.Sequence = a.sequence
			known.inFlight, known.sentAt = ask, now
			a.noteAsked(node, ask)
		}
		ask.Renew = !known.silent
		renew := ask.GetRenew() && now.Sub(known.renewedAt) >= renewInterval
		if renew || ask.GetView() != nil || len(ask.GetNeeds()) > 0 {
			known.renewedAt = now
			asks[node] = ask
		}
	}
	return asks
}

// needs returns what to ask each owner for that has no ask in flight.
func (a *asker) needs(now time.Time) map[string][]*lapisv1.AllowanceNeed {
	needs := map[string][]*lapisv1.AllowanceNeed{}
	for name, held := range a.holdings {
		held.dropDecided()
		for _, expired := range held.dropExpired(now) {
			a.setAside(now, held, expired)
		}
		if len(held.waiting) == 0 && len(held.unused) == 0 && !held.probe {
			continue
		}
		owner := a.lender(now, name, held)
		a.needsOf(now, name, held, owner, owner, needs)
		for earlier := range held.unused {
			if earlier != owner {
				a.needsOf(now, name, held, earlier, owner, needs)
			}
		}
	}
	return needs
}

// needsOf adds what an allowance needs of one daemon; only its owner is asked for credit.
func (a *asker) needsOf(now time.Time, name string, held *holding, node, owner string, needs map[string][]*lapisv1.AllowanceNeed) {
	known := a.channels[node]
	if known == nil || !known.connected {
		delete(held.unused, node)
		return
	}
	if known.inFlight != nil {
		if now.Sub(known.sentAt) < answerPatience {
			return
		}
		a.markSilent(now, node, known)
	}
	ask := node == owner && (node == held.lentBefore || !now.Before(held.askAfter))
	if need := held.need(name, node, a.bounds.validity(), ask); need != nil {
		needs[node] = append(needs[node], need)
	}
}

// introduce reports whether a daemon is to be asked now for the members that it knows.
func (a *asker) introduce(now time.Time, node string) bool {
	known := a.channels[node]
	if !known.disagrees || now.Sub(known.introducedAt) < introduceInterval {
		return false
	}
	known.disagrees, known.introducedAt = false, now
	return true
}

// markSilent records that an owner has not answered in time. Its vote is not renewed, so that this
// daemon may vote for another one later.
func (a *asker) markSilent(now time.Time, node string, known *channel) {
	known.lateFrom = known.sentAt
	known.silent = true
	known.stated = ""
	a.ranking.setContact(now, node, lost)
	a.clearInFlight(known)
}

// noteAsked records what an ask carries.
func (a *asker) noteAsked(node string, ask *lapisv1.AllowanceAsk) {
	for _, need := range ask.GetNeeds() {
		held := a.holdings[need.GetAllowance()]
		delete(held.unused, node)
		if need.GetCredits()+need.GetLateCredits() > 0 {
			held.asked, held.askedLate = need.GetCredits(), need.GetLateCredits()
			held.probe = false
		}
	}
}
