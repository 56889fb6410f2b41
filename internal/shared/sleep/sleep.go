// Package sleep provides a wait that a context can interrupt. Its timers use the monotonic clock, which
// stops while the machine is suspended.
package sleep

import (
	"context"
	"time"
)

// For waits for duration and returns true, or returns false if ctx ends first. It does not wait if
// duration is 0 or negative.
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
