package configsource

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// historyTrusted is the age of the last answer beyond which the whole configuration is read
	// instead of the history after that answer. It must be below the time for which sources keep
	// their history, ten seconds.
	historyTrusted = 8 * time.Second
	// shortestWait is the wait asked of Source.Next for an answer at once. Sources count in
	// milliseconds.
	shortestWait = time.Millisecond
)

// poll polls the source once and records the outcome.
func (f *Follower) poll(ctx context.Context, plan *schedule) {
	began := boottime.Now()
	confirmed := f.Freshness.Confirmed()
	if !plan.activePoller && began.Sub(plan.polledAt) > historyTrusted {
		f.positionKnown = false
	}
	err := f.readOnce(ctx, began)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.recordFailure(err)
		plan.failed(boottime.Now(), f.MinInterval(), f.Freshness.Confirmed().IsZero())
		return
	}
	if f.failing {
		f.regained("itself")
	}
	if !plan.activePoller {
		f.logTakeOver(began, confirmed)
	}
	plan.answered(began)
	versions, _ := f.Freshness.InForce()
	f.Freshness.Confirm(versions, began)
	f.Confirmed()
}

// readOnce reads the configuration and the orders. It succeeds only when both are the newest
// of the time when the poll began. While nothing changes one request is enough: its answer
// names the source's position, which tells whether the other may have changed.
func (f *Follower) readOnce(ctx context.Context, began time.Time) error {
	overdue := f.ApplyOrders != nil && f.ordersRead.overdue(began, f.OrdersBound)
	// After a failure the configuration goes first: it must be followed even where only
	// the orders cannot be read.
	if overdue && !f.failing {
		if err := f.readOrders(ctx, began); err != nil {
			return err
		}
		if f.positionKnown && f.ordersRead.position == f.position {
			return nil
		}
		return f.readConfiguration(ctx)
	}
	if err := f.readConfiguration(ctx); err != nil {
		return err
	}
	if overdue || f.ApplyOrders != nil && f.ordersRead.position < f.position {
		return f.readOrders(ctx, began)
	}
	return nil
}

// readConfiguration asks the source for a newer configuration, or for the whole one when the
// position is not known. One that cannot be used counts as an answer.
func (f *Follower) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(f.Bound, f.failing))
	defer cancel()
	next, err := f.request(ctx, f.position, f.positionKnown)
	if result.Is(err, result.PlatformCompacted) {
		f.Logger.Info("source.history_gone", "position", f.position)
		next, err = f.request(ctx, f.position, false)
	}
	if unusable(err) {
		f.Logger.Error(err, "configuration.refused", "position", next)
		err = nil
	}
	if err == nil {
		f.position = next
		f.positionKnown = true
	}
	return err
}

// unusable reports whether an error is about the configuration and not about the
// way to its source.
func unusable(err error) bool {
	code, ok := result.CodeOf(err)
	return err != nil && ok && (code.Validation() || code == result.PlatformBadAnswer)
}

// request makes one request to the source and applies what it brings.
func (f *Follower) request(ctx context.Context, position Position, known bool) (Position, error) {
	var configuration *lapisv1.Configuration
	var err error
	f.ConfigurationRequests.Add(1)
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

// readOrders asks the source for all orders and applies them.
func (f *Follower) readOrders(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(f.Bound, f.failing))
	defer cancel()
	f.OrderRequests.Add(1)
	set, err := f.Source.Orders(ctx, f.OrderKinds)
	if err != nil {
		return err
	}
	f.ordersRead = ordersRead{at: began, position: Position(set.Revision())}
	f.ApplyOrders(set)
	return nil
}

// recordFailure records a poll without an answer, and logs the first one of an outage.
func (f *Follower) recordFailure(err error) {
	if !f.failing {
		f.Logger.Info("source.lost", "position", f.position, "error", err)
	}
	f.failing = true
	f.failedAt = boottime.Now()
	f.FailedPolls.Add(1)
}

// logTakeOver logs that this daemon becomes the active poller, and the age of the newest
// confirmation that it knew.
func (f *Follower) logTakeOver(began, confirmed time.Time) {
	if confirmed.IsZero() {
		f.Logger.Info("source.lead_taken", "position", f.position, "confirmed", false)
		return
	}
	f.Logger.Info("source.lead_taken", "position", f.position, "confirmed", true, "age_ms", began.Sub(confirmed).Milliseconds())
}
