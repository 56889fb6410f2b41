package origin

import "time"

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

// isWithdrawn reports whether an instance left for good.
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

// retireOthersAt ends the instances whose address a new one has.
func (o *Origin) retireOthersAt(address string, except *Instance) {
	for _, instance := range o.Instances() {
		if instance != except && instance.backend.address == address && instance.registered {
			o.replaced(instance)
		}
	}
}

// replaced ends an instance whose address another one has.
func (o *Origin) replaced(instance *Instance) {
	instance.Drain(DrainReplaced)
	o.Withdraw(instance.Name)
}
