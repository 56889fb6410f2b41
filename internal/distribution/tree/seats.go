package tree

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/membership"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

func (n *Node) markStoreUnreachable() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.storeReachable = false
}

// logStoreError logs the failure of a request to the object API; such requests are retried.
func (n *Node) logStoreError(request string, err error) {
	n.config.Logger.V(1).Info("source.request_failed", "request", request, "error", err)
}

// markStoreReachable restarts the observation of all leases after an outage of the object API; the
// caller holds mutex.
func (n *Node) markStoreReachable(now time.Time) {
	if !n.storeReachable {
		n.storeReachable = true
		n.seats.RestartLeases(now)
	}
}

// observeSeat records a seat from a watch event and sends the readers to the children if they have
// changed.
func (n *Node) observeSeat(object objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.recordSeat(object, now)
	n.sendChangedReaders(now)
}

func (n *Node) observeAllSeats(objects []objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.recordSeats(objects, boottime.Now())
}

// findReaders records the seats of a list, makes the zone's readers the next parent candidates and
// returns the zone's vacant seats.
func (n *Node) findReaders(objects []objectapi.Object) []seat.Vacancy {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.recordSeats(objects, now)
	var peers []*lapisv1.PeerAddress
	for _, holder := range n.seats.Holders(seat.ZonePrefix(n.config.Zone), now) {
		if holder.Peer.GetNode() != n.config.Node {
			peers = append(peers, holder.Peer)
		}
	}
	n.candidates.Redirect(peers, now)
	return n.seats.Vacancies(n.config.Zone, n.config.Node, n.config.Tunables.SeatsPerZone, now)
}

// recordSeats records the seats of a list that was just read; the caller holds mutex.
func (n *Node) recordSeats(objects []objectapi.Object, now time.Time) {
	n.markStoreReachable(now)
	for _, object := range objects {
		n.recordSeat(object, now)
	}
}

// recordSeat records one seat; the caller holds mutex. For a seat that cannot be decoded, the last
// known value is kept.
func (n *Node) recordSeat(object objectapi.Object, now time.Time) {
	if err := n.seats.Observe(object, now); err != nil {
		n.logStoreError("reading "+object.Key, err)
	}
}

// knownReaders returns the known readers: those of the own zone and a few of other zones, with
// those of the own region first. The caller holds mutex.
func (n *Node) knownReaders() []*lapisv1.PeerAddress {
	if !n.reader {
		return n.learnedReaders
	}
	var readers []*lapisv1.PeerAddress
	for _, holder := range n.seats.Holders(seat.Prefix, boottime.Now()) {
		readers = append(readers, holder.Peer)
	}
	return membership.SelectReaders(readers, n.config.Zone, n.config.Region, rand.Shuffle)
}

// zoneReaders returns the known readers of the own zone in random order; the caller holds mutex.
func (n *Node) zoneReaders() []*lapisv1.PeerAddress {
	own := slices.DeleteFunc(slices.Clone(n.knownReaders()), func(reader *lapisv1.PeerAddress) bool {
		return reader.GetZone() != n.config.Zone
	})
	rand.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	return own
}

// learnReaders records the readers listed by the parent and forwards them to the children; the
// caller holds mutex.
func (n *Node) learnReaders(readers []*lapisv1.PeerAddress) {
	if len(readers) == 0 {
		return
	}
	n.candidates.Learn(readers, boottime.Now())
	n.learnedReaders = readers
	n.resendPath()
}

// resendPath makes the senders send the path and the readers to every child again; the caller holds
// mutex.
func (n *Node) resendPath() {
	for _, child := range n.children {
		child.pathDirty = true
		child.signal()
	}
}

// sendChangedReaders sends the readers to the children if they have changed; the caller holds
// mutex.
func (n *Node) sendChangedReaders(now time.Time) {
	var names strings.Builder
	for _, holder := range n.seats.Holders(seat.Prefix, now) {
		names.WriteString(holder.Peer.GetNode() + holder.Peer.GetAddress() + " ")
	}
	if names.String() != n.sentReaders {
		n.sentReaders = names.String()
		n.resendPath()
	}
}

// offerVacancies offers each vacant seat to one child of its zone. It offers nothing while the
// object API cannot be read, because a missing renewal then does not prove that a seat is vacant;
// while this node is stopping; and while its own lease has lapsed, because its view of the seats
// may be equally outdated.
func (n *Node) offerVacancies(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.storeReachable || n.stopping || n.lease.State(now) != seat.StateHolding {
		return
	}
	n.sendChangedReaders(now)
	zones := map[string]bool{n.config.Zone: true}
	for _, child := range n.children {
		zones[child.zone] = true
	}
	for zone := range zones {
		for _, vacancy := range n.seats.Vacancies(zone, "", n.config.Tunables.SeatsPerZone, now) {
			child := n.bestReaderCandidate(zone)
			if child == nil {
				break
			}
			child.offer = &lapisv1.SeatOffer{Seat: vacancy.Seat, Version: vacancy.Version, Epoch: vacancy.Epoch}
			child.signal()
		}
	}
}

// bestReaderCandidate returns the child of a zone that should become a reader, nil when there is
// none; the caller holds mutex.
func (n *Node) bestReaderCandidate(zone string) *childSession {
	sessions, children := n.reachableChildren()
	index, found := membership.BestReader(children, zone)
	if !found {
		return nil
	}
	return sessions[index]
}

// redirectToHomeZone makes the children of other zones join a reader of their own zone as soon as
// there is one. It does nothing while the object API cannot be read, because the current readers
// are then unknown.
func (n *Node) redirectToHomeZone(now time.Time) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.storeReachable {
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
		child.homeZoneReaders = nil
		for _, holder := range home {
			child.homeZoneReaders = append(child.homeZoneReaders, holder.Peer)
		}
		child.evict = true
		child.signal()
	}
}
