package origin

import (
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// Registration is the content of one heartbeat of an instance.
type Registration struct {
	Service string
	// Instance is the ID of the instance, and StartUnixMillis its start time (incarnation.Incarnation).
	Instance        string
	StartUnixMillis uint64
	Address         string
	// Version is the version of the instance's software, which does not change while it runs.
	Version string
	// Slots is the number of calls that the instance runs at the same time.
	Slots int
	// Draining is true if the instance is about to leave.
	Draining bool
	// Sequence increases with each heartbeat, so that a delayed one is detected.
	Sequence uint64
	// ColdRemaining is the remaining time for which the instance is cold.
	ColdRemaining time.Duration
}

// incarnation returns the incarnation that sent the heartbeat.
func (r Registration) incarnation() incarnation.Incarnation {
	return incarnation.Incarnation{ID: r.Instance, StartUnixMillis: r.StartUnixMillis}
}

// Register records a heartbeat; the first one registers the instance. After Register has returned
// for a draining instance, no further call starts there.
func (o *Origin) Register(registration Registration) {
	if registration.Draining {
		o.registerDraining(registration)
		return
	}
	instance, isNew := o.findOrRegister(registration)
	isFresh := instance != nil && (isNew || instance.isFresh(registration.Sequence))
	changed := instance != nil && instance.applyHeartbeat(registration, isNew)
	if instance == nil {
		return
	}
	o.resolveConflicts(instance, isNew, isFresh)
	if changed || isNew {
		o.config.Changed()
	}
}

// registerDraining records a heartbeat of an instance that leaves, and returns the names of its departure.
func (o *Origin) registerDraining(registration Registration) (names []string) {
	// The heartbeat itself must not make an incarnation present that was not known before.
	names = o.departureNames(registration.incarnation())
	if instance, isNew := o.findOrRegister(registration); instance != nil {
		instance.applyHeartbeat(registration, isNew)
		o.supersedeEarlier(instance)
	}
	o.withdrawAnnounced(names, registration.StartUnixMillis == 0, withdrawnByHeartbeat)
	return names
}

// findOrRegister returns the instance that sent a heartbeat, and registers it if it is new; nil if
// the heartbeat is ignored.
func (o *Origin) findOrRegister(registration Registration) (instance *Instance, isNew bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pruneWithdrawn()
	identity := registration.incarnation()
	key := instanceKey{registration.Service, identity.Name()}
	known, isKnown := o.instances[key]
	if !isKnown && !o.hasService(registration.Service) {
		o.unknownServiceLog.Do(func() {
			o.config.Logger.Info("instance.service_unknown", "instance", identity.Name(), "service", registration.Service)
		})
		return nil, false
	}
	conflicts := o.conflictsOf(identity, registration.Address)
	if o.mayBeOver(known, registration, conflicts.laterStartPresent) {
		conflicts.laterStartPresent, conflicts.holder = true, o.departureAfter(identity)
	}
	ended := o.hasLeft(identity) || (isKnown && known.hasEnded())
	switch kindOfHeartbeat(ended, isKnown, conflicts, registration.Sequence) {
	case heartbeatOfWithdrawn:
		o.logHeartbeatAfterLeave(registration)
		return nil, false
	case heartbeatOfKnown:
		return known, false
	case heartbeatOfEarlier:
		o.config.Logger.Info("instance.beat_late", "instance", identity.Name(), "address", registration.Address,
			"sequence", registration.Sequence, "present", conflicts.holder)
		return nil, false
	}
	instance = o.newRegisteredInstance(registration)
	o.instances[key] = instance
	o.watch(instance)
	o.config.Logger.Info("instance.registered", "instance", instance.Name, "service", instance.Service,
		"address", registration.Address, "version", registration.Version, "slots", registration.Slots, "sequence", registration.Sequence,
		"cold_ms", registration.ColdRemaining.Milliseconds(), "uptime_ms", time.Since(o.startedAt).Milliseconds(),
		"left", strings.Join(o.withdrawnNames(identity.ID), ","))
	return instance, true
}

// mayBeOver reports whether a departure shows that an incarnation may be over, which has not left itself, and its
// heartbeats have not continued since. One that a departure ended (supersede) is served again once they have, since
// a call that runs there would keep it drained until it ends. known is nil if the incarnation is not registered. The
// caller holds mutex.
func (o *Origin) mayBeOver(known *Instance, registration Registration, laterStartPresent bool) bool {
	departed := o.departureAfter(registration.incarnation())
	if departed == "" || o.hasLeft(registration.incarnation()) || (known != nil && !known.hasEnded()) {
		return false
	}
	if !o.hasContinuedAfter(departed, registration) {
		return true
	}
	if known != nil && !registration.Draining && !laterStartPresent {
		known.resumeSuperseded()
	}
	return false
}

// hasService reports whether the configuration in force names a service; before the first
// configuration it is true for every service. An instance of an unconfigured service gets no calls
// and could take the address of one that does, because its heartbeat may come from another sender.
// The caller holds mutex.
func (o *Origin) hasService(service string) bool {
	if o.current == nil {
		return true
	}
	_, known := o.current.Service(service)
	return known
}

// newRegisteredInstance returns the instance of a first heartbeat, with the state already known for
// its pool, the daemon and the zone applied; the caller holds mutex.
func (o *Origin) newRegisteredInstance(registration Registration) *Instance {
	limits := admission.Limits{Slots: max(registration.Slots, 1), QueueLength: o.config.QueueLength, QueueTime: o.config.QueueTime}
	instance := newInstance(registration.Service, registration.incarnation(), registration.Address, limits, DefaultConnections, &o.config.Envelope)
	instance.registered = true
	instance.slots = registration.Slots
	instance.logger = o.config.Logger
	instance.coldState.bound = o.config.Cold
	instance.coldState.crashes = &o.coldCrashes
	instance.version = registration.Version
	if o.current != nil {
		instance.configure(o.current)
	}
	instance.setInitialPace(registration)
	if o.stopping {
		instance.Drain(DrainStop)
	}
	if o.evacuated {
		instance.Drain(DrainEvacuated)
	}
	return instance
}

// conflictsOf describes the other incarnations with the same ID as the given one, or at its
// address; the caller holds mutex.
func (o *Origin) conflictsOf(identity incarnation.Incarnation, address string) (conflicts incarnationConflicts) {
	for _, instance := range o.instances {
		if !instance.conflictsWith(identity, address) {
			continue
		}
		startedLater := instance.identity.StartedAfter(identity)
		startedEarlier := identity.StartedAfter(instance.identity)
		if startedLater && isPresent(instance.heartbeatAge()) {
			conflicts.laterStartPresent, conflicts.holder = true, instance.Name
		}
		if !startedLater && !startedEarlier && instance.holdsAddress() {
			conflicts.addressHeld, conflicts.holder = true, instance.Name
		}
	}
	return conflicts
}

// conflictsWith reports whether the instance is registered with the ID of another incarnation, or
// at its address.
func (i *Instance) conflictsWith(identity incarnation.Incarnation, address string) bool {
	return i.registered && i.identity != identity && (i.identity.ID == identity.ID || i.backend.address == address)
}

func (i *Instance) holdsAddress() bool {
	age := i.heartbeatAge()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return holdsAddress(age, i.lifecycle.MustState().(State), i.drainReasons)
}

// LocalService returns the service of the instance that was added last and is not dropped; empty if
// there is none.
func (o *Origin) LocalService() string {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	var newest *Instance
	for _, instance := range o.instances {
		if newest == nil || instance.startedAt.After(newest.startedAt) {
			newest = instance
		}
	}
	if newest == nil {
		return ""
	}
	return newest.Service
}

// applyHeartbeat records a heartbeat and reports whether the announced endpoint changed. A
// heartbeat with a lower sequence than the latest one was delayed and is ignored.
func (i *Instance) applyHeartbeat(registration Registration, isNew bool) (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if registration.Sequence < i.sequence {
		return false
	}
	now := time.Now()
	i.sequence = registration.Sequence
	i.lastHeartbeatAt = now
	source := coldByHeartbeat
	if isNew {
		source = coldByStart
	}
	i.coldState.recordHeartbeat(registration.ColdRemaining, registration.Sequence, now)
	changed = i.updatePace(source, now)
	if registration.Slots > 0 && registration.Slots != i.slots {
		i.slots = registration.Slots
		changed = true
	}
	previousState := i.lifecycle.MustState()
	i.markUp()
	return changed || previousState != i.lifecycle.MustState()
}
