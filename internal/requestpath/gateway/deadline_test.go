package gateway

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
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

// Guards against calls that are refused at once because the caller states a deadline beyond the range of durations.
func TestHugeStatedDeadlinesDoNotEndCallsAtOnce(t *testing.T) {
	g := &Gateway{config: Config{Envelope: keyEnvelope, DefaultDeadline: 30 * time.Second}}
	for text, want := range map[string]time.Duration{
		"9223372036854775807": 30 * time.Second, "9223372036855": 30 * time.Second, "4294967297": 30 * time.Second,
		"500": 500 * time.Millisecond, "-1": 0,
	} {
		request := app.NewContext(0)
		request.Request.Header.Set(keyEnvelope.Deadline, text)
		started := time.Now()
		ctx, cancel := g.deadlineContext(t.Context(), request, &lapisv1.CallClass{}, started)
		deadline, _ := ctx.Deadline()
		assert.Equal(t, deadline.Sub(started), want, text)
		upload, cancelUpload := g.deadlineContext(t.Context(), request, &lapisv1.CallClass{Upload: true}, started)
		deadline, _ = upload.Deadline()
		assert.Assert(t, deadline.Sub(started).Milliseconds() <= math.MaxUint32, "%s: the protocol cannot carry it", text)
		cancel()
		cancelUpload()
	}
}
