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

// blockedWriter is an io.Writer that blocks until it is released.
type blockedWriter struct {
	release chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// A blocked standard output does not block logging. Dropped lines are counted.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := &blockedWriter{release: make(chan struct{})}
		writer := logging.NewAsyncWriter(blocked)
		logger := logging.New(writer, 0)
		const lines = 10_000
		for index := range lines {
			logger.Info("call.refused", "call", index)
		}
		assert.Assert(t, writer.Dropped() > 0)
		close(blocked.release)
		synctest.Wait()
		writer.Close()
		text := blocked.written.String()
		assert.Assert(t, strings.Contains(text, "event=log.dropped lines="), "the number of dropped lines is missing")
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
