package promise

import (
	"fmt"
	"time"
)

// Bounds of what ends the instances that run it.
const (
	// poisonEnds is the number of ended instances from which the system must know.
	poisonEnds = 3
	// poisonLater is the number of times that instances may get it after the system must
	// know.
	poisonLater = 3
)

// poison is what is known of requests that ask for the same and end each instance that
// runs them.
type poison struct {
	// ended are the instances that ended under it, provenAt is when the last of the first
	// poisonEnds did, and later counts what came when the system had to know.
	ended    map[string]bool
	provenAt time.Time
	later    int
}

// Ended notes that an instance ended because it ran a request that asks for what name says.
func (l *Ledger) Ended(name, instance string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.poison[name]
	if known == nil {
		known = &poison{ended: map[string]bool{}}
		l.poison[name] = known
	}
	known.ended[instance] = true
	if len(known.ended) == poisonEnds && known.provenAt.IsZero() {
		known.provenAt = at
	}
}

// EndedUnder returns the number of instances that ended under such a request.
func (l *Ledger) EndedUnder(name string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.poison[name]; known != nil {
		return len(known.ended)
	}
	return 0
}

// Disturbed notes that daemons ended or were cut off until now: what they send on before
// they are in touch again does not count.
func (l *Ledger) Disturbed(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbedAt = at
}

// checkDeadly checks that a request under which enough instances ended is held back. The
// caller holds mutex.
func (l *Ledger) checkDeadly(arrival Arrival) {
	known := l.poison[arrival.Poison]
	if arrival.Poison == "" || known == nil || known.provenAt.IsZero() {
		return
	}
	if arrival.At.Sub(known.provenAt) <= l.bounds.Contact || arrival.At.Sub(l.disturbedAt) <= l.bounds.Contact {
		return
	}
	known.later++
	if known.later == poisonLater+1 {
		l.note(Budget, arrival.Request, fmt.Sprintf("%s got it although %d instances had ended under %s", arrival.Instance, len(known.ended), arrival.Poison))
	}
}
