package incarnation

import (
	"strconv"
	"strings"
)

// untilPrefix precedes the time in the name of a Departure that covers all incarnations until then.
const untilPrefix = "until-"

// Departure is what a message says that has left for good: one incarnation, or, because the message states no
// start and nothing is known of the instance, each incarnation that the message may come from.
type Departure struct {
	// Incarnation is the one that left. If Until is true, it is the latest that may have left: all
	// incarnations of its ID that started at its StartUnixMillis or before have left.
	Incarnation
	Until bool
}

// Name returns the name of the departure. That of a single incarnation is the incarnation's.
func (d Departure) Name() string {
	if !d.Until {
		return d.Incarnation.Name()
	}
	return d.ID + separator + untilPrefix + strconv.FormatUint(d.StartUnixMillis, 10)
}

// ParseDeparture returns the departure of a name.
func ParseDeparture(name string) Departure {
	at := strings.LastIndex(name, separator+untilPrefix)
	if at < 0 {
		return Departure{Incarnation: Parse(name)}
	}
	until, err := strconv.ParseUint(name[at+len(separator+untilPrefix):], 10, 64)
	if err != nil {
		return Departure{Incarnation: Parse(name)}
	}
	return Departure{Incarnation: Incarnation{ID: name[:at], StartUnixMillis: until}, Until: true}
}

// Covers reports whether an incarnation has left with the departure. One without a start may be any of its ID, and
// so the one that left. The times must be of one clock, that of the machine. If that clock was set back since the
// departure, an incarnation that started since is covered too.
func (d Departure) Covers(i Incarnation) bool {
	switch {
	case i.ID != d.ID:
		return false
	case i.StartUnixMillis == 0:
		return true
	case d.Until:
		return i.StartUnixMillis <= d.StartUnixMillis
	default:
		return i == d.Incarnation
	}
}

// Ends reports whether the departure says that an incarnation is not there any more: it left with it, or is
// earlier than the one that left. See the package comment.
func (d Departure) Ends(i Incarnation) bool {
	return d.Covers(i) || (i.ID == d.ID && d.StartedAfter(i))
}
