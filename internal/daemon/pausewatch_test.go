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

// A process that runs is not taken for one that was stopped.
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
		"as usual":       {pauseCheck, ""},
		"a little late":  {pauseCheck + pauseNoticed/2, ""},
		"stopped for 12": {12 * time.Second, "event=daemon.paused for_ms=11500"},
	} {
		t.Run(name, func(t *testing.T) {
			var output bytes.Buffer
			notePause(logging.NewPlain(&output), row.elapsed)
			assert.Equal(t, strings.TrimSpace(output.String()), row.logged)
		})
	}
}

// The steady clock does not show that the machine was suspended.
func TestSuspensionIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gap atomic.Int64
		defer boottime.Use(func() time.Duration { return time.Duration(gap.Load()) })()
		var output bytes.Buffer
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		resumed := 0
		go func() { defer close(done); watchPauses(ctx, logging.NewPlain(&output), func() { resumed++ }) }()
		time.Sleep(2 * pauseCheck)
		gap.Store(int64(7 * time.Second))
		time.Sleep(2 * pauseCheck)
		cancel()
		<-done
		assert.Equal(t, strings.TrimSpace(output.String()), "event=daemon.suspended for_ms=7000")
		assert.Equal(t, resumed, 1)
	})
}
