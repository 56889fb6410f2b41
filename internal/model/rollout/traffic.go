package rollout

import (
	"slices"
	"sync"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Allocation determines which of a daemon's calls to a service go to the new version.
type Allocation struct {
	Order Identity
	// Share is the new version's share of the calls, from 0 for none to 1 for all.
	Share float64
	// Probed holds the instances that get the share while it is below 1.
	Probed []string
	// OnlyVersion is true if no other version has instances, so that the new version is the one in
	// force.
	OnlyVersion bool
	// ExcludedVersions holds the versions of orders that ended without completion; they get no calls.
	ExcludedVersions []string
}

// allows reports whether a version may get calls.
func (a Allocation) allows(version string) bool {
	switch {
	case version == a.Order.Target:
		return a.Share > 0 || a.OnlyVersion
	case slices.Contains(a.ExcludedVersions, version):
		return false
	default:
		return a.Share < 1
	}
}

// exclusions returns the constraint on calls that do not go to the new version.
func (a Allocation) exclusions() Choice {
	barred := slices.Clone(a.ExcludedVersions)
	if !a.OnlyVersion {
		barred = append(barred, a.Order.Target)
	}
	return NotVersions(barred...)
}

// Attempt is one call that is sent to an instance.
type Attempt struct {
	Route    string
	Endpoint *lapisv1.Endpoint
	// isNew is true for a call to the new version; counted is true while the attempt is included in
	// Traffic.oldInFlight.
	isNew, counted bool
	generation     uint64
	// id identifies the attempt while it is in flight; sentAt is when it was sent.
	id     uint64
	sentAt time.Time
}

// New reports whether the attempt went to the ordered version.
func (a Attempt) New() bool { return a.isNew }

// Traffic controls and records the calls of a daemon to one service with a roll-out: the request
// path asks it for the constraint on each attempt, and reports the attempts and answers to it. It
// is safe for concurrent use.
type Traffic struct {
	// mutex guards the fields below.
	mutex      sync.Mutex
	allocation Allocation
	exposure   *Exposure
	evidence   Evidence
	// generation increases with each order, so that answers to calls of an earlier order are not
	// counted as evidence. oldInFlight is the number of calls in flight at other versions.
	generation  uint64
	oldInFlight int
	sent        Sent
	// pending holds, by id, the attempts in flight that are not counted as evidence yet. waits
	// holds, by route, the times from Begin to the answer at the old version.
	pending map[uint64]Attempt
	lastID  uint64
	waits   map[string]*baseline
}

// overdueClassOffset is the number of classes above the median wait from which a call in flight
// counts as slow before it is answered: 5.6 to 8 times the median. It is above slowClassOffset,
// because the wait includes times that are not caused by the instance, and calls wait longer for
// the few probed instances.
const overdueClassOffset = slowClassOffset + 2

// minBaselineAnswers is the number of answers from which a median is used, because the first
// answers to arrive are the fastest ones.
const minBaselineAnswers = 20

// Sent counts the calls sent to the service since this daemon learned of the order.
type Sent struct{ New, All uint64 }

// NewTraffic returns the traffic of a service with no calls to the order's version.
func NewTraffic(order Identity) *Traffic {
	return &Traffic{
		allocation: Allocation{Order: order}, exposure: NewExposure(), evidence: Evidence{},
		pending: map[uint64]Attempt{}, waits: map[string]*baseline{},
	}
}

// Apply puts an allocation in force. After it returns, Begin refuses attempts that the allocation
// does not allow. Calls in flight are not affected.
func (t *Traffic) Apply(allocation Allocation) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if allocation.Order != t.allocation.Order {
		t.generation++
		t.exposure = NewExposure()
		t.evidence = Evidence{}
		t.sent = Sent{}
		t.pending = map[uint64]Attempt{}
		t.waits = map[string]*baseline{}
	}
	t.allocation = allocation
	t.exposure.SetShare(allocation.Share)
}

// Choose returns the constraint on the next attempt of a route. probe is true if the attempt was
// granted to the new version within its share. A caller that sends it elsewhere must call Return,
// which returns the constraint that applies then.
func (t *Traffic) Choose(route string) (required Choice, probe bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	target := t.allocation.Order.Target
	switch {
	case t.allocation.Share >= 1:
		return OnlyVersion(target), false
	case t.allocation.Share <= 0 || !t.exposure.Allow(route):
		return t.allocation.exclusions(), false
	default:
		return OnlyInstances(target, t.allocation.Probed), true
	}
}

// Return gives back an attempt that Choose granted to the new version but that was not sent there,
// and returns the constraint that applies instead.
func (t *Traffic) Return(route string) Choice {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.exposure.Return(route)
	if t.allocation.Share >= 1 {
		return OnlyVersion(t.allocation.Order.Target)
	}
	return t.allocation.exclusions()
}

