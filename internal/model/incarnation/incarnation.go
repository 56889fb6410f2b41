// Package incarnation names the starts of an instance, which may start again under the id that it
// had. A start is known by its name, the id and the time of the start in one text, so that whatever
// compares names tells one start from another: registrations, drains, ejections, what is known of an
// instance's speed, the instances that a call was at, announcements between daemons.
//
// The package is pure and owns no state. What must hold: "the same instance" is asked of names, and
// an id alone is used only towards the instance itself and in what operators write.
package incarnation

import (
	"strconv"
	"strings"
)

// separator stands between the id and the start in a name.
const separator = "@"

// Incarnation is one start of an instance.
type Incarnation struct {
	ID string
	// Born is when it started, in milliseconds since 1970, as the instance states it; 0 where it
	// does not. Two starts of an id that state none, or the same one, are not told apart.
	Born uint64
}

// Name returns what the incarnation is known by: its id, and its start where that is stated.
func (i Incarnation) Name() string {
	if i.Born == 0 && !strings.Contains(i.ID, separator) {
		return i.ID
	}
	return i.ID + separator + strconv.FormatUint(i.Born, 10)
}

// Parse returns the incarnation of a name; a text that Name does not return is taken as an id.
func Parse(name string) Incarnation {
	at := strings.LastIndex(name, separator)
	if at < 0 {
		return Incarnation{ID: name}
	}
	born, err := strconv.ParseUint(name[at+len(separator):], 10, 64)
	if err != nil {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: name[:at], Born: born}
}

// StartedAfter reports whether i is known to have started after other. Both are of one machine, whose
// clock gave both times.
func (i Incarnation) StartedAfter(other Incarnation) bool {
	return other.Born > 0 && i.Born > other.Born
}
