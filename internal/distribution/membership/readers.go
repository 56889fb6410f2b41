package membership

import (
	"cmp"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

const (
	// maxForeignReaders is the number of readers of other zones that are named to a daemon. It must
	// be large enough that at least one remains when a whole zone is lost.
	maxForeignReaders = 4
	// initialSeatWindow is the number of machines, by rank, that may try to take a seat in the
	// first round without a parent. It must be larger than the number of seats of a zone, because a
	// listed machine may be dead.
	initialSeatWindow = 3
	// maxSeatWindowDoublings keeps the window from overflowing. The window is larger than any zone
	// by then.
	maxSeatWindowDoublings = 16
)

// Rank returns the position of node among the live machines of its zone in the order in which they
// may become readers of seat, and the number of live machines. All daemons with the same list
// compute the same order.
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

// MayTakeSeat reports whether a daemon of the given rank, counted from 0, may try to take a vacant
// seat after a number of rounds without a parent. The window doubles each round: a list full of
// dead machines delays the takeover only briefly, and thousands of daemons do not try at once.
func MayTakeSeat(rank, rounds int) bool {
	return rank < initialSeatWindow<<min(rounds, maxSeatWindowDoublings)
}

// BestReader returns the index of the child that should take a vacant seat of zone. It is the one
// with the largest subtree, so that the new reader already serves a large part of the zone.
// Children that may not take a seat or are being offered one are left out. found is false if none
// remains.
func BestReader(children []Child, zone string) (index int, found bool) {
	for candidate, child := range children {
		if child.Offered || child.NoSeat || child.Zone != zone {
			continue
		}
		if !found || hasLargerSubtree(child, children[index]) {
			index, found = candidate, true
		}
	}
	return index, found
}

// hasLargerSubtree reports whether a has the larger subtree. Ties go to the smaller name.
func hasLargerSubtree(a, b Child) bool {
	return cmp.Or(-cmp.Compare(a.Expected, b.Expected), cmp.Compare(a.Node, b.Node)) < 0
}

// SelectReaders returns the readers that a daemon of the given zone and region names to its
// children: all readers of its zone, then at most maxForeignReaders of other zones, those of its
// region first. shuffle spreads the load over the foreign readers.
func SelectReaders(readers []*lapisv1.PeerAddress, zone, region string, shuffle func(n int, swap func(i, j int))) []*lapisv1.PeerAddress {
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
