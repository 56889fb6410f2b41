package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"
)

// Times of the watch for pauses.
const (
	pauseCheck = 500 * time.Millisecond
	// pauseNoticed is the time without processor from which a pause is logged.
	pauseNoticed = time.Second
)

// watchPauses logs when the process did not run for a while, because it was
// stopped or starved, until ctx ends: what it believes of others is that old.
func watchPauses(ctx context.Context, logger logr.Logger) {
	ticker := time.NewTicker(pauseCheck)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			notePause(logger, now.Sub(last))
			last = now
		}
	}
}

// notePause logs a pause when much more time went by than between two checks.
func notePause(logger logr.Logger, elapsed time.Duration) {
	if paused := elapsed - pauseCheck; paused >= pauseNoticed {
		logger.Info("daemon.paused", "for_ms", paused.Milliseconds())
	}
}
