package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Allocation is what the new version of a service gets of a daemon's calls.
type Allocation struct {
	Order Identity
	// Share is the new version's share; 0 for nothing and 1 for everything.
	Share float64
	// Probed are the instances that get the share while it is below 1.
	Probed []string
	// Sole is true when no other version has instances: the new one is the one in force.
	Sole bool
	// Barred are the versions of orders that came to nothing; they get no calls.
	Barred []string
}

// open reports whether a version may get calls.
func (a Allocation) open(version string) bool {
	switch {
	case version == a.Order.Target:
		return a.Share > 0 || a.Sole
	case slices.Contains(a.Barred, version):
		return false
	default:
		return a.Share < 1
	}
}

// without returns the constraint on calls that the new version does not get.
func (a Allocation) without() Choice {
	barred := slices.Clone(a.Barred)
	if !a.Sole {
		barred = append(barred, a.Order.Target)
	}
	return NotVersions(barred...)
}

// Attempt is one call that is sent to an instance.
type Attempt struct {
	Route    string
	Endpoint *lapisv1.Endpoint
	// isNew is true for the new version, and counted while the attempt counts as one in
	// flight at the old one.
	isNew, counted bool
	generation     uint64
	// number names the attempt while it is in flight, and began is when it was sent.
	number uint64
	began  time.Time
}

// New reports whether the attempt went to the version ordered.
func (a Attempt) New() bool { return a.isNew }

// Traffic is what the request path of a daemon asks about one service with a roll-out,
// and where it says what it sent and what came of it. It is safe for concurrent use.
type Traffic struct {
	// mutex protects everything below.
	mutex      sync.Mutex
	allocation Allocation
	exposure   *Exposure
	evidence   Evidence
	// generation rises with each order, so that answers to calls of an earlier one are
	// no evidence; oldInFlight counts the calls at instances of other versions.
	generation  uint64
	oldInFlight int
	sent        Sent
	// running are the attempts in flight that are no evidence yet, by number, and usual
	// how long those at the old version took here from Begin to the answer, by route.
	running map[uint64]Attempt
	number  uint64
	usual   map[string]*baseline
}

// overdueClasses is from how many classes above the usual time from Begin to the answer
// a call in flight counts as slow before it is answered: 5.6 to 8 times. That is far more
// than slowClasses, because that time has waits in it that are not the instance's, and the
// few instances that are probed are waited for more.
const overdueClasses = slowClasses + 2

// leastUsual is the number of answers from which on the usual time is known: the first
// to come are the quickest.
const leastUsual = 20

// Sent counts the calls sent to the service since the order was known here.
type Sent struct{ New, All uint64 }

// NewTraffic returns the traffic of a service whose order gives the new version nothing
// yet.
func NewTraffic(order Identity) *Traffic {
	return &Traffic{
		allocation: Allocation{Order: order}, exposure: NewExposure(), evidence: Evidence{},
		running: map[uint64]Attempt{}, usual: map[string]*baseline{},
	}
}

// Apply puts an allocation in force: from its return on, Begin refuses what it does not
// allow. Calls that are in flight stay where they are.
func (t *Traffic) Apply(allocation Allocation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if allocation.Order != t.allocation.Order {
		t.generation++
		t.exposure = NewExposure()
		t.evidence = Evidence{}
		t.sent = Sent{}
		t.running = map[uint64]Attempt{}
		t.usual = map[string]*baseline{}
	}
	t.allocation = allocation
	t.exposure.SetShare(allocation.Share)
}

// Choose returns the constraint on the next attempt of a route. probe is true when the
// attempt was given to the new version within the bound: whoever then sends it elsewhere
// must call Return, which gives the constraint that then holds.
func (t *Traffic) Choose(route string) (required Choice, probe bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	target := t.allocation.Order.Target
	switch {
	case t.allocation.Share >= 1:
		return OnlyVersion(target), false
	case t.allocation.Share <= 0 || !t.exposure.Allow(route):
		return t.allocation.without(), false
	default:
		return OnlyInstances(target, t.allocation.Probed), true
	}
}

// Return gives back an attempt that Choose gave to the new version and that did not go
// there, and returns the constraint that it then has.
func (t *Traffic) Return(route string) Choice {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.exposure.Return(route)
	if t.allocation.Share >= 1 {
		return OnlyVersion(t.allocation.Order.Target)
	}
	return t.allocation.without()
}

