package callmux

import (
	"bytes"
	"context"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// copyingOrigin reads the body of each call in the background, as an instance does that answers before it
// has read a long request, and ends the call with respond.
type copyingOrigin struct {
	respond func(ctx context.Context) (*callapi.Answer, error)
	// copying counts the bodies that are being read.
	copying *atomic.Int64
}

func (c copyingOrigin) Fence(string) bool { return false }

func (c copyingOrigin) Handle(ctx context.Context, call *callapi.Call) (*callapi.Answer, error) {
	c.copying.Add(1)
	go func() {
		defer c.copying.Add(-1)
		_, _ = io.Copy(io.Discard, call.Body) // The call ends the copy with an error.
	}()
	return c.respond(ctx)
}

func shortAnswer(context.Context) (*callapi.Answer, error) {
	content := []byte("rejected")
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 413, ContentLength: int64(len(content))}, Body: io.NopCloser(bytes.NewReader(content)),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

// endlessAnswer is an answer whose body does not end before its call.
func endlessAnswer(ctx context.Context) (*callapi.Answer, error) {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) })
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: -1}, Body: reader,
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

func awaitEnd(ctx context.Context) (*callapi.Answer, error) {
	<-ctx.Done()
	return nil, result.Wrap(result.CallCancelled, ctx.Err(), "the call ended")
}

// stalledUpload makes a call whose request body stops midway, and ends the body with the call.
func stalledUpload(ctx context.Context, client *Client, address string, deadline time.Duration) {
	reader, writer := io.Pipe()
	go func() { _, _ = writer.Write(make([]byte, 20<<10)) }() // Fails when the call ends.
	open := &lapisv1.CallOpen{AttemptId: "a", ContentLength: 100 << 10, DeadlineMillis: uint32(deadline.Milliseconds())}
	answer, err := client.Handle(ctx, address, &callapi.Call{Open: open, Body: reader})
	if err == nil {
		if answer.Head.GetContentLength() >= 0 {
			_, _ = io.Copy(io.Discard, answer.Body)
		}
		_ = answer.Body.Close()
	}
	_ = writer.CloseWithError(io.ErrUnexpectedEOF)
	_ = reader.Close()
}

// A call that ends before its request body has come in, in whatever way, leaves nothing behind at either
// daemon: no goroutine, and no stream with its buffers.
func TestEndedCallsLeaveNothingBehind(t *testing.T) {
	const calls, concurrent = 10_000, 50
	for name, row := range map[string]struct {
		respond  func(ctx context.Context) (*callapi.Answer, error)
		deadline time.Duration
		// patience is how long the caller waits; 0 for as long as the call lasts.
		patience time.Duration
		hangUp   bool
	}{
		"answered before the body": {respond: shortAnswer},
		"refused before the body": {respond: func(context.Context) (*callapi.Answer, error) {
			return nil, result.Errorf(result.CallNotRunShed, "full")
		}},
		"deadline":                  {respond: awaitEnd, deadline: time.Millisecond},
		"the caller gives up":       {respond: awaitEnd, patience: time.Millisecond},
		"given up in the answer":    {respond: endlessAnswer},
		"the session ends":          {respond: awaitEnd, hangUp: true},
		"the session ends answered": {respond: endlessAnswer, hangUp: true},
	} {
		t.Run(name, func(t *testing.T) {
			copying := &atomic.Int64{}
			client, address := serveOrigin(t, copyingOrigin{respond: row.respond, copying: copying}, nil)
			stalledUpload(t.Context(), client, address, time.Millisecond) // Opens the session.
			before := runtime.NumGoroutine()
			if row.hangUp {
				hangUp, stop := context.WithCancel(t.Context())
				defer stop()
				go closeSessions(hangUp, client.link(address))
			}
			var calling sync.WaitGroup
			for range concurrent {
				calling.Go(func() {
					for range calls / concurrent {
						ctx, cancel := context.WithCancel(t.Context())
						if row.patience > 0 {
							ctx, cancel = context.WithTimeout(ctx, row.patience)
						}
						stalledUpload(ctx, client, address, row.deadline)
						cancel()
					}
				})
			}
			calling.Wait()
			end := time.Now().Add(30 * time.Second)
			for copying.Load() > 0 || runtime.NumGoroutine() > before+concurrent {
				assert.Assert(t, time.Now().Before(end), "%d bodies are still read, %d goroutines before and %d after", copying.Load(), before, runtime.NumGoroutine())
				time.Sleep(10 * time.Millisecond)
			}
			if link := client.link(address); link.session != nil {
				assert.Equal(t, link.session.active(), 0)
			}
		})
	}
}

// closeSessions ends the session of a client's only link again and again until ctx ends.
func closeSessions(ctx context.Context, link *peerLink) {
	for ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
		link.mutex.Lock()
		open := link.session
		link.mutex.Unlock()
		if open != nil {
			open.close(io.ErrUnexpectedEOF)
		}
	}
}
