package allowance

import (
	"slices"
	"time"
)

// ballot determines which view a daemon states as its vote. A vote moves to another owner only once the
// previous one cannot count it any more: it has confirmed the change, its process has ended, or the vote
// has expired there. Otherwise an owner that was cut off at the moment of the change would lend beside the
// new one, and the daemon's vote would count twice.
//
// Meanwhile the daemon states a transition, which counts for the allowances whose owner stays the same.
type ballot struct {
	// settled is the view stated before the present change; target is the view to state after it. Both
	// are equal while there is no change.
	settled, target view
}

// stated returns the view to state now.
func (b *ballot) stated() view {
	if b.settled.key == b.target.key {
		return b.target
	}
	return newTransition(b.settled.owners, b.target.owners)
}

// update starts a change if the daemon sees other owners now, and ends a change once no owner of the
// settled view can count its vote any more. votes holds the state of the vote at each daemon.
func (b *ballot) update(now time.Time, seen view, votes map[string]*peerState) {
	b.target = seen
	if b.settled.key == b.target.key {
		return
	}
	changeKey := b.stated().key
	mayCount := func(node string) bool {
		peer := votes[node]
		return peer != nil && !peer.hasConfirmed(changeKey) && now.Before(peer.voteExpiresAt)
	}
	if !slices.ContainsFunc(b.settled.owners, mayCount) {
		b.settled = b.target
	}
}

// hasConfirmed reports whether the peer has confirmed that it received the view with the given key.
func (p *peerState) hasConfirmed(key string) bool {
	return p.connected && p.statedKey == key && p.confirmedNumber >= p.statedNumber
}
