// Package sleep waits for a time or the end of a context. It has no state. Its timers stand
// while the machine is suspended.
package sleep

import (
	"context"
	"time"
)

// For waits for duration, by the steady clock; it reports false when ctx ended first. A duration of
// 0 or less does not wait.
func For(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
