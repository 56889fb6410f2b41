package tree

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// lostSource notes that the object API cannot be read.
func (n *Node) lostSource() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.sourceSeen = false
}

// logSourceError writes why a request to the object API failed. The requests are
// repeated, so the line is for debugging only.
func (n *Node) logSourceError(request string, err error) {
	n.config.Logger.V(1).Info("source.request_failed", "request", request, "error", err)
}

// sawSource notes that the object API can be read; the caller holds mutex.
func (n *Node) sawSource(now time.Time) {
	if !n.sourceSeen {
		n.sourceSeen = true
		n.seats.Resume(now)
	}
}

// observeSeat records one seat as a watch event shows it.
func (n *Node) observeSeat(object objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.recordSeat(object, now)
	n.noteHolders(now)
}

// observeAllSeats records the seats of a list.
func (n *Node) observeAllSeats(objects []objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.recordSeats(objects, boottime.Now())
}

// findReaders records the seats of a list, makes the zone's readers the next
// candidates and returns the zone's vacant seats.
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

// recordSeats records a list of seats; the caller holds mutex.
func (n *Node) recordSeats(objects []objectapi.Object, now time.Time) {
	n.sawSource(now)
	for _, object := range objects {
		n.recordSeat(object, now)
	}
}

// recordSeat records one seat; the caller holds mutex. A seat that cannot be decoded
// keeps what was last known of it.
func (n *Node) recordSeat(object objectapi.Object, now time.Time) {
	if err := n.seats.Observe(object, now); err != nil {
		n.logSourceError("reading "+object.Key, err)
	}
}
