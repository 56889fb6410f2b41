package origin

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/requestpath/admission"
)

// Registration is what an instance states of itself with each heartbeat.
type Registration struct {
	Service string
	// Instance names one incarnation of the instance; a restart brings a new name.
	Instance string
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

// Register records a heartbeat, the first of which makes the instance known. From its return on, a
// draining instance gets no call that it did not have before.
func (o *Origin) Register(registration Registration) {
	instance, fresh := o.registered(registration)
	changed := instance != nil && instance.noteHeartbeat(registration, fresh)
	if registration.Draining {
		o.Withdraw(registration.Instance)
		return
	}
	if instance == nil {
		return
	}
	if fresh {
		o.replaceOthersAt(registration.Address, instance)
	}
	if changed || fresh {
		o.config.Changed()
	}
}

// registered returns the instance that a heartbeat is from, which may be new; nil where the
// heartbeat counts for nothing.
func (o *Origin) registered(registration Registration) (instance *Instance, fresh bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.forgetWithdrawn()
	_, left := o.withdrawn[registration.Instance]
	key := instanceKey{registration.Service, registration.Instance}
	known, isKnown := o.instances[key]
	if !isKnown && !o.hasService(registration.Service) {
		o.unknownServices.Do(func() {
			o.config.Logger.Info("instance.service_unknown", "instance", registration.Instance, "service", registration.Service)
		})
		return nil, false
	}
	holder := o.holderOf(registration.Address)
	switch kindOfHeartbeat(left, isKnown, holder != nil, registration.Sequence) {
	case heartbeatOfLeft:
		return nil, false
	case heartbeatOfKnown:
		return known, false
	case heartbeatOfEarlier:
		o.config.Logger.Info("instance.beat_late", "instance", registration.Instance, "address", registration.Address,
			"sequence", registration.Sequence, "present", holder.Name)
		return nil, false
	}
	instance = o.newRegistered(registration)
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

// newRegistered returns the instance that a first heartbeat states. From the start it follows what
// is known of its pool, of the daemon and of its zone; the caller holds mutex.
func (o *Origin) newRegistered(registration Registration) *Instance {
	limits := admission.Limits{Slots: max(registration.Slots, 1), QueueLength: o.config.QueueLength, QueueTime: o.config.QueueTime}
	instance := newInstance(registration.Service, registration.Instance, registration.Address, limits, DefaultConnections, &o.config.Envelope)
	instance.registered = true
	instance.slots = registration.Slots
	instance.logger = o.config.Logger
	instance.coldness.bound = o.config.Cold
	instance.coldness.crashes = &o.coldCrashes
	instance.version = registration.Version
	if o.current != nil {
		instance.configure(o.current)
	}
	instance.paceFirst(registration)
	if o.stopping {
		instance.Drain(DrainStop)
	}
	if o.evacuated {
		instance.Drain(DrainEvacuated)
	}
	return instance
}

// holderOf returns the instance that registered at an address and holds it, nil when there is
// none; the caller holds mutex.
func (o *Origin) holderOf(address string) *Instance {
	for _, instance := range o.instances {
		if instance.registered && instance.backend.address == address && instance.holdsAddress() {
			return instance
		}
	}
	return nil
}

func (i *Instance) holdsAddress() bool {
	age := i.heartbeatAge()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return holdsAddress(age, i.lifecycle.MustState().(State), i.reasons)
}

// LocalService returns the service of the instance that became known last, of those that are not
// dropped; empty when there is none.
func (o *Origin) LocalService() string {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	var newest *Instance
	for _, instance := range o.instances {
		if newest == nil || instance.started.After(newest.started) {
			newest = instance
		}
	}
	if newest == nil {
		return ""
	}
	return newest.Service
}

// noteHeartbeat records a heartbeat; it reports whether what is announced changed. One with a lower
// sequence than the newest was held up on its way and counts for nothing.
func (i *Instance) noteHeartbeat(registration Registration, fresh bool) (changed bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if registration.Sequence < i.sequence {
		return false
	}
	now := time.Now()
	i.sequence = registration.Sequence
	i.lastHeartbeat = now
	source := coldByHeartbeat
	if fresh {
		source = coldByStart
	}
	i.coldness.noteHeartbeat(registration.ColdFor, registration.Sequence, now)
	changed = i.followCold(source, now)
	if registration.Slots > 0 && registration.Slots != i.slots {
		i.slots = registration.Slots
		changed = true
	}
	before := i.lifecycle.MustState()
	i.markUp()
	return changed || before != i.lifecycle.MustState()
}

// withdrawnMemory is how long it is remembered that an instance left, so that a late heartbeat does
// not bring it back. Chosen, not measured; it must be longer than a heartbeat may be held up.
const withdrawnMemory = 10 * time.Minute

// Withdraw drains an instance for good: it gets no call from now on, those that it has go on, and
// no heartbeat brings it back.
func (o *Origin) Withdraw(name string) {
	o.mutex.Lock()
	_, before := o.withdrawn[name]
	o.withdrawn[name] = time.Now()
	o.mutex.Unlock()
	for _, instance := range o.Instances() {
		if instance.Name == name {
			instance.Drain(DrainInstance)
		}
	}
	if !before {
		o.config.Logger.Info("instance.leaving", "instance", name)
		o.config.Changed()
	}
}

func (o *Origin) isWithdrawn(name string) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	_, left := o.withdrawn[name]
	return left
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

// forgetWithdrawn drops what is old; the caller holds mutex.
func (o *Origin) forgetWithdrawn() {
	for name, at := range o.withdrawn {
		if time.Since(at) > withdrawnMemory {
			delete(o.withdrawn, name)
		}
	}
}

// replaceOthersAt withdraws the other instances that registered at the address of a new one.
func (o *Origin) replaceOthersAt(address string, except *Instance) {
	for _, instance := range o.Instances() {
		if instance != except && instance.backend.address == address && instance.registered {
			o.markReplaced(instance)
		}
	}
}

// markReplaced withdraws an instance whose address another one has.
func (o *Origin) markReplaced(instance *Instance) {
	instance.Drain(DrainReplaced)
	o.Withdraw(instance.Name)
}
