package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// inputBudget is the input memory of the tests below, in bytes.
const inputBudget = 1 << 20

// patternOf returns size bytes that differ from place to place.
func patternOf(size int) string {
	var pattern strings.Builder
	for number := 0; pattern.Len() < size; number++ {
		_, _ = fmt.Fprintf(&pattern, "%d,", number)
	}
	return pattern.String()[:size]
}

// uploadForms are the forms of a request with a body.
var uploadForms = map[string]func(body string) string{
	"with a length": func(body string) string { return post("/upload", body) },
	"in chunks": func(body string) string {
		return fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	},
}

// Guards against uploads that reach an instance after their callers have left, because nothing was read while
// they waited.
func TestCloseBehindAnUnreadBodyCancelsItsRequest(t *testing.T) {
	for form, upload := range uploadForms {
		for _, size := range []int{20_000, 150_000, 400_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", form, size), func(t *testing.T) {
				memory := httpinput.NewMemory(inputBudget)
				cancelled := make(chan struct{})
				srv := startChanged(t, DefaultLimits, func(ctx context.Context, _ *Exchange) {
					select {
					case <-ctx.Done():
						close(cancelled)
					case <-time.After(testTimeout):
					}
				}, func(config *Config) { config.InputMemory = memory })
				client := srv.dial(t)
				client.send(upload(patternOf(size)))
				assert.NilError(t, client.conn.(*net.TCPConn).CloseWrite())
				inTime := true
				select {
				case <-cancelled:
				case <-time.After(testTimeout / 2):
					inTime = false
				}
				assert.Assert(t, inTime, "the request was not cancelled")
				poll.WaitOn(t, releasesAll(memory), poll.WithTimeout(testTimeout))
			})
		}
	}
}

// releasesAll succeeds once nothing is reserved.
func releasesAll(memory *httpinput.Memory) poll.Check {
	return func(poll.LogT) poll.Result {
		if !memory.Reserve(inputBudget) {
			return poll.Continue("input memory is still reserved")
		}
		memory.Release(inputBudget)
		return poll.Success()
	}
}

// A body that was partly read ahead is passed on unchanged, and so is the request behind it.
func TestBodyThatWaitedIsReadUnchanged(t *testing.T) {
	for form, upload := range uploadForms {
		for _, size := range []int{5_000, 150_000, maxBodyLookaheadBytes + 100_000} {
			t.Run(fmt.Sprintf("%s, %d bytes", form, size), func(t *testing.T) {
				memory := httpinput.NewMemory(inputBudget)
				begin, bodies := make(chan struct{}), make(chan string, 2)
				srv := startChanged(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
					if exchange.Body != nil {
						<-begin
						body, err := io.ReadAll(exchange.Body.NewReader(nil))
						assert.Check(t, err)
						bodies <- string(body)
					}
					reply(exchange, pathOf(exchange))
				}, func(config *Config) { config.InputMemory = memory })
				client := srv.dial(t)
				go func() { _, _ = io.WriteString(client.conn, upload(patternOf(size))+get("/behind")) }()
				awaited := int64(min(size, maxBodyLookaheadBytes/2))
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if srv.received.Load() < awaited {
						return poll.Continue("%d bytes were read", srv.received.Load())
					}
					return poll.Success()
				}, poll.WithTimeout(testTimeout))
				close(begin)
				assert.Assert(t, <-bodies == patternOf(size), "the body was changed")
				for _, path := range []string{"/upload", "/behind"} {
					_, body := client.answer()
					assert.Equal(t, body, path)
				}
				_ = client.conn.Close()
				poll.WaitOn(t, releasesAll(memory), poll.WithTimeout(testTimeout))
			})
		}
	}
}

// What is read ahead of a body stays within the limit of its connection, and without memory within the small one.
func TestReadAheadOfABodyIsBounded(t *testing.T) {
	// The library's connection and the parser hold some input besides.
	const libraryBytes = 16 << 10
	for name, test := range map[string]struct{ budget, bound int64 }{
		"with memory":    {inputBudget, maxBodyLookaheadBytes + libraryBytes},
		"without memory": {0, maxLookaheadBytes + libraryBytes},
	} {
		t.Run(name, func(t *testing.T) {
			srv := startChanged(t, DefaultLimits, func(ctx context.Context, _ *Exchange) { <-ctx.Done() },
				func(config *Config) { config.InputMemory = httpinput.NewMemory(test.budget) })
			client := srv.dial(t)
			assert.NilError(t, client.conn.SetWriteDeadline(time.Now().Add(2*time.Second)))
			_, err := io.WriteString(client.conn, fmt.Sprintf("POST /upload HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 4<<20)+strings.Repeat("x", 3<<20))
			_ = err // It may be a timeout, because nobody reads.
			assert.Assert(t, srv.received.Load() <= test.bound, "%d bytes were read, at most %d are allowed", srv.received.Load(), test.bound)
			assert.NilError(t, client.conn.(*net.TCPConn).SetLinger(0))
			_ = client.conn.Close()
			srv.server.Close()
		})
	}
}
