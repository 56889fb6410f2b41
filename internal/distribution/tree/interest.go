package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
)

// neededInterest returns what this node and its children need; the caller holds mutex.
func (n *Node) neededInterest() holdings.Interest {
	needed := n.config.Interest
	for _, child := range n.children {
		needed = needed.Union(child.interest)
	}
	return needed
}

// request replaces the interest that the parent is asked to serve; the caller holds mutex.
func (n *Node) request(interest holdings.Interest) {
	n.requested = interest
	n.requestedVersion++
	n.pendingInterests[n.requestedVersion] = interest
	n.shrinkSince = time.Time{}
	if n.parent != nil {
		n.parent.signal()
	}
}

// widen adds the services of interest to the request; the caller holds mutex.
func (n *Node) widen(interest holdings.Interest) {
	if !n.requested.Covers(interest) {
		n.request(n.requested.Union(interest))
	}
}

// considerShrinking drops the services that neither this node nor its subtree has needed
// for InterestShrinkDelay. The delay keeps a child that reconnects from costing a full
// update of its services. A reader holds all services. The caller holds mutex.
func (n *Node) considerShrinking(now time.Time) {
	needed := n.neededInterest()
	if n.reader || needed.Equal(n.requested) {
		n.shrinkSince = time.Time{}
		return
	}
	if n.shrinkSince.IsZero() {
		n.shrinkSince = now
		return
	}
	if now.Sub(n.shrinkSince) >= n.config.Tunables.InterestShrinkDelay.Get() {
		n.request(needed)
	}
}

// interestOf returns the interest that an update of the given subscription version covers;
// ok is false for a version never requested. The caller holds mutex.
func (n *Node) interestOf(version uint64) (interest holdings.Interest, ok bool) {
	if version == n.coveredVersion {
		return n.holdings.Interest(), true
	}
	interest, ok = n.pendingInterests[version]
	return interest, ok
}

// coverSubscription records that the holdings now cover version; the caller holds mutex.
func (n *Node) coverSubscription(version uint64) {
	n.coveredVersion = version
	for pending := range n.pendingInterests {
		if pending <= version {
			delete(n.pendingInterests, pending)
		}
	}
}
