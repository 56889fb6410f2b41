package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The caller of a call has waited on while the machine was suspended: no instance is told
// that there is as much time left as the steady clock says.
func TestDeadlinesGoOnWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		deadline, _ := ctx.Deadline()
		attempt := &call{started: time.Now(), suspendedBefore: boottime.Suspended()}
		time.Sleep(time.Second)
		assert.Equal(t, attempt.until(deadline), 9*time.Second)
		gap = 8 * time.Second
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, attempt.until(deadline), 500*time.Millisecond)
		gap = 20 * time.Second
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, attempt.until(deadline) < 0)
	})
}
