package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/logging"
)

// stuckWriter takes nothing until it is released.
type stuckWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *stuckWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// A stuck standard output holds up nobody; what did not fit is counted.
func TestStuckOutputNeverHoldsUpWhoLogs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stuck := &stuckWriter{release: make(chan struct{})}
		writer := logging.NewAsyncWriter(stuck)
		logger := logging.New(writer, 0)
		const lines = 10_000
		for index := range lines {
			logger.Info("call.refused", "call", index)
		}
		assert.Assert(t, writer.Dropped() > 0)
		close(stuck.release)
		synctest.Wait()
		writer.Close()
		text := stuck.written.String()
		assert.Assert(t, strings.Contains(text, "event=log.dropped lines="), "no count of dropped lines")
		assert.Assert(t, strings.Contains(text, "call=0\n"))
		assert.Assert(t, !strings.Contains(text, "call=9999\n"))
	})
}

func TestLastLinesAreWrittenAtTheEnd(t *testing.T) {
	var written bytes.Buffer
	writer := logging.NewAsyncWriter(&written)
	logging.New(writer, 0).Info("daemon.stopped", "cut", 0)
	writer.Close()
	assert.Assert(t, strings.Contains(written.String(), "event=daemon.stopped cut=0\n"))
}
