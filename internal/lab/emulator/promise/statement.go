package promise

import (
	"fmt"
	"time"
)

// Constants of the rate that an instance states, from the platform's rules.
const (
	// statedRateWindow is the length of the sliding windows in which deliveries are counted.
	statedRateWindow = 4 * time.Second
	// statedRateFactor and statedRateSlack bound the deliveries in a window: the stated rate times the
	// window's length times the factor, plus the slack.
	statedRateFactor = 1.5
	statedRateSlack  = 5
	// statedRateDelay is the time after which a daemon that has passed on an answer with a stated rate
	// counts as informed.
	statedRateDelay = 500 * time.Millisecond
)

// Statement is what an instance states about itself in an answer. The zero value states nothing.
type Statement struct {
	// PerSecond is the rate of requests that the instance takes from all daemons together; 0 if it
	// states none.
	PerSecond float64
	// Leaving is true if the instance is about to leave.
	Leaving bool
}

// statedInstance is the record of an instance that has stated something about itself.
type statedInstance struct {
	perSecond float64
	// limitedAt is when a daemon first passed on an answer with the rate, and endedAt when the instance
	// last ended a limit.
	limitedAt, endedAt time.Time
	// limitPassedOn and leavingPassedOn are the times at which each daemon, by its address, first passed
	// on an answer with a rate, or one with the statement that the instance leaves.
	limitPassedOn, leavingPassedOn map[string]time.Time
	// deliveries are the times of the requests of informed daemons in the last window.
	deliveries []time.Time
}

// StatementPassedOn records that the daemon of a request passed on the answer of the run that stamp
// identifies, in which the instance states something about itself.
func (l *Ledger) StatementPassedOn(request, stamp string, statement Statement, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	sent := l.requests[request]
	if statement == (Statement{}) || sent.DaemonAddress == "" || !sent.SentAt.After(l.interruptedAt[sent.DaemonAddress]) {
		return
	}
	for _, run := range l.runs[request] {
		if run.Stamp == stamp {
			l.statedInstance(run.Instance).passedOn(sent, statement, at)
		}
	}
}

// statedInstance returns the record of an instance; the caller holds mutex.
func (l *Ledger) statedInstance(instance string) *statedInstance {
	known := l.statedInstances[instance]
	if known == nil {
		known = &statedInstance{limitPassedOn: map[string]time.Time{}, leavingPassedOn: map[string]time.Time{}}
		l.statedInstances[instance] = known
	}
	return known
}

// passedOn records that the daemon of a request passed on a statement. An answer to a request that was
// sent before the instance ended a limit states nothing about a later one.
func (s *statedInstance) passedOn(sent Request, statement Statement, at time.Time) {
	daemon := sent.DaemonAddress
	if _, before := s.leavingPassedOn[daemon]; statement.Leaving && !before {
		s.leavingPassedOn[daemon] = at
	}
	if statement.PerSecond <= 0 || !sent.SentAt.After(s.endedAt) {
		return
	}
	if statement.PerSecond != s.perSecond {
		s.startLimit(statement.PerSecond, at)
	}
	if _, before := s.limitPassedOn[daemon]; !before {
		s.limitPassedOn[daemon] = at
	}
}

// startLimit starts the count anew for a limit that no daemon has passed on before.
func (s *statedInstance) startLimit(perSecond float64, at time.Time) {
	s.perSecond, s.limitedAt, s.deliveries = perSecond, at, nil
	clear(s.limitPassedOn)
}

// StatedRateEnded records that an instance states no rate any more.
func (l *Ledger) StatedRateEnded(instance string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	known := l.statedInstance(instance)
	known.startLimit(0, at)
	known.endedAt = at
}

// DaemonInterrupted records that a daemon, which is identified by its address for callers, ended or
// stood still until now: it is excused until it passes on the answer of a later request.
func (l *Ledger) DaemonInterrupted(daemon string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.interruptedAt[daemon] = time.Now()
	for _, known := range l.statedInstances {
		delete(known.limitPassedOn, daemon)
		delete(known.leavingPassedOn, daemon)
	}
}

// checkStatement checks a delivery against what the instance states. The caller holds mutex.
func (l *Ledger) checkStatement(delivery Delivery) {
	known := l.statedInstances[delivery.Instance]
	if known == nil {
		return
	}
	request := l.requests[delivery.Request]
	if at, told := known.leavingPassedOn[request.DaemonAddress]; told && request.SentAt.Sub(at) > l.bounds.DrainDelay {
		l.addBreach(Drain, delivery.Request, fmt.Sprintf("%s received the request, sent %s after its daemon passed on that the instance leaves", delivery.Instance, request.SentAt.Sub(at)))
	}
	at, told := known.limitPassedOn[request.DaemonAddress]
	if !told || delivery.At.Sub(at) < statedRateDelay || delivery.At.Sub(known.limitedAt) < l.bounds.PropagationDelay {
		return
	}
	allowed := known.perSecond*statedRateWindow.Seconds()*statedRateFactor + statedRateSlack
	if count := known.count(delivery.At); float64(count) > allowed {
		l.addBreach(Limit, delivery.Request, fmt.Sprintf("%s received %d requests in %s, allowed %g at a stated rate of %g per second", delivery.Instance, count, statedRateWindow, allowed, known.perSecond))
		known.deliveries = nil
	}
}

// count adds a delivery and returns the number of deliveries in the window that ends with it.
func (s *statedInstance) count(at time.Time) int {
	recent := 0
	for recent < len(s.deliveries) && at.Sub(s.deliveries[recent]) >= statedRateWindow {
		recent++
	}
	s.deliveries = append(s.deliveries[recent:], at)
	return len(s.deliveries)
}
