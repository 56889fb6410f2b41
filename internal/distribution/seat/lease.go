package seat

import (
	"context"
	"time"

	"github.com/qmuntal/stateless"
)

// State is the state of a daemon's lease of one seat.
type State string

// States of a lease.
const (
	// StateIdle: the daemon holds no seat.
	StateIdle State = "idle"
	// StateHolding: the daemon holds the seat and the lease has not expired.
	StateHolding State = "holding"
	// StateSuspended: the daemon did not renew in time. It still serves its children, but writes
	// nothing until a renewal succeeds.
	StateSuspended State = "suspended"
	// StateLost: another daemon took the seat over.
	StateLost State = "lost"
)

// trigger is an event that changes the state of a lease.
type trigger string

const (
	triggerAcquired trigger = "acquired"
	triggerRenewed  trigger = "renewed"
	triggerLapsed   trigger = "lapsed"
	triggerTaken    trigger = "taken"
	triggerReleased trigger = "released"
)

const (
	// renewalsPerLease is the number of renewals within the duration of a lease, so that two
	// renewals in a row may fail. It must be at least 2.
	renewalsPerLease = 3
	// renewalJitter is the maximum random reduction of the renewal interval, as a fraction of it,
	// so that the holders of a site do not all write at the same time.
	renewalJitter = 0.1
)

// RenewAfter returns the wait before the next renewal of a lease of the given duration, at most a
// third of it. random is in [0, 1).
func RenewAfter(lease time.Duration, random float64) time.Duration {
	interval := lease / renewalsPerLease
	return interval - time.Duration((1-random)*renewalJitter*float64(interval))
}

// Lease is the holder's view of its seat. It is not safe for concurrent use.
type Lease struct {
	machine  *stateless.StateMachine
	duration time.Duration
	// deadline is when the lease expires on this machine's clock.
	deadline time.Time
	// version is the object's version at the last renewal. Writes name it as a fencing token.
	version int64
}

// NewLease returns an idle lease of the given duration.
func NewLease(duration time.Duration) *Lease {
	machine := stateless.NewStateMachine(StateIdle)
	machine.Configure(StateIdle).
		Permit(triggerAcquired, StateHolding).
		Ignore(triggerLapsed).Ignore(triggerTaken).Ignore(triggerReleased)
	machine.Configure(StateHolding).
		PermitReentry(triggerRenewed).
		Permit(triggerLapsed, StateSuspended).
		Permit(triggerTaken, StateLost).
		Permit(triggerReleased, StateIdle)
	machine.Configure(StateSuspended).
		Permit(triggerRenewed, StateHolding).
		Permit(triggerTaken, StateLost).
		Permit(triggerReleased, StateIdle).
		Ignore(triggerLapsed)
	machine.Configure(StateLost).
		Permit(triggerAcquired, StateHolding).
		Ignore(triggerLapsed).Ignore(triggerTaken).Ignore(triggerReleased)
	return &Lease{machine: machine, duration: duration}
}

// State returns the state at now. A lease whose deadline has passed, for example during a pause, is
// suspended first.
func (l *Lease) State(now time.Time) State {
	if l.current() == StateHolding && !now.Before(l.deadline) {
		l.fire(triggerLapsed)
	}
	return l.current()
}

func (l *Lease) current() State { return l.machine.MustState().(State) }

// fire triggers a transition of the state machine. The error is ignored, because it cannot occur:
// every trigger is permitted or ignored in each state in which it can come, and transitions have no
// actions.
func (l *Lease) fire(event trigger) { _ = l.machine.FireCtx(context.Background(), event) }

// Acquired records that the write sent at sentAt acquired the seat with version.
func (l *Lease) Acquired(sentAt time.Time, version int64) {
	l.fire(triggerAcquired)
	l.deadline = sentAt.Add(l.duration)
	l.version = version
}

// Renewed records that the renewal sent at sentAt succeeded with version.
func (l *Lease) Renewed(sentAt time.Time, version int64) {
	if l.current() != StateHolding && l.current() != StateSuspended {
		return
	}
	l.fire(triggerRenewed)
	l.deadline = sentAt.Add(l.duration)
	l.version = version
}

// Lost records that another daemon holds the seat.
func (l *Lease) Lost() { l.fire(triggerTaken) }

// Released records that this daemon released the seat.
func (l *Lease) Released() { l.fire(triggerReleased) }

// MayWrite reports whether the holder may write to the object API at now, and the version that its
// write must name.
func (l *Lease) MayWrite(now time.Time) (version int64, ok bool) {
	return l.version, l.State(now) == StateHolding
}

// Version returns the object's version at the last renewal.
func (l *Lease) Version() int64 { return l.version }
