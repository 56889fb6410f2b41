package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The remaining time of a call excludes the time for which the machine was suspended: the caller kept
// waiting, but the monotonic clock was stopped.
func TestDeadlinesGoOnWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		deadline, _ := ctx.Deadline()
		attempt := &call{startedAt: time.Now(), suspendedAtStart: boottime.Suspended()}
		time.Sleep(time.Second)
		assert.Equal(t, attempt.timeUntil(deadline), 9*time.Second)
		gap = 8 * time.Second
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, attempt.timeUntil(deadline), 500*time.Millisecond)
		gap = 20 * time.Second
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, attempt.timeUntil(deadline) < 0)
	})
}
