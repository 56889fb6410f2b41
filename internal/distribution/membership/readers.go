package membership

import (
	"cmp"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

const (
	// maxForeignReaders is the number of readers of other zones that are named to a daemon. It is
	// at least one must be left when a whole zone is lost.
	maxForeignReaders = 4
	// firstWindow is the number of machines, by rank, that may try for a seat in the first round
	// without a parent. It must be larger than the seats of a zone, so that the list may hold a
	// dead machine.
	firstWindow = 3
	// maxWindowDoublings keeps the window from overflowing; it is then larger than any zone.
	maxWindowDoublings = 16
)

// Rank returns the position of node among the live machines of its zone in the
// order in which they may become readers of seat, and the number of machines.
// All daemons with the same list compute the same order.
func Rank(machines []objectapi.Machine, node, seat string) (rank, total int) {
	own := rendezvous.Score(seat, node)
	for _, machine := range machines {
		if machine.State != objectapi.MachineLive {
			continue
		}
		total++
		if machine.Node != node && rendezvous.Score(seat, machine.Node) > own {
			rank++
		}
	}
	return rank, total
}

// MayTakeSeat reports whether a daemon of the given rank, counted from 0, may try for a
// vacant seat after so many rounds without a parent. The window doubles each round, so
// that a list full of dead machines delays the takeover only a little while thousands
// of daemons never try at once.
func MayTakeSeat(rank, rounds int) bool {
	return rank < firstWindow<<min(rounds, maxWindowDoublings)
}

// BestReader returns the index of the child that should take a vacant seat of zone:
// the one with the largest subtree, so that a new reader starts with a fair part of the
// zone below it. Children that may not or are being offered a seat are left out; found
// is false when none remains.
func BestReader(children []Child, zone string) (index int, found bool) {
	for candidate, child := range children {
		if child.Offered || child.NoSeat || child.Zone != zone {
			continue
		}
		if !found || largerSubtree(child, children[index]) {
			index, found = candidate, true
		}
	}
	return index, found
}

// largerSubtree reports whether a has more nodes than b, or as many and the smaller name.
func largerSubtree(a, b Child) bool {
	return cmp.Or(-cmp.Compare(a.Expected, b.Expected), cmp.Compare(a.Node, b.Node)) < 0
}

// ReadersToName returns the readers that a daemon of the given zone and region names to
// its children: all of its zone, then at most maxForeignReaders of other zones, those of its
// region first. shuffle spreads the load over the foreign ones.
func ReadersToName(readers []*lapisv1.PeerAddress, zone, region string, shuffle func(n int, swap func(i, j int))) []*lapisv1.PeerAddress {
	var own, near, far []*lapisv1.PeerAddress
	for _, reader := range readers {
		switch {
		case reader.GetZone() == zone:
			own = append(own, reader)
		case reader.GetRegion() == region:
			near = append(near, reader)
		default:
			far = append(far, reader)
		}
	}
	shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	foreign := append(near, far...)
	return append(own, foreign[:min(len(foreign), maxForeignReaders)]...)
}
