package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/incarnation"
	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// Registration is what an instance states of itself with each heartbeat.
type Registration struct {
	Service string
	// Instance is the id of the instance, and Born the start that speaks (incarnation.Incarnation).
	Instance string
	Born     uint64
	Address  string
	// Version is that of the instance's software, which does not change while it runs.
	Version string
	// Slots is the number of calls that the instance works on at once.
	Slots int
	// Draining is true when the instance is about to leave.
	Draining bool
	// Sequence rises with each heartbeat, so that a late one is recognised.
	Sequence uint64
	// ColdFor is how much longer the instance stays cold.
	ColdFor time.Duration
}

// incarnation returns the start that a heartbeat is from.
func (r Registration) incarnation() incarnation.Incarnation {
	return incarnation.Incarnation{ID: r.Instance, Born: r.Born}
}

// Register records a heartbeat, the first of which makes the instance known. From its return on, a
// draining instance gets no call that it did not have before.
func (o *Origin) Register(registration Registration) {
	instance, isNew := o.findOrRegister(registration)
	changed := instance != nil && instance.applyHeartbeat(registration, isNew)
	if registration.Draining {
		o.Withdraw(registration.incarnation().Name())
		return
	}
	if instance == nil {
		return
	}
	o.replaceConflicting(instance, isNew)
	if changed || isNew {
		o.config.Changed()
	}
}

// findOrRegister returns the instance that a heartbeat is from, which may be new; nil where the
// heartbeat counts for nothing.
func (o *Origin) findOrRegister(registration Registration) (instance *Instance, isNew bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.pruneWithdrawn()
	identity := registration.incarnation()
	_, withdrawn := o.withdrawn[identity.Name()]
	key := instanceKey{registration.Service, identity.Name()}
	known, isKnown := o.instances[key]
	if !isKnown && !o.hasService(registration.Service) {
		o.unknownServiceLog.Do(func() {
			o.config.Logger.Info("instance.service_unknown", "instance", identity.Name(), "service", registration.Service)
		})
		return nil, false
	}
	conflicts := o.conflictsOf(identity, registration.Address)
	switch kindOfHeartbeat(withdrawn, isKnown, conflicts, registration.Sequence) {
	case heartbeatOfWithdrawn:
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
		"cold_ms", registration.ColdFor.Milliseconds())
	return instance, true
}

// hasService reports whether the configuration in force names a service; so does none that is not
// known yet. An instance of any other service gets no calls, and might hold the address of one that
// does: its heartbeat may be another writer's. The caller holds mutex.
func (o *Origin) hasService(service string) bool {
	if o.current == nil {
		return true
	}
	_, known := o.current.Service(service)
	return known
}

// newRegisteredInstance returns the instance that a first heartbeat states. From the start it follows what
// is known of its pool, of the daemon and of its zone; the caller holds mutex.
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

// conflictsOf returns what is known of other incarnations with the id of one, or at its address; the
// caller holds mutex.
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
	if laterStart := o.laterWithdrawnStart(identity); laterStart != "" {
		conflicts.laterStartPresent, conflicts.holder = true, laterStart
	}
	return conflicts
}

// laterWithdrawnStart returns the name of a later start of an incarnation's id that left for good and was
// present until lately, so that what is heard of the earlier one was held up; empty for none. The
// caller holds mutex.
func (o *Origin) laterWithdrawnStart(identity incarnation.Incarnation) string {
	for name, at := range o.withdrawn {
		withdrawn := incarnation.Parse(name)
		if withdrawn.ID == identity.ID && withdrawn.StartedAfter(identity) && isPresent(time.Since(at)) {
			return name
		}
	}
	return ""
}

// conflictsWith reports whether the instance registered with the id of another incarnation, or at its
// address.
func (i *Instance) conflictsWith(identity incarnation.Incarnation, address string) bool {
	return i.registered && i.identity != identity && (i.identity.ID == identity.ID || i.backend.address == address)
}

func (i *Instance) holdsAddress() bool {
	age := i.heartbeatAge()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return holdsAddress(age, i.lifecycle.MustState().(State), i.drainReasons)
}

// LocalService returns the service of the instance that became known last, of those that are not
// dropped; empty when there is none.
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

// applyHeartbeat records a heartbeat; it reports whether what is announced changed. One with a lower
// sequence than the newest was held up on its way and counts for nothing.
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
	i.coldState.recordHeartbeat(registration.ColdFor, registration.Sequence, now)
	changed = i.updatePace(source, now)
	if registration.Slots > 0 && registration.Slots != i.slots {
		i.slots = registration.Slots
		changed = true
	}
	previousState := i.lifecycle.MustState()
	i.markUp()
	return changed || previousState != i.lifecycle.MustState()
}

// withdrawnTTL is how long it is remembered that an instance left, so that a late heartbeat does
// not bring it back. It must be longer than a heartbeat may be held up.
const withdrawnTTL = 10 * time.Minute

// Withdraw drains an instance for good: it gets no call from now on, those that it has go on, and
// no heartbeat brings it back.
func (o *Origin) Withdraw(name string) {
	o.mutex.Lock()
	_, alreadyWithdrawn := o.withdrawn[name]
	o.withdrawn[name] = time.Now()
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		if instance.Name == name {
			instance.Drain(DrainInstance)
		}
	}
	if !alreadyWithdrawn {
		o.config.Logger.Info("instance.leaving", "instance", name)
		o.config.Changed()
	}
}

// WithdrawStart is Withdraw for the start of an instance that an id and the time of the start name;
// where no start is stated, for those of the id that are known.
func (o *Origin) WithdrawStart(id string, born uint64) {
	named := incarnation.Incarnation{ID: id, Born: born}
	known := false
	if born == 0 {
		for _, instance := range o.Instances() {
			if instance.identity.ID == id {
				known = true
				o.Withdraw(instance.Name)
			}
		}
	}
	if !known {
		o.Withdraw(named.Name())
	}
}

func (o *Origin) isWithdrawn(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	_, withdrawn := o.withdrawn[name]
	return withdrawn
}

// Withdrawn returns the instances that left.
func (o *Origin) Withdrawn() []string {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	names := make([]string, 0, len(o.withdrawn))
	for name := range o.withdrawn {
		names = append(names, name)
	}
	return names
}

// pruneWithdrawn drops what is old; the caller holds mutex.
func (o *Origin) pruneWithdrawn() {
	for name, at := range o.withdrawn {
		if time.Since(at) > withdrawnTTL {
			delete(o.withdrawn, name)
		}
	}
}

// replaceConflicting withdraws the other incarnations with the id or at the address of one that was heard:
// those that started before it and, at its first heartbeat, those of which that is not known. One
// that started later stays: it was not heard lately, and is the present one if it is heard again.
func (o *Origin) replaceConflicting(reporting *Instance, isNew bool) {
	for _, instance := range o.Instances() {
		if !instance.conflictsWith(reporting.identity, reporting.backend.address) || instance.identity.StartedAfter(reporting.identity) {
			continue
		}
		if isNew || reporting.identity.StartedAfter(instance.identity) {
			o.markReplaced(instance)
		}
	}
}

// markReplaced withdraws an instance whose address another one has.
func (o *Origin) markReplaced(instance *Instance) {
	instance.Drain(DrainReplaced)
	o.Withdraw(instance.Name)
}
