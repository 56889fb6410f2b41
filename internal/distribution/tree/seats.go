package tree

import (
	"math/rand/v2"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// lostSource notes that the object API is out of sight.
func (n *Node) lostSource() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sourceSeen = false
}

// observeSeats takes in seat objects, makes their holders the next candidates
// and returns the zone's vacant seats.
func (n *Node) observeSeats(objects []objectapi.Object) []seat.Vacancy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.sawSource(now)
	for _, object := range objects {
		n.seats.Observe(object, now)
	}
	var peers []*lapisv1.PeerAddress
	for _, holder := range n.seats.Holders(seat.ZonePrefix(n.config.Zone), now) {
		if holder.Peer.GetNode() != n.config.Node {
			peers = append(peers, holder.Peer)
		}
	}
	n.candidates.Redirect(peers, now)
	return n.seats.Vacancies(n.config.Zone, n.config.Node, n.config.Tunables.SeatsPerZone, now)
}

// sawSource notes that the object API is in sight; the caller holds mutex.
func (n *Node) sawSource(now time.Time) {
	if !n.sourceSeen {
		n.sourceSeen = true
		n.seats.Resume(now)
	}
}

// maxForeignReaders bounds the readers of other zones that a daemon is told of.
const maxForeignReaders = 4

// knownReaders returns the readers of the zone, and a few of other zones, those
// of the own region first, as far as they are known; the caller holds mutex.
func (n *Node) knownReaders() []*lapisv1.PeerAddress {
	if !n.reader {
		return n.learnedReaders
	}
	var own, near, far []*lapisv1.PeerAddress
	for _, holder := range n.seats.Holders(seat.Prefix, boottime.Now()) {
		switch {
		case holder.Peer.GetZone() == n.config.Zone:
			own = append(own, holder.Peer)
		case holder.Peer.GetRegion() == n.config.Region:
			near = append(near, holder.Peer)
		default:
			far = append(far, holder.Peer)
		}
	}
	shuffle(near)
	shuffle(far)
	foreign := append(near, far...)
	return append(own, foreign[:min(len(foreign), maxForeignReaders)]...)
}

// ownReaders returns the known readers of the own zone in random order; the
// caller holds mutex.
func (n *Node) ownReaders() []*lapisv1.PeerAddress {
	var own []*lapisv1.PeerAddress
	for _, peer := range n.knownReaders() {
		if peer.GetZone() == n.config.Zone {
			own = append(own, peer)
		}
	}
	shuffle(own)
	return own
}

// learnReaders takes in the readers that the parent named and passes them on;
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

// noteHolders tells the children when the set of readers changed; the caller
// holds mutex.
func (n *Node) noteHolders(now time.Time) {
	names := ""
	for _, holder := range n.seats.Holders(seat.Prefix, now) {
		names += holder.Peer.GetNode() + holder.Peer.GetAddress() + " "
	}
	if names != n.holderNames {
		n.holderNames = names
		n.repeatPath()
	}
}

func shuffle(peers []*lapisv1.PeerAddress) {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// offerVacancies invites children to take vacant seats of their zones. Only a
// reader whose own lease is good does so.
func (n *Node) offerVacancies(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.sourceSeen || n.stopping || n.lease.State(now) != seat.StateHolding {
		return
	}
	n.noteHolders(now)
	zones := map[string]bool{n.config.Zone: true}
	for _, child := range n.children {
		zones[child.zone] = true
	}
	for zone := range zones {
		for _, vacancy := range n.seats.Vacancies(zone, "", n.config.Tunables.SeatsPerZone, now) {
			child := n.bestChild(zone)
			if child == nil {
				break
			}
			child.offer = &lapisv1.SeatOffer{Seat: vacancy.Seat, Version: vacancy.Version, Epoch: vacancy.Epoch}
			child.signal()
		}
	}
}

// bestChild returns the child of a zone with the largest subtree, so that a new
// reader starts with a fair part of the zone below it; the caller holds mutex.
func (n *Node) bestChild(zone string) *childSession {
	var best *childSession
	for _, child := range n.children {
		if child.offer != nil || child.address == "" || child.zone != zone || child.noSeat {
			continue
		}
		if best == nil || child.expected > best.expected || (child.expected == best.expected && child.node < best.node) {
			best = child
		}
	}
	return best
}

// sendHome lets children of other zones go once their zone has a reader again.
func (n *Node) sendHome(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.sourceSeen {
		return
	}
	for _, child := range n.children {
		if child.zone == n.config.Zone {
			continue
		}
		home := n.seats.Holders(seat.ZonePrefix(child.zone), now)
		if len(home) == 0 {
			continue
		}
		child.goHome = nil
		for _, holder := range home {
			child.goHome = append(child.goHome, holder.Peer)
		}
		child.expel = true
		child.signal()
	}
}
