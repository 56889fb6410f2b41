// Package incarnation identifies the starts of an instance, which may restart under the same id. The
// name of a start combines the id and the start time, so that all code that compares names
// distinguishes the starts: registrations, drains, ejections, speed statistics of instances, the
// instances tried by a call, and announcements between daemons.
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
