package configsource

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/position"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Position is a place in the source's history, one for the configuration and the orders
// together; the revisions of orders are positions.
type Position = position.Position

// Source is where configurations and orders come from. An error with a code of 2xxx, or
// PlatformBadAnswer, means that the configuration at the returned position cannot be used;
// any other, that the source was not reached.
type Source interface {
	// Latest returns the configuration as it stands, with its position; nil
	// when there is none yet.
	Latest(ctx context.Context) (*lapisv1.Configuration, Position, error)
	// Next waits for a configuration after a position. When the wait ends without one it
	// returns nil and the position up to which there was none. Errors: PlatformCompacted
	// when the history after the given position is deleted.
	Next(ctx context.Context, after Position, wait time.Duration) (*lapisv1.Configuration, Position, error)
	// Orders returns all orders of some kinds as they stand, at the revision that is the source's
	// position.
	Orders(ctx context.Context, kinds orders.Kinds) (*orders.Set, error)
}

// Follower follows a source. Its fields are set before Run and not changed afterwards; the
// counters may be read at any time.
type Follower struct {
	Source Source
	// Apply puts a configuration in force; it may be in force already.
	Apply func(*lapisv1.Configuration)
	// ApplyOrders puts orders in force, which may be in force already; nil where operators
	// give no orders.
	ApplyOrders func(*orders.Set)
	// OrderKinds are the kinds of orders that operators give.
	OrderKinds orders.Kinds
	// OrdersBound is the time within which orders must be in force.
	OrdersBound time.Duration
	// Freshness is shared with what receives other daemons' confirmations.
	Freshness *Freshness
	// Confirmed is called after each answered poll, once what it brought is in force.
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
	// Resumed makes Run check again whether a poll is due, because the clock has jumped ahead
	// of the timer while the machine was suspended; nil for never.
	Resumed <-chan struct{}
	Logger  logr.Logger

	// ConfigurationRequests and OrderRequests count the requests to the source,
	// FailedPolls the polls that were not answered.
	ConfigurationRequests, OrderRequests, FailedPolls atomic.Int64

	// The following belong to Run. position is how far the source's history has been read,
	// valid while positionKnown; failing is true after a poll without an answer, the last of
	// which ended at failedAt.
	position      Position
	positionKnown bool
	failing       bool
	failedAt      time.Time
	ordersRead    ordersRead
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
// another daemon's confirmation has changed since the last call.
func (f *Follower) untilPoll(plan *schedule) time.Duration {
	wasPoller := plan.activePoller
	starting := plan.confirmed.IsZero()
	if starting && f.Awaited != nil && f.Awaited() {
		plan.hurry()
	}
	due := plan.due(f.Freshness.Confirmed(), f.Daemons())
	if wasPoller && !plan.activePoller {
		f.Logger.Info("source.lead_left", "position", f.position)
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
func (f *Follower) wait(ctx context.Context, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.Resumed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// regained logs that the source is followed again, through this daemon's own poll or
// another daemon's.
func (f *Follower) regained(by string) {
	f.failing = false
	f.Logger.Info("source.regained", "position", f.position, "by", by)
}
