package promise

import (
	"fmt"
	"time"
)

const (
	// poisonProof is the number of crashes from which on the system must hold a poison request
	// back, and poisonAllowance how often instances may get it after that all the same.
	poisonProof     = 3
	poisonAllowance = 3
)

// poison is what is known of a poison request, under which each instance that runs it crashes.
type poison struct {
	// crashed are the instances that crashed under it, provenAt is when poisonProof of them had,
	// and afterProof counts the deliveries that the system had to hold back.
	crashed    map[string]bool
	provenAt   time.Time
	afterProof int
}

// CrashedUnder records that an instance crashed under the poison request of a name.
func (l *Ledger) CrashedUnder(name, instance string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.poison[name]
	if known == nil {
		known = &poison{crashed: map[string]bool{}}
		l.poison[name] = known
	}
	known.crashed[instance] = true
	if len(known.crashed) == poisonProof && known.provenAt.IsZero() {
		known.provenAt = at
	}
}

// CrashesUnder returns the number of instances that crashed under the poison request of a name.
func (l *Ledger) CrashesUnder(name string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.poison[name]; known != nil {
		return len(known.crashed)
	}
	return 0
}

// DaemonsDisturbed records that daemons ended or were cut off until now: what they send before they
// are in touch again does not count.
func (l *Ledger) DaemonsDisturbed(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbedAt = at
}

// checkPoison checks that a poison request is held back after poisonProof crashes; the caller holds
// mutex.
func (l *Ledger) checkPoison(delivery Delivery) {
	known := l.poison[delivery.Poison]
	if delivery.Poison == "" || known == nil || known.provenAt.IsZero() {
		return
	}
	if delivery.At.Sub(known.provenAt) <= l.bounds.Contact || delivery.At.Sub(l.disturbedAt) <= l.bounds.Contact {
		return
	}
	known.afterProof++
	if known.afterProof == poisonAllowance+1 {
		l.note(Budget, delivery.Request, fmt.Sprintf("%s got it although %d instances had ended under %s", delivery.Instance, len(known.crashed), delivery.Poison))
	}
}
