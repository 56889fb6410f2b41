package promise

import (
	"fmt"
	"slices"
	"time"
)

// Arrival is a request that an instance received and did not turn away as meant for
// another one.
type Arrival struct {
	Request  string
	Instance string
	Zone     string
	Region   string
	// Cold is true when the instance is cold and daemons had time to hear of it.
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

// TakenBack notes that a zone's evacuation is over.
func (l *Ledger) TakenBack(zone string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.evacuated, zone)
}

// StoreLost notes that daemons cannot hear of orders until StoreBack.
func (l *Ledger) StoreLost() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeLost++
}

// StoreBack notes that daemons can hear of orders again, and from when they must
// have heard of them.
func (l *Ledger) StoreBack(inTouch time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storeLost--
	l.inTouch = inTouch
}

// Reached notes that an instance received a request, and checks whether it may have
// been sent there.
func (l *Ledger) Reached(arrival Arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.checkEvacuation(arrival)
	l.checkHome(arrival)
	l.checkCold(arrival)
	l.checkDeadly(arrival)
}

// checkEvacuation checks that the instance's zone takes calls. While daemons cannot
// hear of orders none is late. The caller holds mutex.
func (l *Ledger) checkEvacuation(arrival Arrival) {
	since, evacuated := l.evacuated[arrival.Zone]
	if l.bounds.Evacuation == 0 || !evacuated || l.storeLost > 0 {
		return
	}
	if l.inTouch.After(since) {
		since = l.inTouch
	}
	if late := arrival.At.Sub(since); late > l.bounds.Evacuation {
		l.note(Evacuation, arrival.Request, fmt.Sprintf("%s in zone %s got it %s after the order", arrival.Instance, arrival.Zone, late))
	}
}

// checkHome checks the instance's region; the caller holds mutex.
func (l *Ledger) checkHome(arrival Arrival) {
	allowed := l.requests[arrival.Request].Regions
	if len(allowed) > 0 && !slices.Contains(allowed, arrival.Region) {
		l.note(Home, arrival.Request, fmt.Sprintf("%s in region %s got it, allowed are %v", arrival.Instance, arrival.Region, allowed))
	}
}

// checkCold checks what a cold instance gets; a second that holds too many is noted
// once. The caller holds mutex.
func (l *Ledger) checkCold(arrival Arrival) {
	if l.bounds.ColdPerSecond == 0 || !arrival.Cold {
		return
	}
	if l.cold[arrival.Instance] == nil {
		l.cold[arrival.Instance] = &Second{}
	}
	second := l.cold[arrival.Instance]
	if count := second.Add(arrival.At); float64(count) > l.bounds.ColdPerSecond {
		l.note(Failback, arrival.Request, fmt.Sprintf("%s is cold and got %d in a second, of %g", arrival.Instance, count, l.bounds.ColdPerSecond))
		second.Reset()
	}
}
