package tree

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// knownReaders returns the readers of the zone, and a few of other zones, those
// of the own region first, as far as they are known; the caller holds mutex.
func (n *Node) knownReaders() []*lapisv1.PeerAddress {
	if !n.reader {
		return n.learnedReaders
	}
	var readers []*lapisv1.PeerAddress
	for _, holder := range n.seats.Holders(seat.Prefix, boottime.Now()) {
		readers = append(readers, holder.Peer)
	}
	return membership.ReadersToName(readers, n.config.Zone, n.config.Region, rand.Shuffle)
}

// zoneReaders returns the known readers of the own zone in random order; the
// caller holds mutex.
func (n *Node) zoneReaders() []*lapisv1.PeerAddress {
	var own []*lapisv1.PeerAddress
	for _, peer := range n.knownReaders() {
		if peer.GetZone() == n.config.Zone {
			own = append(own, peer)
		}
	}
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	return own
}

// learnReaders records the readers that the parent named and passes them on;
// the caller holds mutex.
func (n *Node) learnReaders(readers []*lapisv1.PeerAddress) {
	if len(readers) == 0 {
		return
	}
	n.candidates.Learn(readers, boottime.Now())
	n.learnedReaders = readers
	n.repeatPath()
}

// repeatPath makes every child session send the path and the readers again; the
// caller holds mutex.
func (n *Node) repeatPath() {
	for _, child := range n.children {
		child.pathDirty = true
		child.signal()
	}
}

// noteHolders sends the readers to the children when the set changed; the caller
// holds mutex.
func (n *Node) noteHolders(now time.Time) {
	var names strings.Builder
	for _, holder := range n.seats.Holders(seat.Prefix, now) {
		names.WriteString(holder.Peer.GetNode() + holder.Peer.GetAddress() + " ")
	}
	if names.String() != n.holderNames {
		n.holderNames = names.String()
		n.repeatPath()
	}
}
