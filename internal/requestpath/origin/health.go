package origin

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// recordCallEnd updates the reachability of the instance with the result of a call. It reports whether a
// probe is due, which checks whether the instance accepts connections.
func (i *Instance) recordCallEnd(err error) (probeDue bool) {
	switch evidenceOf(err) {
	case evidenceAnswer:
		i.recordConnection(nil)
	case evidenceNoConnection:
		i.recordConnection(err)
	case evidenceCallBroken:
		i.mutex.Lock()
		defer i.mutex.Unlock()
		return i.reachability.recordBrokenCall(time.Now())
	}
	return false
}

// recordConnection records whether the back end accepts connections; err is the error if it does
// not.
func (i *Instance) recordConnection(err error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if cause, down := i.reachability.recordFailedConnection(refused, time.Now()); down {
			i.markDownByCalls(cause)
		}
		return
	}
	if i.downByCalls && i.registered {
		// This may be a late response; only a heartbeat shows that the instance is up again.
		return
	}
	i.markUp()
}

// recordCrash marks the instance as down because a crash was detected.
func (i *Instance) recordCrash() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.markDownByCalls(downCallsBroken)
}

// markDownByCalls marks the instance as down because of failed calls. Waiting and new calls are
// refused, so that their callers try other instances; the caller holds mutex.
func (i *Instance) markDownByCalls(cause downCause) {
	state := i.lifecycle.MustState()
	if i.downByCalls || (state != StateReady && state != StateDown) {
		return
	}
	i.downByCalls = true
	if now := time.Now(); now.Before(i.coldState.coldUntil()) {
		i.coldState.crashes.record(now)
	}
	i.markDown(cause)
	i.queue.Close(downRefusal(i.Name, cause))
}

// markDown records that the instance is down; the caller holds mutex.
func (i *Instance) markDown(cause downCause) {
	occupancy := i.queue.Occupancy()
	i.logger.Info("instance.down", "instance", i.Name, "service", i.Service, "cause", string(cause),
		"running", occupancy.Running, "waiting", occupancy.Waiting, "cold", i.coldState.loggedCold)
	fire(i.lifecycle, triggerDown)
}

// markUp records that the instance is up; the caller holds mutex.
func (i *Instance) markUp() {
	i.reachability.recordAnswer()
	i.inFlight.clearCrash()
	fire(i.lifecycle, triggerUp)
	if !i.downByCalls || i.lifecycle.MustState() != StateReady {
		return
	}
	i.downByCalls = false
	i.queue.Reopen()
	i.logger.Info("instance.up", "instance", i.Name, "service", i.Service)
}

// recordCallEnd records the result of a call at its instance, and probes the instance if that is
// due.
func (o *Origin) recordCallEnd(instance *Instance, err error) {
	if instance.recordCallEnd(err) {
		o.probeInBackground(instance)
	}
}

// probeInBackground checks, in a goroutine of its own, whether an instance accepts connections
// after calls to it broke off.
func (o *Origin) probeInBackground(instance *Instance) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	ctx := o.runContext
	if ctx == nil || ctx.Err() != nil {
		return
	}
	o.goroutines.Go(func() { instance.probeConnection(ctx) })
}

func (i *Instance) probeConnection(ctx context.Context) {
	if err := i.backend.probe(ctx); err != nil && ctx.Err() == nil {
		i.recordConnection(err)
	}
}

// heartbeatAge returns the time since the latest heartbeat; 0 for an instance that sends none.
func (i *Instance) heartbeatAge() time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.lastHeartbeatAt.IsZero() {
		return 0
	}
	return time.Since(i.lastHeartbeatAt)
}
