package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxQueuedLines is the maximum number of lines that wait for a slow or blocked writer. At an estimated
// 200 bytes per line they use less than 1 MB.
const maxQueuedLines = 4096

// flushTimeout bounds the wait for the last lines at the end of the process. It must be below the share
// of the stop limit that is reserved for the shutdown.
const flushTimeout = 200 * time.Millisecond

// AsyncWriter passes lines to a writer in the background, so that logging never blocks on it. If
// maxQueuedLines are waiting, further lines are dropped and counted, and the count is logged later.
type AsyncWriter struct {
	writer  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closed is closed by Close. done is closed when the last line was written.
	closed, done chan struct{}
	closeOnce    sync.Once
}

// NewAsyncWriter returns an AsyncWriter that passes lines to writer. Close must be called to stop its
// goroutine.
func NewAsyncWriter(writer io.Writer) *AsyncWriter {
	started := &AsyncWriter{writer: writer, lines: make(chan []byte, maxQueuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go started.run()
	return started
}

// Write implements io.Writer. It queues a copy of the line and never blocks or fails.
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

// run writes queued lines until Close has been called and the queue is empty.
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
		case <-a.closed:
			return
		}
	}
}

// put writes a line, and the number of dropped lines if there are any. Errors are ignored, since the log
// output is the only place to report them.
func (a *AsyncWriter) put(line []byte) {
	_, _ = a.writer.Write(line)
	if dropped := a.dropped.Swap(0); dropped > 0 {
		_, _ = fmt.Fprintf(a.writer, "event=log.dropped lines=%d\n", dropped)
	}
}

// Close waits until the queued lines are written, for at most flushTimeout. Lines passed to Write
// afterwards are lost. Close may be called several times.
func (a *AsyncWriter) Close() {
	a.closeOnce.Do(func() { close(a.closed) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
}
