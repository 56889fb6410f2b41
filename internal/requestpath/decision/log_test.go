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

// perSecond is the volume limit of the logs in these tests.
const perSecond = 200

// recorder is a log with a buffer for its lines and a manual clock.
type recorder struct {
	*decision.Log
	lines bytes.Buffer
	now   time.Time
}

func newRecorder() *recorder {
	log := &recorder{now: time.Unix(1000, 0)}
	log.Log = decision.New(logging.NewPlain(&log.lines), perSecond, func() time.Time { return log.now })
	return log
}

// second calls write count times, spread over one second.
func (r *recorder) second(count int, write func(index int)) {
	for index := range count {
		write(index)
		r.now = r.now.Add(time.Second / time.Duration(count))
	}
}

func (r *recorder) has(event, request string) bool {
	return strings.Contains(r.lines.String(), fmt.Sprintf("event=%s request=%s", event, request))
}

func noPairs() []any { return nil }

func TestAllFailuresAreWrittenWhileTheyAreFew(t *testing.T) {
	log := newRecorder()
	for range 10 {
		log.second(100, func(index int) { log.Failure("call.failed", fmt.Sprint("r", index)) })
	}
	assert.Equal(t, strings.Count(log.lines.String(), "call.failed"), 1000)
}

func TestSuccessesAreSampled(t *testing.T) {
	log := newRecorder()
	log.second(100_000, func(index int) { log.Success("call.done", fmt.Sprint("r", index), noPairs) })
	written := strings.Count(log.lines.String(), "call.done")
	assert.Assert(t, written > 100 && written < 1000, "%d lines", written)
}

// Checks that a flood of failures is sampled, and that the dropped lines are counted.
func TestVolumeIsBounded(t *testing.T) {
	log := newRecorder()
	const seconds, calls = 30, 20_000
	for second := range seconds {
		log.second(calls, func(index int) { log.Failure("call.failed", fmt.Sprint("r", second, "-", index)) })
	}
	log.lines.Reset()
	log.second(calls, func(index int) { log.Failure("call.failed", fmt.Sprint("last-", index)) })
	written := strings.Count(log.lines.String(), "call.failed")
	assert.Assert(t, written > 10 && written < 1000, "%d lines", written)
	assert.Assert(t, strings.Contains(log.lines.String(), "decisions.sampled one_of="))
}

// Checks that the samples of processes under different load are nested: a request in the sparser
// sample is also in the denser one.
func TestSamplesAreNested(t *testing.T) {
	idle, loaded := newRecorder(), newRecorder()
	for second := range 20 {
		loaded.second(5000, func(index int) { loaded.Failure("flood", fmt.Sprint("f", second, "-", index)) })
	}
	common := 0
	for index := range 2000 {
		request := fmt.Sprint("r", index)
		idle.Success("call.done", request, noPairs)
		loaded.Failure("origin.refused", request)
		if idle.has("call.done", request) && loaded.has("origin.refused", request) {
			common++
		}
	}
	assert.Assert(t, common > 0)
}

func TestLogThatIsOffWritesNothing(t *testing.T) {
	var nilLog *decision.Log
	nilLog.Failure("call.failed", "r")
	var written bytes.Buffer
	off := decision.New(logging.NewPlain(&written), 0, time.Now)
	off.Failure("call.failed", "r")
	off.Success("call.done", "r", noPairs)
	assert.Equal(t, written.Len(), 0)
}
