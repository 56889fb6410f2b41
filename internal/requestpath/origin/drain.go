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

// drainReasonPrecedence are all reasons: calls are refused with the first of those that hold. The permanent
// ones come first, so that no caller comes back in vain.
var drainReasonPrecedence = []DrainReason{DrainReplaced, DrainInstance, DrainStop, DrainOperator, DrainMachineList, DrainEvacuated}

// Drain adds a reason to take no new work; the calls in flight go on.
func (i *Instance) Drain(reason DrainReason) {
	i.mutex.Lock()
	i.drainReasons[reason] = true
	fire(i.lifecycle, triggerDrain)
	first, _ := i.firstDrainReason()
	i.queue.Close(drainRefusal(i.Name, first))
	i.mutex.Unlock()
	go i.awaitIdle()
}

func (i *Instance) awaitIdle() {
	<-i.queue.Idle()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.drainReasons) > 0 {
		fire(i.lifecycle, triggerIdle)
	}
}

// Resume removes a reason; without any the instance takes work again, at once if it registered and
// is not silent.
func (i *Instance) Resume(reason DrainReason) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if !i.drainReasons[reason] {
		return
	}
	delete(i.drainReasons, reason)
	if remaining, draining := i.firstDrainReason(); draining {
		i.queue.Close(drainRefusal(i.Name, remaining))
		return
	}
	fire(i.lifecycle, triggerResume)
	if !i.downByCalls {
		i.applyMissedHeartbeats()
	}
	i.downByCalls = false
	i.queue.Reopen()
}

// firstDrainReason returns the first of the reasons that hold; the caller holds mutex.
func (i *Instance) firstDrainReason() (reason DrainReason, draining bool) {
	for _, reason := range drainReasonPrecedence {
		if i.drainReasons[reason] {
			return reason, true
		}
	}
	return "", false
}

// applyMissedHeartbeats applies the heartbeats that came, or stayed away, while the instance
// drained; the caller holds mutex.
func (i *Instance) applyMissedHeartbeats() {
	if !i.registered || i.lastHeartbeatAt.IsZero() {
		return
	}
	fire(i.lifecycle, triggerUp)
	if isSilent(time.Since(i.lastHeartbeatAt)) {
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
	o.evacuationMutex.Lock()
	defer o.evacuationMutex.Unlock()
	o.mutex.Lock()
	wasEvacuated := o.evacuated
	o.evacuated = evacuated
	o.mutex.Unlock()
	if wasEvacuated == evacuated {
		return
	}
	instances := o.Instances()
	for _, instance := range instances {
		if evacuated {
			instance.Drain(DrainEvacuated)
			continue
		}
		instance.assumeColdUntilHeartbeat()
		instance.Resume(DrainEvacuated)
	}
	o.config.Logger.Info("instances.evacuated", "evacuated", evacuated, "instances", len(instances))
	o.config.Changed()
}
