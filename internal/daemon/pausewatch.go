package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Times of the watch for pauses.
const (
	pauseCheck = 500 * time.Millisecond
	// pauseNoticed is the time without processor from which a pause is logged.
	pauseNoticed = time.Second
)

// watchPauses logs, until ctx ends, when the process did not run for a while because it was
// stopped or starved or the machine was suspended: what it knows of other daemons is that
// much older. resumed is called after a suspension.
func watchPauses(ctx context.Context, logger logr.Logger, resumed func()) {
	ticker := time.NewTicker(pauseCheck)
	defer ticker.Stop()
	last, suspended := time.Now(), boottime.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			now := time.Now()
			notePause(logger, now.Sub(last))
			last = now
			if total := boottime.Suspended(); total > suspended {
				logger.Info("daemon.suspended", "for_ms", (total - suspended).Milliseconds())
				suspended = total
				resumed()
			}
		}
	}
}

// notePause logs a pause when much more time went by than between two checks.
func notePause(logger logr.Logger, elapsed time.Duration) {
	if paused := elapsed - pauseCheck; paused >= pauseNoticed {
		logger.Info("daemon.paused", "for_ms", paused.Milliseconds())
	}
}
