// Package configsource follows an outside source of the configuration and of the
// operators' orders, where the source itself decides which version is in force. Of
// all daemons about one asks at a time, and the others learn from it how fresh their
// version is. It keeps asking through outages and leaves what is in force where a
// version cannot be used.
package configsource

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Position is a place in the source's history; the source gives it out. It is one
// for all that the source keeps, and the revisions of orders are positions.
type Position uint64

// Source is where configurations come from. An error with a code of 2xxx, or
// PlatformBadAnswer, says that the configuration at the returned position cannot
// be used; any other that the source was not reached.
type Source interface {
	// Latest returns the configuration as it stands, with its position; nil
	// when there is none yet.
	Latest(ctx context.Context) (*lapisv1.Configuration, Position, error)
	// Next waits for a configuration after position. It returns nil and the
	// position up to which there was none when the wait was over. Errors:
	// PlatformCompacted when the history after position is gone.
	Next(ctx context.Context, after Position, wait time.Duration) (*lapisv1.Configuration, Position, error)
	// Orders returns all orders as they stand, at the revision that is the source's
	// position.
	Orders(ctx context.Context) (*orders.Set, error)
}

// Follower follows a source. The followers of all daemons share the work: see
// schedule.
type Follower struct {
	Source Source
	// Apply puts a configuration in force. It is called for each one that the
	// source brings, also for one that is in force already.
	Apply func(*lapisv1.Configuration)
	// TakeOrders puts orders in force. It is called with each answer, also with one
	// that asks for what is in force already; nil where operators give no orders.
	TakeOrders func(*orders.Set)
	// OrdersBound is the time within which orders must be in force.
	OrdersBound time.Duration
	// Freshness is shared with whoever hears of other daemons' confirmations.
	Freshness *Freshness
	// Confirmed is called after each answer of the source, once what it brought
	// is in force.
	Confirmed func()
	// Awaited reports whether a call waits for the first configuration; nil where none
	// ever does.
	Awaited func() bool
	// Bound is the time within which an accepted configuration must be in force.
	Bound time.Duration
	// Daemons returns the number of daemons known.
	Daemons func() int
	// Pace is the least time between two questions, so that all daemons
	// together stay within the source's rate when each asks for itself.
	Pace func() time.Duration
	// Random returns numbers between 0 and 1.
	Random func() float64
	// Resumed has Run look again when its next question is due, because the machine was
	// suspended and the clock has jumped ahead of the timer; nil for never.
	Resumed <-chan struct{}
	Logger  logr.Logger

	// Asked and OrdersAsked count the questions for the configuration and for orders,
	// Failed the turns that were not answered.
	Asked, OrdersAsked, Failed atomic.Int64

	// The following belong to Run. position is how far the source's history is
	// known, if it is; failing is true after a question without an answer, the
	// last one at failedAt.
	position Position
	known    bool
	failing  bool
	failedAt time.Time
	// orders is what is known of the orders from the questions of this daemon.
	orders ordersRead
}

// historyTrusted is the age from which the history after the last answer is not
// asked for, but the whole. It is below the ten seconds after which sources
// forget.
const historyTrusted = 8 * time.Second

// awaitedCheck is how often a starting daemon looks whether a call waits for it.
const awaitedCheck = 20 * time.Millisecond

// shortestWait is the wait of a question that only wants to know what is there.
const shortestWait = time.Millisecond

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	plan := newSchedule(f.Bound, f.Random, boottime.Now())
	for {
		led := plan.leading
		starting := plan.confirmed.IsZero()
		if starting && f.Awaited != nil && f.Awaited() {
			plan.hurry()
		}
		due := plan.due(f.Freshness.Confirmed(), f.Daemons())
		if led && !plan.leading {
			f.Logger.Info("source.lead_left", "position", uint64(f.position))
		}
		if f.failing && f.Freshness.Confirmed().After(f.failedAt) {
			f.regained("another daemon")
		}
		if wait := boottime.Until(due); wait > 0 {
			if starting {
				wait = min(wait, awaitedCheck)
			}
			if !f.wait(ctx, wait) {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.askInTurn(ctx, plan)
	}
}

// wait waits until a question may be due; it reports false when ctx ended.
func (f *Follower) wait(ctx context.Context, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.Resumed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// askInTurn asks the source once and notes the outcome.
func (f *Follower) askInTurn(ctx context.Context, plan *schedule) {
	asked := boottime.Now()
	confirmed := f.Freshness.Confirmed()
	if !plan.leading && asked.Sub(plan.led) > historyTrusted {
		f.known = false
	}
	err := f.askOnce(ctx, asked)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.noteFailure(err)
		plan.failed(boottime.Now(), f.Pace(), f.Freshness.Confirmed().IsZero())
		return
	}
	if f.failing {
		f.regained("itself")
	}
	if !plan.leading {
		f.noteLead(asked, confirmed)
	}
	plan.answered(asked)
	versions, _ := f.Freshness.InForce()
	f.Freshness.Confirm(versions, asked)
	f.Confirmed()
}

func (f *Follower) noteFailure(err error) {
	if !f.failing {
		f.Logger.Info("source.lost", "position", uint64(f.position), "error", err)
	}
	f.failing = true
	f.failedAt = boottime.Now()
	f.Failed.Add(1)
}

// noteLead notes that this daemon asks on from now, and how old the last
// confirmation was that it had heard of.
func (f *Follower) noteLead(asked, confirmed time.Time) {
	if confirmed.IsZero() {
		f.Logger.Info("source.lead_taken", "position", uint64(f.position), "confirmed", false)
		return
	}
	f.Logger.Info("source.lead_taken", "position", uint64(f.position), "confirmed", true, "age_ms", asked.Sub(confirmed).Milliseconds())
}

// regained notes that the source's word comes again, from itself or through
// another daemon.
func (f *Follower) regained(by string) {
	f.failing = false
	f.Logger.Info("source.regained", "position", uint64(f.position), "by", by)
}

// answerTime bounds the time that an answer may take. After a question that got none
// it is longer: a source that is slow all the time is followed late rather than not
// at all.
func (f *Follower) answerTime() time.Duration {
	if f.failing {
		return f.Bound
	}
	return time.Duration(answerPart * float64(f.Bound))
}

// askConfiguration asks the source for what is newer than the known position, or for
// the whole. A configuration that cannot be used counts as an answer.
func (f *Follower) askConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.answerTime())
	defer cancel()
	next, err := f.ask(ctx, f.position, f.known)
	if result.Is(err, result.PlatformCompacted) {
		f.Logger.Info("source.history_gone", "position", uint64(f.position))
		next, err = f.ask(ctx, f.position, false)
	}
	if unusable(err) {
		f.Logger.Error(err, "configuration.refused", "position", uint64(next))
		err = nil
	}
	if err == nil {
		f.position = next
		f.known = true
	}
	return err
}

// unusable reports whether an error is about the configuration and not about the
// way to its source.
func unusable(err error) bool {
	code, ok := result.CodeOf(err)
	return err != nil && ok && (code.Validation() || code == result.PlatformBadAnswer)
}

// ask asks the source once, for the whole when no position is known.
func (f *Follower) ask(ctx context.Context, position Position, known bool) (Position, error) {
	var configuration *lapisv1.Configuration
	var err error
	f.Asked.Add(1)
	if known {
		configuration, position, err = f.Source.Next(ctx, position, shortestWait)
	} else {
		configuration, position, err = f.Source.Latest(ctx)
	}
	if err == nil && configuration != nil {
		f.Apply(configuration)
	}
	return position, err
}