// Begin records that a call is about to be sent to an endpoint. ok is false if the allocation
// changed since Choose and no longer allows the endpoint; the caller must then call Choose again.
func (t *Traffic) Begin(route string, endpoint *lapisv1.Endpoint, now time.Time) (attempt Attempt, ok bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if !t.allocation.allows(endpoint.GetVersion()) {
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
	t.lastID++
	attempt = Attempt{
		Route: route, Endpoint: endpoint, isNew: isNew, counted: !isNew, generation: t.generation,
		id: t.lastID, sentAt: now,
	}
	t.pending[t.lastID] = attempt
	return attempt, true
}

// Ended records the end of an attempt without an answer that counts: it was refused before it ran,
// cancelled by its caller, or lost. It counts as slow if it was overdue.
func (t *Traffic) Ended(attempt Attempt, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.finish(attempt) && t.overdue(attempt, now) {
		t.evidence.Note(keyOf(attempt), false, highestClassTime)
	}
}

// Answered records the answer of an instance and the end of the attempt: failed is true for a
// failure of the instance itself, and taken is the service time. Answers of cold instances are not
// counted as evidence.
func (t *Traffic) Answered(attempt Attempt, failed, cold bool, taken time.Duration, now time.Time) {
	t.RecordAnswer(attempt, failed, cold, taken, now)
	t.Ended(attempt, now)
}

// RecordAnswer records the answer of an instance like Answered, but leaves the attempt in flight: its
// body is still being transferred, and the caller must call Ended afterwards.
func (t *Traffic) RecordAnswer(attempt Attempt, failed, cold bool, taken time.Duration, now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	open := t.takePending(attempt)
	if cold || !open {
		return
	}
	t.evidence.Note(keyOf(attempt), failed, taken)
	if !attempt.isNew && !failed {
		t.recordWait(attempt.Route, now.Sub(attempt.sentAt))
	}
}

// MarkCold records that the instance of an attempt is cold, so that the attempt is not counted as
// evidence.
func (t *Traffic) MarkCold(attempt Attempt) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.pending, attempt.id)
}

// recordWait adds a time from Begin to the answer. The caller must hold mutex.
func (t *Traffic) recordWait(route string, waited time.Duration) {
	waits := t.waits[route]
	if waits == nil {
		waits = &baseline{}
		t.waits[route] = waits
	}
	var counts Counts
	counts.Note(false, waited)
	waits.add(counts)
}

// overdue reports whether an attempt takes so long that it counts as slow regardless of its answer.
// The caller must hold mutex.
func (t *Traffic) overdue(attempt Attempt, now time.Time) bool {
	waits := t.waits[attempt.Route]
	known := waits != nil && waits.answers >= minBaselineAnswers
	return known && timeClass(now.Sub(attempt.sentAt)) >= waits.median()+overdueClassOffset
}

// recordOverdue counts the overdue calls in flight as slow. The caller must hold mutex.
func (t *Traffic) recordOverdue(now time.Time) {
	for id, attempt := range t.pending {
		if t.overdue(attempt, now) {
			t.evidence.Note(keyOf(attempt), false, highestClassTime)
			delete(t.pending, id)
		}
	}
}

// keyOf returns the key of the counter for an attempt's answer.
func keyOf(attempt Attempt) Key {
	key := Key{New: attempt.isNew, Route: attempt.Route, Zone: attempt.Endpoint.GetZone()}
	if attempt.isNew {
		key.Instance = attempt.Endpoint.GetInstance()
	}
	return key
}

// finish removes an attempt from those in flight and reports whether it was still pending. The
// caller must hold mutex.
func (t *Traffic) finish(attempt Attempt) (open bool) {
	if attempt.counted {
		t.oldInFlight--
	}
	return t.takePending(attempt)
}

// takePending removes an attempt from pending and reports whether it was there. The caller must
// hold mutex.
func (t *Traffic) takePending(attempt Attempt) (open bool) {
	if attempt.generation != t.generation {
		return false
	}
	_, open = t.pending[attempt.id]
	delete(t.pending, attempt.id)
	return open
}

// OldInFlight returns the number of calls in flight at instances of other versions.
func (t *Traffic) OldInFlight() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.oldInFlight
}

// Sent returns the numbers of calls sent since this daemon learned of the order.
func (t *Traffic) Sent() Sent {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.sent
}

// Evidence returns a copy of the evidence that this daemon has collected until now.
func (t *Traffic) Evidence(now time.Time) Evidence {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.recordOverdue(now)
	return t.evidence.Clone()
}
