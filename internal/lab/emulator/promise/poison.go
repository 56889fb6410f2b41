package promise

import (
	"fmt"
	"time"
)

const (
	// poisonCrashThreshold is the number of crashes after which the system must hold a poison request
	// back, maxLatePoisonDeliveries the number of deliveries that are tolerated after that.
	poisonCrashThreshold    = 3
	maxLatePoisonDeliveries = 3
)

// poisonRequest is the record of a poison request, under which each instance that runs it crashes.
type poisonRequest struct {
	// crashedInstances are the instances that crashed under the request, thresholdReachedAt is the time
	// of crash number poisonCrashThreshold, and lateDeliveries counts the deliveries after that, which
	// the system should have held back.
	crashedInstances   map[string]bool
	thresholdReachedAt time.Time
	lateDeliveries     int
}

// CrashedUnder records that an instance crashed under the poison request with the given name.
func (l *Ledger) CrashedUnder(name, instance string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.poisonRequests[name]
	if known == nil {
		known = &poisonRequest{crashedInstances: map[string]bool{}}
		l.poisonRequests[name] = known
	}
	known.crashedInstances[instance] = true
	if len(known.crashedInstances) == poisonCrashThreshold && known.thresholdReachedAt.IsZero() {
		known.thresholdReachedAt = at
	}
}

// CrashesUnder returns the number of instances that crashed under the poison request with the given
// name.
func (l *Ledger) CrashesUnder(name string) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if known := l.poisonRequests[name]; known != nil {
		return len(known.crashedInstances)
	}
	return 0
}

// DaemonsDisturbed records that daemons were stopped or disconnected until now. Poison requests that
// they deliver within Bounds.PropagationDelay after that do not count, since daemons have to exchange
// their state first.
func (l *Ledger) DaemonsDisturbed(at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.disturbedAt = at
}

// checkPoison checks that a poison request is held back after poisonCrashThreshold crashes. The caller
// holds mutex.
func (l *Ledger) checkPoison(delivery Delivery) {
	known := l.poisonRequests[delivery.Poison]
	if delivery.Poison == "" || known == nil || known.thresholdReachedAt.IsZero() {
		return
	}
	if delivery.At.Sub(known.thresholdReachedAt) <= l.bounds.PropagationDelay || delivery.At.Sub(l.disturbedAt) <= l.bounds.PropagationDelay {
		return
	}
	known.lateDeliveries++
	if known.lateDeliveries == maxLatePoisonDeliveries+1 {
		l.addBreach(Budget, delivery.Request, fmt.Sprintf("%s received the request although %d instances had crashed under poison request %s", delivery.Instance, len(known.crashedInstances), delivery.Poison))
	}
}
