package daemon

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// Interval and threshold for detecting pauses of the process.
const (
	pauseCheckInterval = 500 * time.Millisecond
	// minLoggedPause is the minimum duration of a pause that is logged.
	minLoggedPause = time.Second
)

// watchPauses logs pauses of the process (stopped or starved of CPU) and suspensions of the machine,
// until ctx ends. The state received from other daemons ages during a pause. resumed is called after
// each suspension.
func watchPauses(ctx context.Context, logger logr.Logger, resumed func()) {
	ticker := time.NewTicker(pauseCheckInterval)
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

// notePause logs a pause if the time between two checks exceeded the interval by minLoggedPause.
func notePause(logger logr.Logger, elapsed time.Duration) {
	if paused := elapsed - pauseCheckInterval; paused >= minLoggedPause {
		logger.Info("daemon.paused", "for_ms", paused.Milliseconds())
	}
}
