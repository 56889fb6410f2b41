package promise

import (
	"fmt"
	"slices"
	"time"
)

// Delivery is a request that an instance received and that was meant for it.
type Delivery struct {
	Request  string
	Instance string
	Zone     string
	Region   string
	// Cold is true when the instance is in slow start and daemons had time to hear of it.
	Cold bool
	// Poison names what the request asks for where each instance that runs it ends;
	// empty for any other.
	Poison string
	At     time.Time
}

// Evacuated notes that the order to evacuate a zone was acknowledged.
func (l *Ledger) Evacuated(zone string, at time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.evacuated[zone] = at
}

// EvacuationEnded notes that a zone's evacuation is over.
func (l *Ledger) EvacuationEnded(zone string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.evacuated, zone)
}

// StoreUnavailable notes that daemons cannot hear of orders until StoreAvailable.
func (l *Ledger) StoreUnavailable() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeLost++
}

// StoreAvailable notes that daemons can hear of orders again, and from when they must
// have heard of them.
func (l *Ledger) StoreAvailable(inTouch time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeLost--
	l.inTouch = inTouch
}

// Delivered records a delivery, and checks whether the request may have been sent there.
func (l *Ledger) Delivered(delivery Delivery) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEvacuation(delivery)
	l.checkHome(delivery)
	l.checkCold(delivery)
	l.checkPoison(delivery)
}

// checkEvacuation checks that the instance's zone takes calls. While daemons cannot
// hear of orders none is late. The caller holds mutex.
func (l *Ledger) checkEvacuation(delivery Delivery) {
	since, evacuated := l.evacuated[delivery.Zone]
	if l.bounds.Evacuation == 0 || !evacuated || l.storeLost > 0 {
		return
	}
	if l.inTouch.After(since) {
		since = l.inTouch
	}
	if late := delivery.At.Sub(since); late > l.bounds.Evacuation {
		l.note(Evacuation, delivery.Request, fmt.Sprintf("%s in zone %s got it %s after the order", delivery.Instance, delivery.Zone, late))
	}
}

// checkHome checks the instance's region; the caller holds mutex.
func (l *Ledger) checkHome(delivery Delivery) {
	allowed := l.requests[delivery.Request].Regions
	if len(allowed) > 0 && !slices.Contains(allowed, delivery.Region) {
		l.note(Home, delivery.Request, fmt.Sprintf("%s in region %s got it, allowed are %v", delivery.Instance, delivery.Region, allowed))
	}
}

// checkCold checks what a cold instance gets; a second that holds too many is noted
// once. The caller holds mutex.
func (l *Ledger) checkCold(delivery Delivery) {
	if l.bounds.ColdPerSecond == 0 || !delivery.Cold {
		return
	}
	if l.cold[delivery.Instance] == nil {
		l.cold[delivery.Instance] = &Second{}
	}
	second := l.cold[delivery.Instance]
	if count := second.Add(delivery.At); float64(count) > l.bounds.ColdPerSecond {
		l.note(Failback, delivery.Request, fmt.Sprintf("%s is cold and got %d in a second, of %g", delivery.Instance, count, l.bounds.ColdPerSecond))
		second.Reset()
	}
}

// Second counts what came in the second up to the newest. It is not safe for
// concurrent use.
type Second struct{ times []time.Time }

// Add counts one more and returns how many came in the second that ends with it.
func (s *Second) Add(at time.Time) int {
	s.times = append(s.times, at)
	return s.Count(at)
}

// Count returns how many came in the second that ends with at.
func (s *Second) Count(at time.Time) int {
	recent := 0
	for recent < len(s.times) && at.Sub(s.times[recent]) >= time.Second {
		recent++
	}
	s.times = s.times[recent:]
	return len(s.times)
}

// Oldest returns the first that Count last counted; there must be one.
func (s *Second) Oldest() time.Time { return s.times[0] }

func (s *Second) Reset() { s.times = nil }
