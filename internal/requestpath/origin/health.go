package origin

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// noteCall records what the end of a call shows of whether the instance is up; probe has it
// probed for a connection.
func (i *Instance) noteCall(err error, probe func()) {
	switch evidenceOf(err) {
	case evidenceAnswer:
		i.noteConnection(nil)
	case evidenceNoConnection:
		i.noteConnection(err)
	case evidenceBroke:
		i.mutex.Lock()
		probeDue := i.reachability.noteBroken(time.Now())
		i.mutex.Unlock()
		if probeDue {
			probe()
		}
	}
}

// noteConnection records whether the back end accepts connections; err tells why it does not.
func (i *Instance) noteConnection(err error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if cause, down := i.reachability.noteNoConnection(refused, time.Now()); down {
			i.takeDown(cause)
		}
		return
	}
	if i.downByCalls && i.registered {
		// An answer that was on its way; only a heartbeat shows that it is back.
		return
	}
	i.markUp()
}

// noteCrash records that the instance was found to have crashed.
func (i *Instance) noteCrash() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.takeDown(downBroke)
}

// takeDown takes the instance as down by what its calls showed: waiting and new calls are refused, so
// that they go elsewhere; the caller holds mutex.
func (i *Instance) takeDown(cause downCause) {
	state := i.lifecycle.MustState()
	if i.downByCalls || (state != StateReady && state != StateDown) {
		return
	}
	i.downByCalls = true
	if now := time.Now(); now.Before(i.coldness.until()) {
		i.coldness.crashes.note(now)
	}
	i.markDown(cause)
	i.queue.Close(downRefusal(i.Name, cause))
}

// markDown records that the instance is down; the caller holds mutex.
func (i *Instance) markDown(cause downCause) {
	occupancy := i.queue.Occupancy()
	i.logger.Info("instance.down", "instance", i.Name, "service", i.Service, "cause", string(cause),
		"running", occupancy.Running, "waiting", occupancy.Waiting, "cold", i.coldness.isCold)
	fire(i.lifecycle, triggerDown)
}

// markUp records that the instance is up; the caller holds mutex.
func (i *Instance) markUp() {
	i.reachability.noteAnswer()
	i.inFlight.clearCrash()
	fire(i.lifecycle, triggerUp)
	if !i.downByCalls || i.lifecycle.MustState() != StateReady {
		return
	}
	i.downByCalls = false
	i.queue.Reopen()
	i.logger.Info("instance.up", "instance", i.Name, "service", i.Service)
}

// probe finds out, in the background, whether an instance of which calls broke off accepts a
// connection.
func (o *Origin) probe(instance *Instance) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	ctx := o.runContext
	if ctx == nil || ctx.Err() != nil {
		return
	}
	o.running.Go(func() { instance.probeConnection(ctx) })
}

func (i *Instance) probeConnection(ctx context.Context) {
	if err := i.backend.connect(ctx); err != nil && ctx.Err() == nil {
		i.noteConnection(err)
	}
}

// heartbeatAge returns the time since the newest heartbeat; 0 for an instance that sends none.
func (i *Instance) heartbeatAge() time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.lastHeartbeat.IsZero() {
		return 0
	}
	return time.Since(i.lastHeartbeat)
}
