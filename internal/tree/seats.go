package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/platform"
	"github.com/lapisvane/lapisvane/internal/seat"
)

// lostSource notes that the object API is out of sight.
func (n *Node) lostSource() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sourceSeen = false
}

// observeSeats takes in seat objects, makes their holders the next candidates
// and returns the zone's vacant seats.
func (n *Node) observeSeats(objects []platform.Object) []seat.Vacancy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := time.Now()
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
	return n.seats.Vacancies(n.config.Zone, n.config.Tunables.SeatsPerZone, now)
}

// sawSource notes that the object API is in sight; the caller holds mutex.
func (n *Node) sawSource(now time.Time) {
	if !n.sourceSeen {
		n.sourceSeen = true
		n.seats.Resume(now)
	}
}

// offerVacancies invites children to take the zone's vacant seats. Only a
// reader whose own lease is good does so.
func (n *Node) offerVacancies(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.sourceSeen || n.stopping || n.lease.State(now) != seat.StateHolding {
		return
	}
	vacancies := n.seats.Vacancies(n.config.Zone, n.config.Tunables.SeatsPerZone, now)
	for _, vacancy := range vacancies {
		child := n.bestChild()
		if child == nil {
			return
		}
		child.offer = &lapisv1.SeatOffer{Seat: vacancy.Seat, Version: vacancy.Version, Epoch: vacancy.Epoch}
		child.signal()
	}
}

// bestChild returns the child with the largest subtree of the own zone, so
// that a new reader starts with a fair part of the zone below it; the caller
// holds mutex.
func (n *Node) bestChild() *childSession {
	var best *childSession
	for _, child := range n.children {
		if child.offer != nil || child.address == "" || child.zone != n.config.Zone || child.noSeat {
			continue
		}
		if best == nil || child.expected > best.expected || (child.expected == best.expected && child.node < best.node) {
			best = child
		}
	}
	return best
}
