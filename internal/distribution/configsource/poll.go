package configsource

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// historyTrusted is the age of the last answer from which the configuration is read whole
// and not the history after that answer. It must be below the time for which sources keep
// their history, ten seconds; chosen within that, not measured.
const historyTrusted = 8 * time.Second

// shortestWait is the wait that is stated to a source that is only to say what is there. It
// is the least that can be stated in milliseconds.
const shortestWait = time.Millisecond

// poll polls the source once and records the outcome.
func (f *Follower) poll(ctx context.Context, plan *schedule) {
	began := boottime.Now()
	confirmed := f.Freshness.Confirmed()
	if !plan.activePoller && began.Sub(plan.polledAt) > historyTrusted {
		f.known = false
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

// readOnce reads all that is followed in a poll that began at a time. It succeeds only when
// both the configuration and the orders are known to be the newest of that time. In quiet
// times that is one request: the answer about the one names the source's position, which
// says whether the other may have changed.
func (f *Follower) readOnce(ctx context.Context, began time.Time) error {
	overdue := f.ApplyOrders != nil && f.ordersRead.overdue(began, f.OrdersBound)
	// After a failure the configuration goes first: it must be followed also where
	// only the orders cannot be had.
	if overdue && !f.failing {
		if err := f.readOrders(ctx, began); err != nil {
			return err
		}
		if f.known && f.ordersRead.position == f.position {
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

// readConfiguration asks the source for what is newer than the known position, or for
// the whole. A configuration that cannot be used counts as an answer.
func (f *Follower) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(f.Bound, f.failing))
	defer cancel()
	next, err := f.request(ctx, f.position, f.known)
	if result.Is(err, result.PlatformCompacted) {
		f.Logger.Info("source.history_gone", "position", uint64(f.position))
		next, err = f.request(ctx, f.position, false)
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

// request asks the source once, for the whole when no position is known.
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
	set, err := f.Source.Orders(ctx)
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
		f.Logger.Info("source.lost", "position", uint64(f.position), "error", err)
	}
	f.failing = true
	f.failedAt = boottime.Now()
	f.FailedPolls.Add(1)
}

// logTakeOver logs that this daemon is the active poller from now, and how old the last
// confirmation was that it had heard of.
func (f *Follower) logTakeOver(began, confirmed time.Time) {
	if confirmed.IsZero() {
		f.Logger.Info("source.lead_taken", "position", uint64(f.position), "confirmed", false)
		return
	}
	f.Logger.Info("source.lead_taken", "position", uint64(f.position), "confirmed", true, "age_ms", began.Sub(confirmed).Milliseconds())
}
