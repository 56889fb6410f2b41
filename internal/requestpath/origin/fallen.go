package origin

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of what is taken as a sign that an instance fell over.
const (
	// brokenAfter is the number of calls that broke off within brokenWithin, without
	// an answer in between, after which the instance is asked whether it accepts a
	// connection. Single ones break because a connection rested too long or was reset.
	brokenAfter  = 3
	brokenWithin = 500 * time.Millisecond
	// askedAgainAfter is the least time between two such questions.
	askedAgainAfter = 500 * time.Millisecond
)

// downCause is why an instance counts as down.
type downCause string

// Causes of being down.
const (
	downUnreachable downCause = "no_connections"
	downBroke       downCause = "calls_broke_off"
	downSilent      downCause = "no_heartbeats"
)

// signs are what calls lately showed of whether an instance is up.
type signs struct {
	// failed counts the connections in a row that could not be opened.
	failed int
	// broken are the times of the calls that broke off since the last answer.
	broken []time.Time
	// askedAt is when the instance was asked last.
	askedAt time.Time
}

// answered takes in that the instance is up.
func (s *signs) answered() {
	s.failed = 0
	s.broken = s.broken[:0]
}

// brokeOff takes in that a call broke off; it reports whether the instance is to be asked
// for a connection, since so many did.
func (s *signs) brokeOff(now time.Time) (ask bool) {
	s.forget(now)
	s.broken = append(s.broken, now)
	if len(s.broken) < brokenAfter || now.Sub(s.askedAt) < askedAgainAfter {
		return false
	}
	s.askedAt = now
	return true
}

// notConnected takes in that a connection could not be opened; it reports whether the
// instance is down and why: several in a row show that, or after calls broke off one that
// was refused. One that found no answer in time may be lost on its way.
func (s *signs) notConnected(refused bool, now time.Time) (cause downCause, down bool) {
	s.forget(now)
	s.failed++
	if refused && len(s.broken) > 0 {
		return downBroke, true
	}
	return downUnreachable, s.failed >= downAfter
}

// forget drops the calls that broke off long ago.
func (s *signs) forget(now time.Time) {
	for len(s.broken) > 0 && now.Sub(s.broken[0]) > brokenWithin {
		s.broken = s.broken[1:]
	}
}

// noteCall follows from the end of a call whether the instance is up. ask has it asked
// whether it accepts a connection.
func (i *Instance) noteCall(err error, ask func()) {
	switch {
	case err == nil:
		i.noteConnection(nil)
	case result.Is(err, result.CallInstanceCrashed):
		// It was asked already.
	case result.Is(err, result.CallNotRunUnreachable):
		i.noteConnection(err)
	case callapi.OutcomeOf(err) == callapi.OutcomeUnknown && !result.Is(err, result.CallDeadline) && !result.Is(err, result.CallCancelled):
		if i.noteBroken() {
			ask()
		}
	}
}

// noteBroken takes in that a call broke off.
func (i *Instance) noteBroken() (ask bool) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return i.signs.brokeOff(time.Now())
}

// noteConnection follows whether the back end accepts connections; err tells why it does
// not.
func (i *Instance) noteConnection(err error) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		if cause, down := i.signs.notConnected(refused, time.Now()); down {
			i.fallOver(cause)
		}
		return
	}
	if i.fallen && i.registered {
		// An answer that was on its way; only a heartbeat shows that it is back.
		return
	}
	i.comeUp()
}

// noteOver takes in that the instance was found to have ended.
func (i *Instance) noteOver() {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.fallOver(downBroke)
}

// fallOver takes the instance as down: what waits for it is refused, so that it goes
// elsewhere, and so is what comes; the caller holds mutex.
func (i *Instance) fallOver(cause downCause) {
	state := i.lifecycle.MustState()
	if i.fallen || (state != StateReady && state != StateDown) {
		return
	}
	i.fallen = true
	if now := time.Now(); now.Before(i.coldness.until()) {
		i.coldness.falls.note(now)
	}
	i.goDown(cause)
	i.queue.Close(result.Errorf(result.CallNotRunUnreachable, "instance %s is down (%s)", i.Name, cause))
}

// goDown notes that the instance is down; the caller holds mutex.
func (i *Instance) goDown(cause downCause) {
	occupancy := i.queue.Occupancy()
	i.logger.Info("instance.down", "instance", i.Name, "service", i.Service, "cause", string(cause),
		"running", occupancy.Running, "waiting", occupancy.Waiting, "cold", i.coldness.is)
	fire(i.lifecycle, triggerDown)
}

// comeUp takes the instance as up; the caller holds mutex.
func (i *Instance) comeUp() {
	i.signs.answered()
	i.inFlight.markUp()
	fire(i.lifecycle, triggerUp)
	if !i.fallen || i.lifecycle.MustState() != StateReady {
		return
	}
	i.fallen = false
	i.queue.Reopen()
	i.logger.Info("instance.up", "instance", i.Name, "service", i.Service)
}

// ask finds out whether an instance of which calls broke off accepts a connection.
func (o *Origin) ask(instance *Instance) {
	o.mutex.RLock()
	defer o.mutex.RUnlock()
	ctx := o.runContext
	if ctx == nil || ctx.Err() != nil {
		return
	}
	o.running.Go(func() { instance.askConnection(ctx) })
}

func (i *Instance) askConnection(ctx context.Context) {
	if err := i.backend.connect(ctx); err != nil && ctx.Err() == nil {
		i.noteConnection(err)
	}
}
