package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
)

// offerVacancies invites children to take vacant seats of their zones, one child for each
// seat. It offers nothing while the object API cannot be read, because silence of a holder
// proves nothing then; while this node is stopping; and while its own lease has lapsed,
// because what it knows of the seats may be as old.
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

// bestChild returns the child of a zone that should become a reader, nil when there
// is none; the caller holds mutex.
func (n *Node) bestChild(zone string) *childSession {
	sessions, children := n.reachableChildren()
	index, found := membership.BestReader(children, zone)
	if !found {
		return nil
	}
	return sessions[index]
}

// sendHome makes the children of other zones whose zone has a reader again join that
// reader. Only while the object API can be read is it known who is a reader.
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
		child.homeReaders = nil
		for _, holder := range home {
			child.homeReaders = append(child.homeReaders, holder.Peer)
		}
		child.expel = true
		child.signal()
	}
}
