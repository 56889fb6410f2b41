package origin

import "time"

// This file decides which of several incarnations with one ID or address is served. The one that started
// later is, if starts are stated. Otherwise a new one takes over with its first heartbeat, because the
// earlier one may have crashed without notice. That heartbeat may also be a delayed one of an incarnation
// that has ended, so the other one is only suspended at first (DrainSuspended): it is served again with
// its next heartbeat or once the new one is gone, and withdrawn once the new one has sent a second.

// isFresh reports whether a heartbeat was sent after all others that this daemon received from the
// instance.
func (i *Instance) isFresh(sequence uint64) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return sequence > i.sequence
}

// resolveConflicts applies a heartbeat of an instance to the other incarnations with its ID or at its
// address. isFresh is true unless the heartbeat was delayed, and isNew if it is the first one. An
// incarnation that started later stays: it has not sent a heartbeat lately, and is the present one if it
// sends another, but not if an earlier heartbeat of it arrives late or again.
func (o *Origin) resolveConflicts(reporting *Instance, isNew, isFresh bool) {
	for _, other := range o.Instances() {
		if !other.conflictsWith(reporting.identity, reporting.backend.address) || other.identity.StartedAfter(reporting.identity) {
			continue
		}
		switch {
		case reporting.identity.StartedAfter(other.identity):
			if isFresh {
				o.replace(other, reporting)
			}
		case isNew:
			o.suspend(other, reporting)
		case isFresh && o.isSuspendedFor(other, reporting):
			o.replace(other, reporting)
		case isFresh && o.isSuspendedFor(reporting, other):
			o.endSuspension(reporting)
			o.suspend(other, reporting)
		}
	}
}

// suspend drains an instance whose address or ID another one, its successor, seems to have taken over.
func (o *Origin) suspend(instance, successor *Instance) {
	o.mutex.Lock()
	o.successors[instance] = successor
	o.mutex.Unlock()
	instance.Drain(DrainSuspended)
	o.config.Logger.Info("instance.suspended", "instance", instance.Name, "by", successor.Name)
}

// isSuspendedFor reports whether an instance is suspended because of a successor.
func (o *Origin) isSuspendedFor(instance, successor *Instance) bool {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	return o.successors[instance] == successor
}

// endSuspension lets a suspended instance be served again.
func (o *Origin) endSuspension(instance *Instance) {
	o.mutex.Lock()
	delete(o.successors, instance)
	o.mutex.Unlock()
	instance.Resume(DrainSuspended)
}

// endSuspensionsFor lets the instances that are suspended for a successor be served again, because the
// successor is not at the address, or not any more.
func (o *Origin) endSuspensionsFor(successor *Instance) {
	for _, instance := range o.Instances() {
		if o.isSuspendedFor(instance, successor) {
			o.endSuspension(instance)
		}
	}
}

// replace withdraws an instance whose address or ID a successor has taken over.
func (o *Origin) replace(instance, successor *Instance) {
	if instance.backend.address == successor.backend.address {
		o.noteTakeover(instance, successor.runningSince())
	}
	o.markReplaced(instance)
}

// runningSince returns the stated start of the instance, or the time of its first heartbeat if that is
// earlier. A start long before that heartbeat is of a clock that was set, and is not used in full.
func (i *Instance) runningSince() time.Time {
	stated := time.UnixMilli(int64(i.identity.StartUnixMillis))
	if i.identity.StartUnixMillis == 0 || !stated.Before(i.startedAt) {
		return i.startedAt
	}
	return i.startedAt.Add(-min(i.startedAt.Sub(stated), presenceTimeout))
}

// announcedLeave reports whether the instance has said that it leaves.
func (i *Instance) announcedLeave() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.drainReasons[DrainInstance]
}

// markReplaced withdraws an instance whose address another instance has taken over.
func (o *Origin) markReplaced(instance *Instance) {
	instance.Drain(DrainReplaced)
	o.endSuspensionsFor(instance)
	o.withdraw(instance.Name, withdrawnByReplacement)
}

// supersede drains an instance because a later start has left, by the name of that departure. It is not recorded
// as withdrawn: if the clock was set back it is the present one, and registers again once it is dropped, or is served
// again before that (resumeSuperseded).
func (o *Origin) supersede(instance *Instance, departed string) {
	if instance.hasEnded() {
		return
	}
	instance.Drain(DrainReplaced)
	o.config.Logger.Info("instance.superseded", "instance", instance.Name, "by", departed, "beat_age_ms", instance.heartbeatAge().Milliseconds())
}

// resumeSuperseded ends supersede: the instance is the present one.
func (i *Instance) resumeSuperseded() {
	i.mutex.Lock()
	i.resumedAt = time.Now()
	i.mutex.Unlock()
	i.Resume(DrainReplaced)
}

// presentSince returns when the instance was first shown to be present, or again after supersede.
func (i *Instance) presentSince() time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.resumedAt.IsZero() {
		return i.startedAt
	}
	return i.resumedAt
}

// supersedeEarlier drains the incarnations that a leaving instance shows to be over: those with its ID or at its
// address that started earlier.
func (o *Origin) supersedeEarlier(leaving *Instance) {
	for _, other := range o.Instances() {
		if other.conflictsWith(leaving.identity, leaving.backend.address) && leaving.identity.StartedAfter(other.identity) {
			o.supersede(other, leaving.Name)
		}
	}
}
