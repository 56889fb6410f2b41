package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
)

// neededInterest returns what this node and its children need; the caller
// holds mutex.
func (n *Node) neededInterest() holdings.Interest {
	needed := n.config.Interest
	for _, child := range n.children {
		needed = needed.Union(child.interest)
	}
	return needed
}

// request asks the parent for another interest; the caller holds mutex.
func (n *Node) request(interest holdings.Interest) {
	n.requested = interest
	n.requestedVersion++
	n.asked[n.requestedVersion] = interest
	n.shrinkSince = time.Time{}
	if n.parent != nil {
		n.parent.signal()
	}
}

// widen asks for the services of interest that were not asked for before; the
// caller holds mutex.
func (n *Node) widen(interest holdings.Interest) {
	if !n.requested.Covers(interest) {
		n.request(n.requested.Union(interest))
	}
}

// considerShrinking gives up services that nobody below has wanted for
// InterestShrinkDelay; the caller holds mutex.
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

// interestOf returns the interest that an update of the given
// subscription version covers; ok is false for a version never asked for. The
// caller holds mutex.
func (n *Node) interestOf(version uint64) (interest holdings.Interest, ok bool) {
	if version == n.coveredVersion {
		return n.holdings.Interest(), true
	}
	interest, ok = n.asked[version]
	return interest, ok
}

// coverSubscription notes that the holdings now cover version; the caller
// holds mutex.
func (n *Node) coverSubscription(version uint64) {
	n.coveredVersion = version
	for asked := range n.asked {
		if asked <= version {
			delete(n.asked, asked)
		}
	}
}
