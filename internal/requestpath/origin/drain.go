package origin

import "time"

// DrainReason is why an instance gets no new calls. An instance drains while any reason applies.
type DrainReason string

// Reasons to drain.
const (
	DrainOperator    DrainReason = "operator"
	DrainMachineList DrainReason = "machine-list"
	DrainStop        DrainReason = "stop"
	// DrainEvacuated applies while the zone is evacuated; the instance may get calls again
	// afterwards.
	DrainEvacuated DrainReason = "evacuated"
	// DrainInstance applies once the instance itself has reported that it leaves.
	DrainInstance DrainReason = "instance"
	// DrainReplaced applies to an instance whose address another instance has taken over, or that
	// started earlier than one that left; DrainSuspended while it is unknown whether another one has
	// taken over (takeover.go).
	DrainReplaced  DrainReason = "replaced"
	DrainSuspended DrainReason = "suspended"
)

// drainReasonPrecedence lists all reasons in the order in which they are reported: calls are
// refused with the first one that applies. The permanent reasons come first, so that no caller
// returns to an instance that does not come back.
var drainReasonPrecedence = []DrainReason{DrainReplaced, DrainInstance, DrainStop, DrainOperator, DrainMachineList, DrainSuspended, DrainEvacuated}

// Drain adds a reason to get no new calls; calls in flight continue.
func (i *Instance) Drain(reason DrainReason) {
	i.mutex.Lock()
	i.drainReasons[reason] = true
	fire(i.lifecycle, triggerDrain)
	first, _ := i.firstDrainReason()
	i.queue.Close(drainRefusal(i.Name, first))
	i.mutex.Unlock()
	go i.awaitIdle()
}

// awaitIdle waits until no call is in flight and marks the instance as drained if it still drains.
func (i *Instance) awaitIdle() {
	<-i.queue.Idle()
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if len(i.drainReasons) > 0 {
		fire(i.lifecycle, triggerIdle)
	}
}

// Resume removes a reason. If none remains the instance gets calls again, at once if it is
// registered and not silent.
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
		i.applyHeartbeatsDuringDrain()
	}
	i.downByCalls = false
	i.queue.Reopen()
}

// hasEnded reports whether the instance left permanently or another one has taken its place.
func (i *Instance) hasEnded() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.drainReasons[DrainInstance] || i.drainReasons[DrainReplaced]
}

// firstDrainReason returns the first reason that applies, in order of precedence; the caller holds
// mutex.
func (i *Instance) firstDrainReason() (reason DrainReason, draining bool) {
	for _, reason := range drainReasonPrecedence {
		if i.drainReasons[reason] {
			return reason, true
		}
	}
	return "", false
}

// applyHeartbeatsDuringDrain sets the state that follows from the heartbeats received while the
// instance drained: up, or down if they stopped. The caller holds mutex.
func (i *Instance) applyHeartbeatsDuringDrain() {
	if !i.registered || i.lastHeartbeatAt.IsZero() {
		return
	}
	fire(i.lifecycle, triggerUp)
	if isSilent(time.Since(i.lastHeartbeatAt)) {
		fire(i.lifecycle, triggerDown)
	}
}

// Retire drains the instance permanently, as requested by an operator.
func (i *Instance) Retire() {
	i.Drain(DrainOperator)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	fire(i.lifecycle, triggerRetire)
}

// SetEvacuated drains all local instances, including those that register later, or ends that drain.
// After SetEvacuated(true) has returned no call starts here; running calls continue to their end.
// The daemons of callers choose other instances on their own; the drain covers those that have not
// received the evacuation order yet.
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
