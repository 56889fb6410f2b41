package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// queueLines bounds the lines that wait for a writer that is slow or stuck. At an estimated 200
// bytes a line under 1 MB.
const queueLines = 4096

// flushTimeout bounds the wait for the last lines at the end of the process. It is below the part
// of the stop limit that is left for the end.
const flushTimeout = 200 * time.Millisecond

// AsyncWriter passes lines to a writer in the background, so that logging never waits for it. Lines
// beyond queueLines are dropped and counted, and the count is written once there is room again.
type AsyncWriter struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// ending is closed by Close, done when the last line was written.
	ending, done chan struct{}
	closing      sync.Once
}

// NewAsyncWriter returns a writer in front of another one. Close ends it.
func NewAsyncWriter(writer io.Writer) *AsyncWriter {
	started := &AsyncWriter{writer: writer, lines: make(chan []byte, queueLines), ending: make(chan struct{}), done: make(chan struct{})}
	go started.run()
	return started
}

// Write implements io.Writer; it queues a copy of the line, and never waits or fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped and not yet reported.
func (a *AsyncWriter) Dropped() int64 { return a.dropped.Load() }

// run writes lines until Close was called and none is left.
func (a *AsyncWriter) run() {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			a.put(line)
			continue
		default:
		}
		select {
		case line := <-a.lines:
			a.put(line)
		case <-a.ending:
			return
		}
	}
}

// put writes a line. An error of the output could be reported nowhere but there.
func (a *AsyncWriter) put(line []byte) {
	_, _ = a.writer.Write(line)
	if dropped := a.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(a.writer, "event=log.dropped lines=%d\n", dropped)
	}
}

// Close writes what waits, within flushTimeout. What is written afterwards is
// lost. It may be called several times.
func (a *AsyncWriter) Close() {
	a.closing.Do(func() { close(a.ending) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
