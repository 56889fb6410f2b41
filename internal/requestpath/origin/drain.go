package origin

import "time"

// DrainReason is why an instance takes no new work. An instance drains while there is any reason.
type DrainReason string

// Reasons to drain.
const (
	DrainOperator    DrainReason = "operator"
	DrainMachineList DrainReason = "machine-list"
	DrainStop        DrainReason = "stop"
	// DrainEvacuated is for an instance whose zone is evacuated; it may take work again.
	DrainEvacuated DrainReason = "evacuated"
	// DrainInstance is the instance's own statement that it leaves.
	DrainInstance DrainReason = "instance"
	// DrainReplaced is for an instance whose address another one has.
	DrainReplaced DrainReason = "replaced"
)

// drainReasons are all reasons: calls are refused with the first of those that hold. The permanent
// ones come first, so that no caller comes back in vain.
var drainReasons = []DrainReason{DrainReplaced, DrainInstance, DrainStop, DrainOperator, DrainMachineList, DrainEvacuated}

// Drain adds a reason to take no new work; the calls in flight go on.
func (i *Instance) Drain(reason DrainReason) {
	i.mutex.Lock()
	i.reasons[reason] = true
	fire(i.lifecycle, triggerDrain)
	first, _ := i.firstReason()
	i.queue.Close(drainRefusal(i.Name, first))
	i.mutex.Unlock()
	go i.noteIdle()
}

func (i *Instance) noteIdle() {
	<-i.queue.Idle()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.reasons) > 0 {
		fire(i.lifecycle, triggerIdle)
	}
}

// Resume removes a reason; without any the instance takes work again, at once if it registered and
// is not silent.
func (i *Instance) Resume(reason DrainReason) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.reasons[reason] {
		return
	}
	delete(i.reasons, reason)
	if left, drains := i.firstReason(); drains {
		i.queue.Close(drainRefusal(i.Name, left))
		return
	}
	fire(i.lifecycle, triggerResume)
	if !i.downByCalls {
		i.catchUpLifecycle()
	}
	i.downByCalls = false
	i.queue.Reopen()
}

// firstReason returns the first of the reasons that hold; the caller holds mutex.
func (i *Instance) firstReason() (reason DrainReason, drains bool) {
	for _, reason := range drainReasons {
		if i.reasons[reason] {
			return reason, true
		}
	}
	return "", false
}

// catchUpLifecycle applies the heartbeats that came, or stayed away, while the instance
// drained; the caller holds mutex.
func (i *Instance) catchUpLifecycle() {
	if !i.registered || i.lastHeartbeat.IsZero() {
		return
	}
	fire(i.lifecycle, triggerUp)
	if isSilent(time.Since(i.lastHeartbeat)) {
		fire(i.lifecycle, triggerDown)
	}
}

// Retire drains the instance for good, as an operator asked.
func (i *Instance) Retire() {
	i.Drain(DrainOperator)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fire(i.lifecycle, triggerRetire)
}

// SetEvacuated makes all instances beside the daemon drain, those included that register
// later, or ends that. From the return of SetEvacuated(true) on no call starts here; those
// that run go on to their end. The callers' daemons choose other instances by themselves: this
// guards against those that do not know the order yet.
func (o *Origin) SetEvacuated(evacuated bool) {
	o.evacuating.Lock()
	defer o.evacuating.Unlock()
	o.mutex.Lock()
	before := o.evacuated
	o.evacuated = evacuated
	o.mutex.Unlock()
	if before == evacuated {
		return
	}
	instances := o.Instances()
	for _, instance := range instances {
		if evacuated {
			instance.Drain(DrainEvacuated)
			continue
		}
		instance.coldUntilHeartbeat()
		instance.Resume(DrainEvacuated)
	}
	o.config.Logger.Info("instances.evacuated", "evacuated", evacuated, "instances", len(instances))
	o.config.Changed()
}
