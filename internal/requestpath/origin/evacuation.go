package origin

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
		instance.coldUntilHeard()
		instance.Resume(DrainEvacuated)
	}
	o.config.Logger.Info("instances.evacuated", "evacuated", evacuated, "instances", len(instances))
	o.config.Changed()
}