// Begin notes that a call is about to be sent to an endpoint. ok is false when the
// allocation has changed since Choose so that it may not be sent there; it must then be
// chosen for again.
func (t *Traffic) Begin(route string, endpoint *lapisv1.Endpoint, now time.Time) (attempt Attempt, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.allocation.open(endpoint.GetVersion()) {
		return Attempt{}, false
	}
	isNew := endpoint.GetVersion() == t.allocation.Order.Target
	t.exposure.Note(route)
	t.sent.All++
	if isNew {
		t.sent.New++
	} else {
		t.oldInFlight++
	}
	t.number++
	attempt = Attempt{
		Route: route, Endpoint: endpoint, isNew: isNew, counted: !isNew, generation: t.generation,
		number: t.number, began: now,
	}
	t.running[t.number] = attempt
	return attempt, true
}

// Ended notes the end of an attempt that is no evidence: refused before it ran, given up
// by its caller before it was overdue, or lost on the way.
func (t *Traffic) Ended(attempt Attempt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.ended(attempt) && t.overdue(attempt, now) {
		t.evidence.Note(keyOf(attempt), false, longest)
	}
}

// Answered notes the answer of an instance to an attempt, with which the attempt ends:
// whether it was a failure of the instance's own, and how long it worked. Answers of cold
// instances are no evidence.
func (t *Traffic) Answered(attempt Attempt, failed, cold bool, taken time.Duration, now time.Time) {
	t.Judge(attempt, failed, cold, taken, now)
	t.Ended(attempt, now)
}

// Judge notes the answer of an instance as Answered does, while the attempt stays in
// flight: its body is still on its way, and Ended follows.
func (t *Traffic) Judge(attempt Attempt, failed, cold bool, taken time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := t.close(attempt)
	if cold || !open {
		return
	}
	t.evidence.Note(keyOf(attempt), failed, taken)
	if !attempt.isNew && !failed {
		t.learn(attempt.Route, now.Sub(attempt.began))
	}
}

// Cold notes that the instance of an attempt in flight is cold: it is no evidence then.
func (t *Traffic) Cold(attempt Attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.running, attempt.number)
}

// learn takes a time from Begin to the answer into the usual ones; the caller holds mutex.
func (t *Traffic) learn(route string, waited time.Duration) {
	usual := t.usual[route]
	if usual == nil {
		usual = &baseline{}
		t.usual[route] = usual
	}
	var counts Counts
	counts.Note(false, waited)
	usual.add(counts)
}

// overdue reports whether an attempt takes so long that it is slow whenever it is
// answered; the caller holds mutex.
func (t *Traffic) overdue(attempt Attempt, now time.Time) bool {
	usual := t.usual[attempt.Route]
	known := usual != nil && usual.answers >= leastUsual
	return known && timeClass(now.Sub(attempt.began)) >= usual.median()+overdueClasses
}

// sweep notes the calls in flight that are overdue; the caller holds mutex.
func (t *Traffic) sweep(now time.Time) {
	for number, attempt := range t.running {
		if t.overdue(attempt, now) {
			t.evidence.Note(keyOf(attempt), false, longest)
			delete(t.running, number)
		}
	}
}

// keyOf returns the counter of an attempt's answer.
func keyOf(attempt Attempt) Key {
	key := Key{New: attempt.isNew, Route: attempt.Route, Zone: attempt.Endpoint.GetZone()}
	if attempt.isNew {
		key.Instance = attempt.Endpoint.GetInstance()
	}
	return key
}

// ended takes an attempt out of those in flight and reports whether it was no evidence
// yet; the caller holds mutex.
func (t *Traffic) ended(attempt Attempt) (open bool) {
	if attempt.counted {
		t.oldInFlight--
	}
	return t.close(attempt)
}

// close takes an attempt out of those that may become evidence and reports whether it was
// one; the caller holds mutex.
func (t *Traffic) close(attempt Attempt) (open bool) {
	if attempt.generation != t.generation {
		return false
	}
	_, open = t.running[attempt.number]
	delete(t.running, attempt.number)
	return open
}

// OldInFlight returns the calls in flight at instances of other versions.
func (t *Traffic) OldInFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.oldInFlight
}

// Sent returns what was sent since the order was known here.
func (t *Traffic) Sent() Sent {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sent
}

// Evidence returns a copy of what this daemon has seen until now.
func (t *Traffic) Evidence(now time.Time) Evidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.sweep(now)
	return t.evidence.Clone()
}
