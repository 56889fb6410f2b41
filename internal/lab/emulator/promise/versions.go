package promise

import (
	"fmt"
	"sync"
	"time"
)

// VersionBounds are the limits that Versions checks.
type VersionBounds struct {
	// Apply is the time after its acknowledgement from which a version must be in force on every daemon in touch.
	Apply time.Duration
	// Contact is the time without a disruption after which a daemon is in touch.
	Contact time.Duration
	// Stretch is added to Apply while the store is disrupted for some daemons only, or forgets its history.
	Stretch time.Duration
	// RollbackSlack is the time after which the effect of a version must be seen in all answers of a daemon.
	RollbackSlack time.Duration
}

// Constants of the rule about added routes, from the platform's rules.
const (
	// minAddedRequests is the number of requests on added routes from which their share of success is checked.
	minAddedRequests = 20
	// minAddedShare is the smallest permitted share of success on added routes, relative to that on routes that
	// always existed.
	minAddedShare = 0.25
)

// Versions checks the promise Config by what clients and instances see: that an acknowledged version is in force in
// time, that no daemon returns to an older one, that no invalid version takes effect, and that added routes are
// served. Probe routes, which versions add, move and remove, show which versions a daemon may have in force. It is safe
// for concurrent use.
type Versions struct {
	bounds VersionBounds
	record func(request, detail string)

	// mutex protects everything below. declared holds the valid versions in their order.
	mutex    sync.Mutex
	declared []declaredVersion
	// daemons are the daemons by their address for callers. disruptions are those of the store.
	daemons     map[string]*daemonVersions
	disruptions []storeDisruption
	// always and added count the requests on routes that always existed and on added ones.
	always, added servedShare
}

// declaredVersion is a valid version with the service of each probe route.
type declaredVersion struct {
	number   uint64
	services map[string]string
	sentAt   time.Time
	// acknowledgedAt is zero until the store has acknowledged the version.
	acknowledgedAt time.Time
}

// daemonVersions is what is known of a daemon's present process.
type daemonVersions struct {
	// disturbedAt is the last time at which the daemon was disturbed or started.
	disturbedAt time.Time
	// floor is the oldest version that explains all its answers, seen at floorAt.
	floor   uint64
	floorAt time.Time
}

// storeDisruption is a time in which the store was disrupted.
type storeDisruption struct {
	from time.Time
	// until is zero while the disruption lasts.
	until time.Time
	// outage is true if the store was down, slow or lost answers for all daemons.
	outage bool
}

// servedShare counts requests and those of them that were served.
type servedShare struct{ total, served int }

func (s *servedShare) add(served bool) {
	s.total++
	if served {
		s.served++
	}
}

func (s servedShare) share() float64 { return float64(s.served) / float64(max(s.total, 1)) }

// ProbeOutcome is how a daemon handled a request on a probe route.
type ProbeOutcome struct {
	Request, Probe string
	// Daemon is the daemon's address for callers.
	Daemon         string
	SentAt, SeenAt time.Time
	// Service is the service that ran the request, empty for an answer that the route does not exist. Neither
	// is known for a request that was not handled.
	Service string
	Handled bool
}

// NewVersions returns a checker without versions. record is called with each breach.
func NewVersions(bounds VersionBounds, record func(request, detail string)) *Versions {
	return &Versions{bounds: bounds, record: record, daemons: map[string]*daemonVersions{}}
}

// Declare records that a valid version is sent to the store, with the services of its probe routes.
func (v *Versions) Declare(number uint64, services map[string]string, at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.declared = append(v.declared, declaredVersion{number: number, services: services, sentAt: at})
}

// Acknowledge records that the store has acknowledged the newest declared version.
func (v *Versions) Acknowledge(at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.declared[len(v.declared)-1].acknowledgedAt = at
}

// Overwritten records that an invalid version overwrites the newest valid one. Versions that were acknowledged within
// VersionBounds.Apply before need not come into force, since daemons may not have read the store until then.
func (v *Versions) Overwritten(at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	for index := len(v.declared) - 1; index >= 0 && at.Sub(v.declared[index].acknowledgedAt) < v.bounds.Apply; index-- {
		v.declared[index].acknowledgedAt = time.Time{}
	}
}

// DaemonStarted records that a new process of a daemon started.
func (v *Versions) DaemonStarted(daemon string, at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.daemons[daemon] = &daemonVersions{disturbedAt: at}
}

// DaemonDisturbed records that a daemon was stopped, killed or suspended, until now.
func (v *Versions) DaemonDisturbed(daemon string, at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.daemon(daemon).disturbedAt = at
}

// daemon returns the record of a daemon; the caller holds mutex.
func (v *Versions) daemon(address string) *daemonVersions {
	if v.daemons[address] == nil {
		v.daemons[address] = &daemonVersions{}
	}
	return v.daemons[address]
}

// StoreDisrupted records the start of a disruption of the store, which ends all earlier ones. outage is true if it
// concerns all daemons and the store is down or slow or loses answers.
func (v *Versions) StoreDisrupted(at time.Time, outage bool) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.endDisruption(at)
	v.disruptions = append(v.disruptions, storeDisruption{from: at, outage: outage})
}

