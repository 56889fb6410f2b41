// Package startup holds the rules for the steps of a daemon's start: which failures may pass, how long
// they are waited for, and when a file that cannot be used is wrong rather than incomplete.
//
// Invariants: a wait ends at the limit of the start or at a stop signal, whichever comes first; a
// permanent failure is never repeated.
package startup

import (
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Backoff is a delay that doubles with each failure.
type Backoff struct{ First, Max time.Duration }

// stepBackoff is the delay between two attempts of a step. A maximum of 100 ms keeps the time short in
// which neither a predecessor nor its successor serves an address.
var stepBackoff = Backoff{First: 5 * time.Millisecond, Max: 100 * time.Millisecond}

// Delay returns the delay after a number of consecutive failures, which starts at 1.
func (b Backoff) Delay(failures int) time.Duration {
	delay := b.First
	for ; failures > 1 && delay < b.Max; failures-- {
		delay *= 2
	}
	return min(delay, b.Max)
}

// Waiter repeats the steps of a start while their failures are transient. A nil Waiter makes one attempt.
// It is not safe for concurrent use.
type Waiter struct {
	// Stop and Force end the start when they are closed.
	Stop, Force <-chan struct{}
	Logger      logr.Logger
	// Began is the beginning of the start, from which Limit counts.
	Began time.Time
	Limit time.Duration
	// Changed reports whether the settings that the steps use have changed; nil if they cannot.
	Changed func() bool
}

// Do repeats attempt until it succeeds, fails permanently or the start ends. The last attempt is at the
// limit. Errors: ErrStopped, ErrChanged, or the error of the last attempt, with Expired set at the limit.
func (w *Waiter) Do(attempt func() error) error {
	if w == nil {
		return attempt()
	}
	var waiting *Error
	logged := map[string]bool{}
	began := time.Now()
	for failures := 1; ; failures++ {
		if w.stopped() {
			return ErrStopped
		}
		err := attempt()
		if err == nil {
			w.logResumed(waiting, time.Since(began), failures)
			return nil
		}
		var failed *Error
		if !errors.As(err, &failed) || !failed.Transient {
			return err
		}
		remaining := w.Limit - time.Since(w.Began)
		if remaining <= 0 {
			expired := *failed
			expired.Expired = true
			return &expired
		}
		if w.Changed != nil && w.Changed() {
			return ErrChanged
		}
		if waiting = failed; !logged[failed.Step] {
			logged[failed.Step] = true
			w.logWaiting(failed, remaining)
		}
		if !w.sleep(min(stepBackoff.Delay(failures), remaining)) {
			return ErrStopped
		}
	}
}

// stopped reports whether the start is to end.
func (w *Waiter) stopped() bool {
	select {
	case <-w.Stop:
		return true
	case <-w.Force:
		return true
	default:
		return false
	}
}

// sleep waits for duration and returns true, or returns false if the start is to end.
func (w *Waiter) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.Stop:
		return false
	case <-w.Force:
		return false
	}
}

// logWaiting logs the first failure of a step. remaining is the time until the limit.
func (w *Waiter) logWaiting(failed *Error, remaining time.Duration) {
	code, _ := result.CodeOf(failed)
	w.Logger.Info("daemon.start_waiting", "step", failed.Step, "subject", failed.Subject, "code", uint32(code), "name", code,
		"detail", failed.Error(), "limit_ms", remaining.Milliseconds())
}

// logResumed logs the success of a step that had to wait. waiting is its last failure, or nil.
func (w *Waiter) logResumed(waiting *Error, took time.Duration, attempts int) {
	if waiting != nil {
		w.Logger.Info("daemon.start_resumed", "step", waiting.Step, "subject", waiting.Subject, "waited_ms", took.Milliseconds(), "attempts", attempts)
	}
}
