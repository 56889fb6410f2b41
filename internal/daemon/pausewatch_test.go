package daemon

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/logging"
)

// A process that runs is not taken for one that was stopped.
func TestNoPauseIsLoggedWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var output bytes.Buffer
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); watchPauses(ctx, logging.NewPlain(&output)) }()
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
