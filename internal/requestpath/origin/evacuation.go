package origin

import (
	"slices"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// SetEvacuated makes all instances beside the daemon drain, those included that register
// later, or ends that. From the return of SetEvacuated(true) on no call starts here; those
// that run are seen through. The callers' daemons choose other instances by themselves:
// this is the guard against those that have not heard of the order.
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

// checkRegion refuses a call that may not run in the daemon's region. Neither that nor
// the call's list changes while the call waits. Errors: CallNotRunRegion.
func (o *Origin) checkRegion(open *lapisv1.CallOpen) error {
	allowed := open.GetAllowedRegions()
	if len(allowed) == 0 || (o.config.Region != "" && slices.Contains(allowed, o.config.Region)) {
		return nil
	}
	return result.Errorf(result.CallNotRunRegion, "the call may run in %q, the instance is in %q", allowed, o.config.Region)
}
