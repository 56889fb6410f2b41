package allowance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// This file builds the asks that are sent to owners.

// outgoing returns the asks that are due, by daemon.
func (c *client) outgoing(now time.Time) map[string]*lapisv1.AllowanceAsk {
	needs := c.needs(now)
	c.ballot.update(now, c.ranking.view(now), c.peers)
	stated := c.ballot.stated()
	asks := map[string]*lapisv1.AllowanceAsk{}
	for node, peer := range c.peers {
		if !peer.connected {
			continue
		}
		ask := &lapisv1.AllowanceAsk{Needs: needs[node], Revision: c.revision}
		if c.fleetKnown && peer.statedKey != stated.key && !peer.unresponsive {
			c.viewNumber++
			peer.statedKey, peer.statedNumber = stated.key, c.viewNumber
			ask.View = &lapisv1.AllowanceView{Owners: stated.owners, PreviousOwners: stated.previous, Number: c.viewNumber}
		}
		if len(ask.GetNeeds()) > 0 {
			c.sequence++
			ask.Sequence = c.sequence
			peer.inFlight, peer.sentAt = ask, now
			c.recordSent(node, ask)
		}
		// During a change the vote is renewed only where it is confirmed, so that it expires elsewhere.
		ask.Renew = c.fleetKnown && !peer.unresponsive && (len(stated.previous) == 0 || peer.hasConfirmed(stated.key))
		renew := ask.GetRenew() && now.Sub(peer.lastSentAt) >= renewInterval
		if renew || ask.GetView() != nil || len(ask.GetNeeds()) > 0 {
			peer.lastSentAt = now
			if ask.GetRenew() || ask.GetView() != nil {
				// This covers voteTTL, the time in transit and voteExpiryInterval.
				peer.voteExpiresAt = now.Add(ownerReplaceTimeout)
			}
			asks[node] = ask
		}
	}
	return asks
}

// needs returns, by daemon, the credit to request or return per allowance. A daemon with an ask in
// flight gets no further one until that is answered or times out.
func (c *client) needs(now time.Time) map[string][]*lapisv1.AllowanceNeed {
	needs := map[string][]*lapisv1.AllowanceNeed{}
	for name, local := range c.allowances {
		local.dropDecided()
		for _, expired := range local.dropExpired(now) {
			c.queueReturn(now, local, expired)
		}
		if len(local.waiting) == 0 && len(local.unused) == 0 && !local.probe {
			continue
		}
		owner := c.lenderOf(now, name, local)
		c.addNeeds(now, name, local, owner, owner, needs)
		for earlier := range local.unused {
			if earlier != owner {
				c.addNeeds(now, name, local, earlier, owner, needs)
			}
		}
	}
	return needs
}

// addNeeds adds to needs what to request from or return to one daemon for an allowance. Credit is
// requested from the owner only; other daemons only get credit back.
func (c *client) addNeeds(now time.Time, name string, local *localAllowance, node, owner string, needs map[string][]*lapisv1.AllowanceNeed) {
	peer := c.peers[node]
	if peer == nil || !peer.connected {
		delete(local.unused, node)
		return
	}
	if peer.inFlight != nil {
		if now.Sub(peer.sentAt) < answerTimeout {
			return
		}
		c.markUnresponsive(now, node, peer)
	}
	ask := node == owner && (node == local.lastLender || !now.Before(local.notOwnerUntil))
	if need := local.need(name, node, c.bounds.creditValidity(), ask); need != nil {
		needs[node] = append(needs[node], need)
	}
}

// shouldIntroduce reports whether to ask a daemon for its member list now.
func (c *client) shouldIntroduce(now time.Time, node string) bool {
	peer := c.peers[node]
	if !peer.ownershipDenied || now.Sub(peer.introducedAt) < minIntroduceInterval {
		return false
	}
	peer.ownershipDenied, peer.introducedAt = false, now
	return true
}

// markUnresponsive records that an ask timed out. The vote at that daemon is no longer renewed, so
// that this daemon can vote for another owner once it has expired.
func (c *client) markUnresponsive(now time.Time, node string, peer *peerState) {
	peer.unansweredSentAt = peer.sentAt
	peer.unresponsive = true
	peer.statedKey = ""
	c.ranking.setContact(now, node, lost)
	c.clearInFlight(peer)
}

// recordSent updates the allowances for an ask that is being sent.
func (c *client) recordSent(node string, ask *lapisv1.AllowanceAsk) {
	for _, need := range ask.GetNeeds() {
		local := c.allowances[need.GetAllowance()]
		delete(local.unused, node)
		if need.GetCredits()+need.GetLateCredits() > 0 {
			local.requested, local.requestedLate = need.GetCredits(), need.GetLateCredits()
			local.probe = false
		}
	}
}
