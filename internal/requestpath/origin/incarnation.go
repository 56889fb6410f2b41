package origin

import "time"

// This file holds the rules that classify a heartbeat, and that decide which instance holds an
// address and when an instance is dropped. A restarted instance has a new ID at the same address,
// or the same ID and a later start time. Heartbeats may be delayed, and a restarted daemon knows
// none of the earlier incarnations. All functions are pure.

// heartbeatKind is the class of a heartbeat.
type heartbeatKind int

const (
	// heartbeatOfWithdrawn: the instance left permanently, or is known and was ended by a later incarnation; the
	// heartbeat is ignored.
	heartbeatOfWithdrawn heartbeatKind = iota
	// heartbeatOfKnown: the instance is known.
	heartbeatOfKnown
	// heartbeatOfEarlier: a delayed heartbeat of an earlier incarnation, whose address or ID
	// another instance holds now; it is ignored.
	heartbeatOfEarlier
	// heartbeatOfNew: it registers a new instance, which replaces any other at its address.
	heartbeatOfNew
)

// incarnationConflicts describes other incarnations with the ID or the address of a heartbeat.
type incarnationConflicts struct {
	// laterStartPresent is true if an incarnation that started later is present, or if this one may be over by a
	// departure and its heartbeats have not continued since (hasContinuedAfter). addressHeld is true if one that
	// cannot be ordered by its start holds the address or the ID (holdsAddress).
	laterStartPresent, addressHeld bool
	// holder is the name of that incarnation, for the log.
	holder string
}

// kindOfHeartbeat classifies a heartbeat. ended and known state whether its incarnation left permanently or was
// ended by a later one, and whether it is known, conflicts describes other incarnations, and sequence is the number
// of the heartbeat since the start of its instance.
//
// The conditions apply in the order of the code. Start times, if stated, decide while the later
// incarnation is present. After that either the later incarnation has ended, or the clock was set
// back and its start was the earlier one. Without start times, an unknown instance whose heartbeat
// is not its first counts as an earlier one that this daemon has forgotten, and the address stays
// with its holder. If it is the later one after all, because its first heartbeat was lost, it is
// accepted once the other is no longer present.
func kindOfHeartbeat(ended, known bool, conflicts incarnationConflicts, sequence uint64) heartbeatKind {
	switch {
	case ended:
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

// holdsAddress reports whether an instance holds its address, given the age of its latest
// heartbeat: it must be present, and either ready or only prevented from that by an evacuation of
// its zone.
func holdsAddress(heartbeatAge time.Duration, state State, reasons map[DrainReason]bool) bool {
	if !isPresent(heartbeatAge) {
		return false
	}
	isLeaving := reasons[DrainInstance] || reasons[DrainReplaced] || reasons[DrainSuspended]
	return state == StateReady || (reasons[DrainEvacuated] && !isLeaving)
}

// shouldDrop reports whether to drop a registered instance: it left permanently and has no call in
// flight, or it is down or suspended and has been silent for longer than silentInstanceTTL. An instance
// that drains for another reason stays, however long it is silent, because it may be resumed.
func shouldDrop(heartbeatAge time.Duration, state State, reasons map[DrainReason]bool) bool {
	switch state {
	case StateDrained:
		return reasons[DrainInstance] || reasons[DrainReplaced] || (reasons[DrainSuspended] && isExpired(heartbeatAge))
	case StateDown:
		return isExpired(heartbeatAge)
	default:
		return false
	}
}
