// Package incarnation identifies the starts of an instance, which may restart under the same id. The
// name of a start combines the id and the start time, so that all code that compares names
// distinguishes the starts: registrations, drains, ejections, speed statistics of instances, the
// instances tried by a call, and announcements between daemons.
//
// One process at a time runs under an id. So what is known of one start says something about the others
// of the id on its machine:
//
//   - A later start, whether it is present or has left, ends each earlier one. Its departure says that no
//     earlier one is there, whoever tells of it (Departure.Ends).
//   - An earlier start says nothing about a later one, and its departure ends it alone.
//   - The order is that of the machine's clock, which may have been set back between two starts. An
//     incarnation that a later one ended is therefore the present one after all if its heartbeats go on for
//     longer than late ones arrive. Only a departure of its own is final.
//   - Starts that are equal or not stated have no order.
//
// All that is kept by the name of an incarnation ends with the incarnation: its registration, with calls that
// wait, limits and connections, and by the announcement without it what callers keep.
//
// The package is pure and owns no state. Invariant: instances are compared by name; an id alone is
// used only towards the instance itself and in objects written by operators.
package incarnation

import (
	"strconv"
	"strings"
)

// separator separates the id and the start time in a name.
const separator = "@"

// Incarnation is one start of an instance.
type Incarnation struct {
	ID string
	// StartUnixMillis is the start time reported by the instance, in milliseconds since 1970; 0 if it
	// reports none. Two starts of an id with the same StartUnixMillis, also 0, are not distinguished.
	StartUnixMillis uint64
}

// Name returns the name of the incarnation: its id, followed by its start time if that is reported.
func (i Incarnation) Name() string {
	if i.StartUnixMillis == 0 && !strings.Contains(i.ID, separator) {
		return i.ID
	}
	return i.ID + separator + strconv.FormatUint(i.StartUnixMillis, 10)
}

// Parse returns the incarnation of a name. A text that is not in the form of Name is taken as an id.
func Parse(name string) Incarnation {
	at := strings.LastIndex(name, separator)
	if at < 0 {
		return Incarnation{ID: name}
	}
	born, err := strconv.ParseUint(name[at+len(separator):], 10, 64)
	if err != nil {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: name[:at], StartUnixMillis: born}
}

// StartedAfter reports whether i is known to have started after other. Both must have run on the same
// machine, so that the times are of one clock.
func (i Incarnation) StartedAfter(other Incarnation) bool {
	return other.StartUnixMillis > 0 && i.StartUnixMillis > other.StartUnixMillis
}
