package origin

import "time"

// This file holds the rules on which incarnation of an instance is there: what a heartbeat counts
// for, which instance holds an address, and when an instance is dropped. A restarted instance has a
// new id at the same address, or the same id and a later start; heartbeats may be held up, and a
// daemon that has started anew knows none of the earlier incarnations. All of it is pure.

// heartbeatKind is what a heartbeat counts for.
type heartbeatKind int

const (
	// heartbeatOfWithdrawn: its instance left for good; it counts for nothing.
	heartbeatOfWithdrawn heartbeatKind = iota
	// heartbeatOfKnown: its instance is known.
	heartbeatOfKnown
	// heartbeatOfEarlier: it was held up, and is of an earlier incarnation at an address that
	// another instance holds; it counts for nothing.
	heartbeatOfEarlier
	// heartbeatOfNew: it registers a new instance, which replaces any other at its address.
	heartbeatOfNew
)

// incarnationConflicts is what is known of other incarnations with the id or the address of a heartbeat.
type incarnationConflicts struct {
	// laterStartPresent is true where one that started later is present, and addressHeld where one of which the
	// order of starts is not known holds the address or the id (holdsAddress).
	laterStartPresent, addressHeld bool
	// holder is the name of that one, for the log.
	holder string
}

// kindOfHeartbeat returns what a heartbeat counts for. left and known tell whether its incarnation
// left for good and is known, others what is known of its rivals, and sequence is its number from
// the start on.
//
// The conditions are looked at in the order of the code. Where starts are stated they decide, while
// the later one is present: after that the clock was set back, or the later one is gone. Where they
// are not, an unknown instance whose heartbeat is not its first is an earlier one, which this daemon
// has forgotten: the address stays with its holder. If it is the later one after all, because its
// first heartbeat was lost, it is accepted once the other is not present any more.
func kindOfHeartbeat(withdrawn, known bool, conflicts incarnationConflicts, sequence uint64) heartbeatKind {
	switch {
	case withdrawn:
		return heartbeatOfWithdrawn
	case known:
		return heartbeatOfKnown
	case conflicts.laterStartPresent:
		return heartbeatOfEarlier
	case conflicts.addressHeld && sequence > 1:
		return heartbeatOfEarlier
	default:
		return heartbeatOfNew
	}
}

// holdsAddress reports whether an instance whose newest heartbeat is so old holds its address: it
// is present and takes work, or would but for an evacuation of its zone.
func holdsAddress(heartbeatAge time.Duration, state State, reasons map[DrainReason]bool) bool {
	if !isPresent(heartbeatAge) {
		return false
	}
	return state == StateReady || (reasons[DrainEvacuated] && !reasons[DrainInstance] && !reasons[DrainReplaced])
}

// shouldDrop reports whether an instance that registered is to be dropped: it left for good and no
// call of it is in flight, or it is down and was silent for long. One that drains for another reason
// stays, however long it is silent, because it may be resumed.
func shouldDrop(heartbeatAge time.Duration, state State, reasons map[DrainReason]bool) bool {
	switch state {
	case StateDrained:
		return reasons[DrainInstance] || reasons[DrainReplaced]
	case StateDown:
		return isExpired(heartbeatAge)
	default:
		return false
	}
}
