package daemon

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// No pause is logged for a process that runs without interruption.
func TestNoPauseIsLoggedWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); watchPauses(ctx, logging.NewPlain(&output), func() {}) }()
		time.Sleep(10 * time.Second)
		cancel()
		<-done
		assert.Equal(t, output.String(), "")
	})
}

func TestPauseIsMeasured(t *testing.T) {
	for name, row := range map[string]struct {
		elapsed time.Duration
		logged  string
	}{
		"on time":          {pauseCheckInterval, ""},
		"slightly late":    {pauseCheckInterval + minLoggedPause/2, ""},
		"stopped for 12 s": {12 * time.Second, "event=daemon.paused for_ms=11500"},
	} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			notePause(logging.NewPlain(&output), row.elapsed)
			assert.Equal(t, strings.TrimSpace(output.String()), row.logged)
		})
	}
}

// A suspension of the machine is detected although the monotonic clock does not advance during it.
func TestSuspensionIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gap atomic.Int64
		defer boottime.Use(func() time.Duration { return time.Duration(gap.Load()) })()
		var output bytes.Buffer
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		resumed := 0
		go func() { defer close(done); watchPauses(ctx, logging.NewPlain(&output), func() { resumed++ }) }()
		time.Sleep(2 * pauseCheckInterval)
		gap.Store(int64(7 * time.Second))
		time.Sleep(2 * pauseCheckInterval)
		cancel()
		<-done
		assert.Equal(t, strings.TrimSpace(output.String()), "event=daemon.suspended for_ms=7000")
		assert.Equal(t, resumed, 1)
	})
}
