package promise

import (
	"fmt"
	"slices"
	"time"
)

// Delivery is a request that reached the instance it was addressed to.
type Delivery struct {
	Request  string
	Instance string
	Zone     string
	Region   string
	// Cold is true when the instance is in slow start and daemons have had time to learn of it.
	Cold bool
	// Poison is the name of the poison request, under which each instance that runs it crashes; empty
	// for an ordinary request.
	Poison string
	At     time.Time
}

// Evacuated records when the store acknowledged the order to evacuate a zone.
func (l *Ledger) Evacuated(zone string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.evacuatedAt[zone] = at
}

// EvacuationEnded records the end of a zone's evacuation.
func (l *Ledger) EvacuationEnded(zone string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.evacuatedAt, zone)
}

// StoreUnavailable records the start of a store outage: daemons cannot receive orders until
// StoreAvailable.
func (l *Ledger) StoreUnavailable() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeOutages++
}

// StoreAvailable records the end of a store outage; daemons must know all orders by syncedBy.
func (l *Ledger) StoreAvailable(syncedBy time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeOutages--
	l.syncedBy = syncedBy
}

// Delivered records a delivery and checks that the request was allowed to reach the instance.
func (l *Ledger) Delivered(delivery Delivery) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEvacuation(delivery)
	l.checkRegion(delivery)
	l.checkCold(delivery)
	l.checkPoison(delivery)
	l.checkStatement(delivery)
}

// checkEvacuation checks that the instance's zone is not evacuated. During a store outage daemons
// cannot receive the order, so a delivery is never late then. The caller holds mutex.
func (l *Ledger) checkEvacuation(delivery Delivery) {
	since, evacuated := l.evacuatedAt[delivery.Zone]
	if l.bounds.EvacuationDelay == 0 || !evacuated || l.storeOutages > 0 {
		return
	}
	if l.syncedBy.After(since) {
		since = l.syncedBy
	}
	if late := delivery.At.Sub(since); late > l.bounds.EvacuationDelay {
		l.addBreach(Evacuation, delivery.Request, fmt.Sprintf("%s in zone %s received the request %s after the evacuation order", delivery.Instance, delivery.Zone, late))
	}
}

// checkRegion checks that the instance is in a region that the request's route allows. The caller
// holds mutex.
func (l *Ledger) checkRegion(delivery Delivery) {
	allowed := l.requests[delivery.Request].AllowedRegions
	if len(allowed) > 0 && !slices.Contains(allowed, delivery.Region) {
		l.addBreach(Home, delivery.Request, fmt.Sprintf("%s in region %s received the request, allowed regions: %v", delivery.Instance, delivery.Region, allowed))
	}
}

// checkCold checks the request rate of a cold instance. The window is reset after a breach, so that
// one burst is reported once. The caller holds mutex.
func (l *Ledger) checkCold(delivery Delivery) {
	if l.bounds.MaxColdPerSecond == 0 || !delivery.Cold {
		return
	}
	if l.coldDeliveries[delivery.Instance] == nil {
		l.coldDeliveries[delivery.Instance] = &RateWindow{}
	}
	window := l.coldDeliveries[delivery.Instance]
	if count := window.Add(delivery.At); float64(count) > l.bounds.MaxColdPerSecond {
		l.addBreach(Failback, delivery.Request, fmt.Sprintf("cold instance %s received %d requests in a second, limit %g", delivery.Instance, count, l.bounds.MaxColdPerSecond))
		window.Reset()
	}
}

// RateWindow counts events in a sliding window of one second. It is not safe for concurrent use.
type RateWindow struct{ times []time.Time }

// Add adds an event and returns the number of events in the second that ends with it.
func (s *RateWindow) Add(at time.Time) int {
	s.times = append(s.times, at)
	return s.Count(at)
}

// Count returns the number of events in the second that ends at the given time.
func (s *RateWindow) Count(at time.Time) int {
	recent := 0
	for recent < len(s.times) && at.Sub(s.times[recent]) >= time.Second {
		recent++
	}
	s.times = s.times[recent:]
	return len(s.times)
}

// Oldest returns the time of the oldest event in the window. The window must not be empty.
func (s *RateWindow) Oldest() time.Time { return s.times[0] }

func (s *RateWindow) Reset() { s.times = nil }
