package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
)

// neededInterest returns the services needed by this node and its children; the caller holds mutex.
func (n *Node) neededInterest() holdings.Interest {
	needed := n.config.Interest
	for _, child := range n.children {
		needed = needed.Union(child.interest)
	}
	return needed
}

// requestInterest replaces the interest requested from the parent; the caller holds mutex.
func (n *Node) requestInterest(interest holdings.Interest) {
	n.requestedInterest = interest
	n.requestedVersion++
	n.pendingInterests[n.requestedVersion] = interest
	n.shrinkableSince = time.Time{}
	if n.parent != nil {
		n.parent.signal()
	}
}

// widenInterest adds services to the requested interest; the caller holds mutex.
func (n *Node) widenInterest(interest holdings.Interest) {
	if !n.requestedInterest.Covers(interest) {
		n.requestInterest(n.requestedInterest.Union(interest))
	}
}

// shrinkIdleInterest removes the services that neither this node nor its subtree has needed for
// InterestShrinkDelay. The delay avoids a full update of the services of a child that reconnects. A
// reader holds all services. The caller holds mutex.
func (n *Node) shrinkIdleInterest(now time.Time) {
	needed := n.neededInterest()
	if n.reader || needed.Equal(n.requestedInterest) {
		n.shrinkableSince = time.Time{}
		return
	}
	if n.shrinkableSince.IsZero() {
		n.shrinkableSince = now
		return
	}
	if now.Sub(n.shrinkableSince) >= n.config.Tunables.InterestShrinkDelay.Get() {
		n.requestInterest(needed)
	}
}

// interestOf returns the interest of a subscription version; ok is false for a version that was
// never requested. The caller holds mutex.
func (n *Node) interestOf(version uint64) (interest holdings.Interest, ok bool) {
	if version == n.coveredVersion {
		return n.holdings.Interest(), true
	}
	interest, ok = n.pendingInterests[version]
	return interest, ok
}

// coverSubscription records that the holdings cover a subscription version; the caller holds mutex.
func (n *Node) coverSubscription(version uint64) {
	n.coveredVersion = version
	for pending := range n.pendingInterests {
		if pending <= version {
			delete(n.pendingInterests, pending)
		}
	}
}
