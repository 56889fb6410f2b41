package configsource

import (
	"context"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

const (
	// historyMaxAge is the age of the last answer above which the whole configuration is read
	// instead of the history after that answer. It must be shorter than the ten seconds for which
	// sources keep their history.
	historyMaxAge = 8 * time.Second
	// minNextWait is the wait passed to Source.Next to get an answer immediately. It is the
	// smallest positive wait, because sources use milliseconds.
	minNextWait = time.Millisecond
)

// poll polls the source once and records the outcome.
func (f *Follower) poll(ctx context.Context, plan *schedule) {
	began := boottime.Now()
	confirmed := f.Freshness.Confirmed()
	if !plan.activePoller && began.Sub(plan.polledAt) > historyMaxAge {
		f.positionKnown = false
	}
	err := f.readOnce(ctx, began)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		f.recordFailure(err)
		plan.failed(began, f.MinInterval(), f.Freshness.Confirmed().IsZero())
		f.logFailedPoll(err, began, plan)
		return
	}
	if f.failing {
		f.logRegained("itself")
	}
	if !plan.activePoller {
		f.logBecameActivePoller(began, confirmed)
	}
	plan.answered(began)
	versions, _ := f.Freshness.InForce()
	f.Freshness.Confirm(versions, began)
	f.Confirmed()
}

// readOnce reads the configuration and the orders. It succeeds only when both are at least as new
// as the start of the poll. While nothing changes, one request is sufficient: its answer contains
// the source's position, which shows whether the other part may have changed.
func (f *Follower) readOnce(ctx context.Context, began time.Time) error {
	overdue := f.ApplyOrders != nil && f.lastOrdersRead.overdue(began, f.OrdersBound)
	// After a failure the configuration is read first: it must be followed even if only the orders
	// cannot be read.
	if overdue && !f.failing {
		if err := f.readOrders(ctx, began); err != nil {
			return err
		}
		if f.positionKnown && f.lastOrdersRead.position == f.position {
			return nil
		}
		return f.readConfiguration(ctx)
	}
	if err := f.readConfiguration(ctx); err != nil {
		return err
	}
	if overdue || f.ApplyOrders != nil && f.lastOrdersRead.position < f.position {
		return f.readOrders(ctx, began)
	}
	return nil
}

// historyIsShort reports whether the history after the last answer is likely to be shorter than the newest
// configuration. It contains each version since as a whole: its size grows with the number of versions, and over a
// thin link its transfer soon takes longer than any poll may. The newest configuration is one version, whatever was
// missed. The history is not requested when the last answer brought a new version, which more may follow; when other
// daemons have brought a newer version since; and after a request for it that was not answered.
func (f *Follower) historyIsShort() bool {
	versions, _ := f.Freshness.InForce()
	return f.positionKnown && !f.changed && !f.historyUnanswered && versions.Configuration == f.readRevision
}

// readConfiguration requests the history after the last answer if it is short, else the newest configuration. An
// unusable configuration counts as an answer.
func (f *Follower) readConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(f.Bound, f.failing))
	defer cancel()
	after := Position(0)
	if f.historyIsShort() {
		after = f.position
	}
	f.changed = false
	next, err := f.request(ctx, after)
	if result.Is(err, result.PlatformCompacted) {
		f.Logger.Info("source.history_gone", "position", f.position)
		after = 0
		next, err = f.request(ctx, after)
	}
	if next > after && isUnusable(err) {
		f.Logger.Error(err, "configuration.refused", "position", next)
		err = nil
	}
	f.historyUnanswered = err != nil && (after > 0 || f.historyUnanswered)
	if err == nil {
		f.position = next
		f.positionKnown = true
	}
	return err
}

// isUnusable reports whether err means that the configuration at a new position is invalid, rather than that the
// source did not answer. An answer without a new position could not be read and confirms nothing.
func isUnusable(err error) bool {
	code, ok := result.CodeOf(err)
	return err != nil && ok && (code.Validation() || code == result.PlatformBadAnswer)
}

// request asks the source for the history after a position, or for the newest configuration if the position is 0, and
// applies the configuration that it returns. Together with the error of an unusable configuration, the source may
// return a usable one before it.
func (f *Follower) request(ctx context.Context, after Position) (position Position, err error) {
	var configuration *lapisv1.Configuration
	f.ConfigurationRequests.Add(1)
	if after > 0 {
		configuration, position, err = f.Source.Next(ctx, after, minNextWait)
	} else {
		configuration, position, err = f.Source.Latest(ctx)
	}
	if configuration != nil && configuration.GetRevision() != f.readRevision {
		f.changed = true
		f.readRevision = configuration.GetRevision()
		f.Apply(configuration)
	}
	return position, err
}

// readOrders reads all orders from the source and applies them.
func (f *Follower) readOrders(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout(f.Bound, f.failing))
	defer cancel()
	f.OrderRequests.Add(1)
	set, err := f.Source.Orders(ctx, f.OrderKinds)
	if err != nil {
		return err
	}
	f.lastOrdersRead = lastOrdersRead{at: began, position: Position(set.Revision())}
	f.ApplyOrders(set)
	return nil
}

// recordFailure records a poll that was not answered, and logs the first one of an outage.
func (f *Follower) recordFailure(err error) {
	if !f.failing {
		f.Logger.Info("source.lost", "position", f.position, "error", err)
	}
	f.failing = true
	f.failedAt = boottime.Now()
	f.FailedPolls.Add(1)
}

// logFailedPoll logs a poll that was not answered, with the time that it took and the time until this daemon may
// poll again. The line is at most as frequent as the polls.
func (f *Follower) logFailedPoll(err error, began time.Time, plan *schedule) {
	f.Logger.Info("source.poll_failed", "position", f.position, "took_ms", boottime.Since(began).Milliseconds(), "next_in_ms", max(boottime.Until(plan.notBefore), 0).Milliseconds(), "error", err)
}

// logBecameActivePoller logs that this daemon becomes the active poller, with the age of the latest
// confirmation known to it.
func (f *Follower) logBecameActivePoller(began, confirmed time.Time) {
	if confirmed.IsZero() {
		f.Logger.Info("source.lead_taken", "position", f.position, "confirmed", false)
		return
	}
	f.Logger.Info("source.lead_taken", "position", f.position, "confirmed", true, "age_ms", began.Sub(confirmed).Milliseconds())
}
