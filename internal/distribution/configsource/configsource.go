package configsource

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
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
	// PlatformCompacted when the history after position is deleted.
	Next(ctx context.Context, after Position, wait time.Duration) (*lapisv1.Configuration, Position, error)
	// Orders returns all orders as they stand, at the revision that is the source's
	// position.
	Orders(ctx context.Context) (*orders.Set, error)
}

// Follower follows a source. Its fields are set before Run and not changed afterwards; the
// counters may be read at any time.
type Follower struct {
	Source Source
	// Apply puts a configuration in force. It is called for each one that the
	// source brings, also for one that is in force already.
	Apply func(*lapisv1.Configuration)
	// ApplyOrders puts orders in force. It is called with each answer, also with one
	// that asks for what is in force already; nil where operators give no orders.
	ApplyOrders func(*orders.Set)
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
	// MinInterval returns the least time between a failed poll and the next one, so that
	// all daemons together stay within the source's rate when each polls for itself.
	MinInterval func() time.Duration
	// Random returns numbers between 0 and 1.
	Random func() float64
	// Resumed has Run check again whether a poll is due, because the machine was
	// suspended and the clock has jumped ahead of the timer; nil for never.
	Resumed <-chan struct{}
	Logger  logr.Logger

	// ConfigurationRequests and OrderRequests count the requests to the source,
	// FailedPolls the polls that were not answered.
	ConfigurationRequests, OrderRequests, FailedPolls atomic.Int64

	// The following belong to Run. position is how far the source's history is
	// known, if it is; failing is true after a poll without an answer, the
	// last one at failedAt.
	position Position
	known    bool
	failing  bool
	failedAt time.Time
	// ordersRead is what this daemon has read of the orders itself.
	ordersRead ordersRead
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	plan := newSchedule(f.Bound, f.Random, boottime.Now())
	for {
		wait := f.untilPoll(plan)
		if wait > 0 {
			if !f.wait(ctx, wait) {
				return
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.poll(ctx, plan)
	}
}

// untilPoll returns the time until a poll may be due, 0 or less when it is, and logs what
// another daemon's confirmation has changed since it was called before.
func (f *Follower) untilPoll(plan *schedule) time.Duration {
	wasPoller := plan.activePoller
	starting := plan.confirmed.IsZero()
	if starting && f.Awaited != nil && f.Awaited() {
		plan.hurry()
	}
	due := plan.due(f.Freshness.Confirmed(), f.Daemons())
	if wasPoller && !plan.activePoller {
		f.Logger.Info("source.lead_left", "position", uint64(f.position))
	}
	if f.failing && f.Freshness.Confirmed().After(f.failedAt) {
		f.regained("another daemon")
	}
	wait := boottime.Until(due)
	if wait > 0 && starting {
		wait = min(wait, awaitedCheck)
	}
	return wait
}

// wait waits until a poll may be due; it reports false when ctx ended.
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

// regained logs that the source's state is followed again, through this daemon itself or
// another one.
func (f *Follower) regained(by string) {
	f.failing = false
	f.Logger.Info("source.regained", "position", uint64(f.position), "by", by)
}
