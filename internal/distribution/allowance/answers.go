package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// This file handles the grants that owners return.

// receive processes an owner's grant.
func (c *client) receive(now time.Time, owner string, grant *lapisv1.AllowanceGrant) {
	peer := c.peers[owner]
	if peer == nil {
		return
	}
	peer.confirmedNumber = max(peer.confirmedNumber, grant.GetViewNumber())
	if grant.GetViewWanted() {
		peer.statedKey = ""
	}
	if peer.unresponsive && peer.connected {
		peer.unresponsive = false
		c.ranking.setContact(now, owner, connected)
	}
	if peer.inFlight.GetSequence() != grant.GetSequence() || peer.inFlight == nil {
		c.returnLateGrant(now, owner, peer, grant)
		return
	}
	peer.answeredSequence = grant.GetSequence()
	expiresAt := peer.sentAt.Add(c.bounds.creditValidity())
	requested := requestedAllowances(peer.inFlight)
	peer.inFlight = nil
	for _, lent := range grant.GetCredits() {
		if local := c.allowances[lent.GetAllowance()]; local != nil && requested[lent.GetAllowance()] {
			c.receiveCredit(now, local, lent, credit{owner: owner, epoch: peer.epoch, calls: lent.GetCredits(), lentAt: lent.GetLentAt(), requestedAt: peer.sentAt, expiresAt: expiresAt})
		}
	}
}

// requestedAllowances returns the allowances for which an ask requests credit. An ask may also only
// return credit of an allowance; the answer to that does not affect a request that is pending at
// another daemon.
func requestedAllowances(ask *lapisv1.AllowanceAsk) map[string]bool {
	requested := map[string]bool{}
	for _, need := range ask.GetNeeds() {
		requested[need.GetAllowance()] = need.GetCredits()+need.GetLateCredits() > 0
	}
	return requested
}

// returnLateGrant queues the credit of a grant that arrived after its timeout for return to the
// owner.
func (c *client) returnLateGrant(now time.Time, owner string, peer *peerState, grant *lapisv1.AllowanceGrant) {
	if grant.GetSequence() <= peer.answeredSequence || grant.GetSequence() > c.sequence {
		return // Duplicate, or an answer to an ask that was never sent.
	}
	peer.answeredSequence = grant.GetSequence()
	for _, lent := range grant.GetCredits() {
		if local := c.allowances[lent.GetAllowance()]; local != nil {
			c.queueReturn(now, local, credit{owner: owner, epoch: peer.epoch, calls: lent.GetCredits(), lentAt: lent.GetLentAt(), requestedAt: peer.unansweredSentAt})
		}
	}
}

// queueReturn queues credit for return to its owner. It drops credit of a connection that has
// ended, and credit requested returnTimeout or longer ago.
func (c *client) queueReturn(now time.Time, local *localAllowance, back credit) {
	peer := c.peers[back.owner]
	if back.calls == 0 || peer == nil || !peer.connected || peer.epoch != back.epoch || now.Sub(back.requestedAt) >= returnTimeout {
		return
	}
	earlier, pending := local.unused[back.owner]
	if !pending || back.lentAt < earlier.lentAt {
		earlier.lentAt = back.lentAt
	}
	earlier.calls += back.calls
	local.unused[back.owner] = earlier
}

// receiveCredit grants waiting calls with the credit received, and refuses those that the owner
// refused.
func (c *client) receiveCredit(now time.Time, local *localAllowance, lent *lapisv1.AllowanceCredit, added credit) {
	if added.calls > 0 {
		local.put(added)
	}
	requested, requestedLate := local.requested, local.requestedLate
	local.requested, local.requestedLate = 0, 0
	c.serveWaiting(now, local)
	if lent.GetNotOwner() {
		local.notOwnerUntil = now.Add(notOwnerBackoff)
		c.peers[added.owner].ownershipDenied = true
		if local.lastLender == added.owner {
			local.lastLender = ""
		}
		return
	}
	local.lastLender = added.owner
	if lent.GetCredits() >= requested+requestedLate {
		return // Calls that arrived after the ask was sent wait for the next one.
	}
	local.retryAfter = time.Duration(lent.GetRetryAfterMillis()) * time.Millisecond
	local.lateRefusedUntil = now.Add(min(local.retryAfter, refusalCacheTTL))
	if lent.GetCredits() < requested {
		local.refusedUntil = local.lateRefusedUntil
	}
	c.refuseWaiting(local, lent.GetCredits() < requested)
}

// refuseWaiting refuses the waiting calls that are late, or all of them.
func (c *client) refuseWaiting(local *localAllowance, all bool) {
	for _, ticket := range local.waiting {
		if !ticket.decided && (all || ticket.late) {
			c.refuse(ticket, local.retryAfter)
		}
	}
	local.dropDecided()
}

// clearInFlight forgets the pending ask, so that its credits can be requested again.
func (c *client) clearInFlight(peer *peerState) {
	for _, need := range peer.inFlight.GetNeeds() {
		if local := c.allowances[need.GetAllowance()]; local != nil && need.GetCredits()+need.GetLateCredits() > 0 {
			local.requested, local.requestedLate = 0, 0
		}
	}
	peer.inFlight = nil
}