// StoreUndisturbed records the end of the store's disruption, if there is one.
func (v *Versions) StoreUndisturbed(at time.Time) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.endDisruption(at)
}

// endDisruption ends the store's disruption, if there is one. The caller holds mutex.
func (v *Versions) endDisruption(at time.Time) {
	if last := len(v.disruptions) - 1; last >= 0 && v.disruptions[last].until.IsZero() {
		v.disruptions[last].until = at
	}
}

// Probed checks how a daemon handled a request on a probe route.
func (v *Versions) Probed(outcome ProbeOutcome) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.countServed(outcome)
	if !outcome.Handled {
		return
	}
	allowing := v.versionsAllowing(outcome)
	if len(allowing) == 0 {
		v.record(outcome.Request, fmt.Sprintf("%s was handled as no valid version allows (service %q)", outcome.Probe, outcome.Service))
		return
	}
	oldest, newest := allowing[0], allowing[len(allowing)-1]
	if bound, inTouch := v.applyBound(outcome); inTouch {
		if required := v.requiredAt(outcome.SentAt.Add(-bound)); newest < required {
			v.record(outcome.Request, fmt.Sprintf("%s was handled as version %d or older allows (service %q); version %d was acknowledged more than %s before", outcome.Probe, newest, outcome.Service, required, bound))
		}
	}
	v.checkFloor(outcome, oldest, newest)
}

// sentBefore returns the versions that were sent before a time. The caller holds mutex.
func (v *Versions) sentBefore(at time.Time) []declaredVersion {
	count := len(v.declared)
	for count > 0 && v.declared[count-1].sentAt.After(at) {
		count--
	}
	return v.declared[:count]
}

// versionsAllowing returns the versions by which the outcome is correct, in their order. The caller holds mutex.
func (v *Versions) versionsAllowing(outcome ProbeOutcome) []uint64 {
	var allowing []uint64
	for _, version := range v.sentBefore(outcome.SeenAt) {
		if version.services[outcome.Probe] == outcome.Service {
			allowing = append(allowing, version.number)
		}
	}
	return allowing
}

// requiredAt returns the newest version that was acknowledged before a time, 0 for none. The caller holds mutex.
func (v *Versions) requiredAt(at time.Time) (number uint64) {
	for _, version := range v.declared {
		if !version.acknowledgedAt.IsZero() && version.acknowledgedAt.Before(at) {
			number = version.number
		}
	}
	return number
}

// applyBound returns the time within which a version must be in force for a request, and whether its daemon is in
// touch. The caller holds mutex.
func (v *Versions) applyBound(outcome ProbeOutcome) (bound time.Duration, inTouch bool) {
	since := outcome.SentAt.Add(-v.bounds.Contact)
	if v.daemon(outcome.Daemon).disturbedAt.After(since) {
		return 0, false
	}
	bound = v.bounds.Apply
	for _, disruption := range v.disruptions {
		if !disruption.until.IsZero() && disruption.until.Before(since) || disruption.from.After(outcome.SeenAt) {
			continue
		}
		if disruption.outage {
			return 0, false
		}
		bound = v.bounds.Apply + v.bounds.Stretch
	}
	return bound, true
}

// checkFloor checks that the daemon has not returned to a version before one whose effect was seen, and records the
// effect of this outcome. The caller holds mutex.
func (v *Versions) checkFloor(outcome ProbeOutcome, oldest, newest uint64) {
	daemon := v.daemon(outcome.Daemon)
	if newest < daemon.floor && outcome.SentAt.Sub(daemon.floorAt) > v.bounds.RollbackSlack {
		v.record(outcome.Request, fmt.Sprintf("%s was handled as version %d or older allows (service %q), %s after the effect of version %d", outcome.Probe, newest, outcome.Service, outcome.SentAt.Sub(daemon.floorAt), daemon.floor))
	}
	// A request that was sent before the process started shows nothing about it.
	if oldest > daemon.floor && outcome.SentAt.After(daemon.disturbedAt) {
		daemon.floor, daemon.floorAt = oldest, outcome.SeenAt
	}
}

// countServed counts a request on a route that must be in force, at a time without any disruption. The caller holds
// mutex.
func (v *Versions) countServed(outcome ProbeOutcome) {
	bound, inTouch := v.applyBound(outcome)
	if !inTouch || bound != v.bounds.Apply || len(v.declared) == 0 {
		return
	}
	required := v.requiredAt(outcome.SentAt.Add(-bound))
	for _, version := range v.sentBefore(outcome.SeenAt) {
		if version.number >= required && version.services[outcome.Probe] == "" {
			return
		}
	}
	if v.declared[0].services[outcome.Probe] != "" {
		v.always.add(outcome.Service != "")
		return
	}
	v.added.add(outcome.Service != "")
}

// Finish checks what concerns the whole run. It returns the numbers of requests on added routes and of those served.
func (v *Versions) Finish() (added, served int) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.added.total >= minAddedRequests && v.added.share() < minAddedShare*v.always.share() {
		v.record("", fmt.Sprintf("%d of %d requests on added routes were served, %d of %d on routes that always existed", v.added.served, v.added.total, v.always.served, v.always.total))
	}
	return v.added.total, v.added.served
}
