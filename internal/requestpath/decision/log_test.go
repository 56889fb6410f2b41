package decision_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/requestpath/decision"
	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// perSecond bounds the lines of the logs here.
const perSecond = 200

// recorder is a log with its lines and its time.
type recorder struct {
	*decision.Log
	lines bytes.Buffer
	now   time.Time
}

func newRecorder() *recorder {
	recorded := &recorder{now: time.Unix(1000, 0)}
	recorded.Log = decision.New(logging.NewPlain(&recorded.lines), perSecond, func() time.Time { return recorded.now })
	return recorded
}

// second writes so many lines of an event within one second.
func (r *recorder) second(count int, write func(index int)) {
	for index := range count {
		write(index)
		r.now = r.now.Add(time.Second / time.Duration(count))
	}
}

func (r *recorder) has(event, request string) bool {
	return strings.Contains(r.lines.String(), fmt.Sprintf("event=%s request=%s", event, request))
}

func nothing() []any { return nil }

func TestAllFailuresAreWrittenWhileTheyAreFew(t *testing.T) {
	recorded := newRecorder()
	for range 10 {
		recorded.second(100, func(index int) { recorded.Failure("call.failed", fmt.Sprint("r", index)) })
	}
	assert.Equal(t, strings.Count(recorded.lines.String(), "call.failed"), 1000)
}

func TestSuccessesAreSampled(t *testing.T) {
	recorded := newRecorder()
	recorded.second(100_000, func(index int) { recorded.Success("call.done", fmt.Sprint("r", index), nothing) })
	written := strings.Count(recorded.lines.String(), "call.done")
	assert.Assert(t, written > 100 && written < 1000, "%d lines", written)
}

// A flood of failures is bounded, and counted.
func TestVolumeIsBounded(t *testing.T) {
	recorded := newRecorder()
	const seconds, calls = 30, 20_000
	for second := range seconds {
		recorded.second(calls, func(index int) { recorded.Failure("call.failed", fmt.Sprint("r", second, "-", index)) })
	}
	recorded.lines.Reset()
	recorded.second(calls, func(index int) { recorded.Failure("call.failed", fmt.Sprint("last-", index)) })
	written := strings.Count(recorded.lines.String(), "call.failed")
	assert.Assert(t, written > 10 && written < 1000, "%d lines", written)
	assert.Assert(t, strings.Contains(recorded.lines.String(), "decisions.sampled one_of="))
}

// What one process writes of a request under little pressure, another under more
// either writes too or not at all: the samples are nested.
func TestSamplesAreNested(t *testing.T) {
	calm, pressed := newRecorder(), newRecorder()
	for second := range 20 {
		pressed.second(5000, func(index int) { pressed.Failure("flood", fmt.Sprint("f", second, "-", index)) })
	}
	common := 0
	for index := range 2000 {
		request := fmt.Sprint("r", index)
		calm.Success("call.done", request, nothing)
		pressed.Failure("origin.refused", request)
		if calm.has("call.done", request) && pressed.has("origin.refused", request) {
			common++
		}
	}
	assert.Assert(t, common > 0)
}

func TestLogThatIsOffWritesNothing(t *testing.T) {
	var none *decision.Log
	none.Failure("call.failed", "r")
	var written bytes.Buffer
	off := decision.New(logging.NewPlain(&written), 0, time.Now)
	off.Failure("call.failed", "r")
	off.Success("call.done", "r", nothing)
	assert.Equal(t, written.Len(), 0)
}
