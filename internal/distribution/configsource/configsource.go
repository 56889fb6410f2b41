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

// Position is a place in the history of the source, which is common to the configuration and the
// orders. The revisions of orders are positions.
type Position = position.Position

// Source provides configurations and the operators' orders (evacuations and roll-outs). An error with
// a result code from 2000 to 2999, or with PlatformBadAnswer, means that the configuration at the
// returned position is unusable. Any other error, and any with a position that is not new, means that the source
// did not answer or that its answer cannot be read.
type Source interface {
	// Latest returns the current configuration and its position; the configuration is nil when
	// there is none yet.
	Latest(ctx context.Context) (*lapisv1.Configuration, Position, error)
	// Next waits for a configuration after a position. When the wait ends without one, it returns
	// nil and the position up to which there was none. If the newest one is unusable, it returns the
	// newest usable one after the position, if any, together with the error. Errors:
	// PlatformCompacted when the history after the given position was deleted.
	Next(ctx context.Context, after Position, wait time.Duration) (*lapisv1.Configuration, Position, error)
	// Orders returns all current orders of the given kinds. The revision of the set is the source's
	// position.
	Orders(ctx context.Context, kinds orders.Kinds) (*orders.Set, error)
}

// Follower follows a source. Its fields must be set before Run and not changed afterwards; the
// counters may be read at any time.
type Follower struct {
	Source Source
	// Apply puts a configuration in force, which may be in force already.
	Apply func(*lapisv1.Configuration)
	// ApplyOrders puts orders in force, which may be in force already. It is nil on sites without
	// orders.
	ApplyOrders func(*orders.Set)
	// OrderKinds are the kinds of orders to read.
	OrderKinds orders.Kinds
	// OrdersBound is the time within which orders must be in force.
	OrdersBound time.Duration
	// Freshness records the confirmations, including those received from other daemons.
	Freshness *Freshness
	// Confirmed is called after each successful poll, once the versions that it returned are in
	// force.
	Confirmed func()
	// Awaited reports whether a call waits for the first configuration; nil means never.
	Awaited func() bool
	// Bound is the time within which an accepted configuration must be in force.
	Bound time.Duration
	// Daemons returns the number of known daemons.
	Daemons func() int
	// MinInterval returns the minimum time between a failed poll and the next one. It keeps the
	// total rate within the source's limit when every daemon polls for itself.
	MinInterval func() time.Duration
	// Random returns random numbers in [0, 1).
	Random func() float64
	// Resumed makes Run check again whether a poll is due, after a suspension of the machine during
	// which timers did not advance; nil means never.
	Resumed <-chan struct{}
	Logger  logr.Logger

	// ConfigurationRequests and OrderRequests count the requests to the source. FailedPolls counts
	// the polls that were not answered.
	ConfigurationRequests, OrderRequests, FailedPolls atomic.Int64

	// The following fields are used by Run only. position is the position up to which the source's
	// history has been read, valid while positionKnown. failing is true after a poll that was not
	// answered, and failedAt is the end of the last such poll.
	position       Position
	positionKnown  bool
	failing        bool
	failedAt       time.Time
	lastOrdersRead lastOrdersRead
	// readRevision is the configuration revision read last, and changed is true if the last request brought it.
	// historyUnanswered is true after a request for the history that was not answered, until the next answer.
	readRevision               uint64
	changed, historyUnanswered bool
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	plan := newSchedule(f.Bound, f.Random, boottime.Now())
	for {
		wait := f.timeUntilPoll(plan)
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

// timeUntilPoll returns the time until a poll may be due, 0 or less when it is due, and logs state
// changes caused by other daemons' confirmations since the last call.
func (f *Follower) timeUntilPoll(plan *schedule) time.Duration {
	wasPoller := plan.activePoller
	starting := plan.confirmed.IsZero()
	if starting && f.Awaited != nil && f.Awaited() {
		plan.shortenStartupDelay()
	}
	due := plan.due(f.Freshness.Confirmed(), f.Daemons())
	if wasPoller && !plan.activePoller {
		f.Logger.Info("source.lead_left", "position", f.position)
	}
	if f.failing && f.Freshness.Confirmed().After(f.failedAt) {
		f.logRegained("another daemon")
	}
	wait := boottime.Until(due)
	if wait > 0 && starting {
		wait = min(wait, awaitedCheckInterval)
	}
	return wait
}

// wait waits until a poll may be due; it returns false when ctx ended.
func (f *Follower) wait(ctx context.Context, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.Resumed:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// logRegained logs that the source is reachable again, through a poll of this or of another daemon.
func (f *Follower) logRegained(by string) {
	f.failing = false
	f.Logger.Info("source.regained", "position", f.position, "by", by)
}
