package pipeline

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"gotest.tools/v3/assert"
)

func TestPipelinedRequestsAreHandledConcurrentlyAndAnsweredInOrder(t *testing.T) {
	gates := newHandlerGates()
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		path := pathOf(exchange)
		gates.enterAndWait(path)
		reply(exchange, path+string(exchange.BufferedBody))
	})
	client := srv.dial(t)
	client.send(get("/1") + post("/2", "two") + get("/3") + post("/4", "") + get("/5"))
	seen := gates.awaitEntered(t, 5)
	assert.Equal(t, len(seen), 5)
	gates.release("/5", "/3", "/4", "/2", "/1")
	for _, want := range []string{"/1", "/2two", "/3", "/4", "/5"} {
		_, body := client.answer()
		assert.Equal(t, body, want)
	}
	client.send(get("/1"))
	_, body := client.answer()
	assert.Equal(t, body, "/1")
}

// TestOrderBehindAClosingAnswerRunsOnce truncates an answer that has a non-repeatable request (an
// order) behind it. The caller assumes that the request was not read and sends it again. The
// variant without AwaitEarlierAnswers proves that the test detects an order that runs twice.
func TestOrderBehindAClosingAnswerRunsOnce(t *testing.T) {
	for name, row := range map[string]struct {
		awaits bool
		runs   int64
	}{"awaits earlier answers": {true, 1}, "broken variant": {false, 2}} {
		t.Run(name, func(t *testing.T) {
			var orders atomic.Int64
			gates := newHandlerGates()
			srv := startServer(t, DefaultLimits, func(ctx context.Context, exchange *Exchange) {
				if pathOf(exchange) == "/read" {
					assert.Check(t, exchange.BeginAnswer(ctx))
					body := resp.NewChunkedBodyWriter(&exchange.Request.Response, exchange.Request.GetWriter())
					exchange.Request.Response.HijackWriter(truncatedWriter{body})
					_, _ = body.Write([]byte("half"))
					_ = body.Flush()
					gates.enterAndWait("/read")
					return
				}
				gates.entered <- "/order"
				if row.awaits && exchange.AwaitEarlierAnswers(ctx) != nil {
					reply(exchange, "not run")
					return
				}
				if ctx.Err() == nil {
					orders.Add(1)
				}
				gates.entered <- "ran"
				reply(exchange, "ordered")
			})
			first := srv.dial(t)
			first.send(get("/read") + post("/order", "x"))
			gates.awaitEntered(t, 2)
			if !row.awaits {
				gates.awaitEntered(t, 1)
			}
			gates.release("/read")
			_, err := io.Copy(io.Discard, first.conn)
			assert.NilError(t, err)
			second := srv.dial(t)
			second.send(post("/order", "x"))
			_, body := second.answer()
			assert.Equal(t, body, "ordered")
			assert.Equal(t, orders.Load(), row.runs)
		})
	}
}

// truncatedWriter writes a streamed answer that fails before its end.
type truncatedWriter struct {
	inner interface {
		Write([]byte) (int, error)
		Flush() error
	}
}

func (b truncatedWriter) Write(piece []byte) (int, error) { return b.inner.Write(piece) }

func (b truncatedWriter) Flush() error { return b.inner.Flush() }

func (b truncatedWriter) Finalize() error { return io.ErrUnexpectedEOF }

func TestDisconnectEndsAllRequestsOfTheConnection(t *testing.T) {
	for name, row := range map[string]struct {
		limits   Limits
		requests int
		handled  int
	}{
		"room for more":        {DefaultLimits, 3, 3},
		"behind full pipeline": {Limits{RequestsPerConnection: 2, PipelinedRequests: 10, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20}, 40, 2},
		"daemon's bound":       {Limits{RequestsPerConnection: 20, PipelinedRequests: 1, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20}, 40, 2},
	} {
		t.Run(name, func(t *testing.T) {
			entered, ended := make(chan struct{}, 50), make(chan struct{}, 50)
			srv := startServer(t, row.limits, func(ctx context.Context, exchange *Exchange) {
				entered <- struct{}{}
				if pathOf(exchange) == "/1" {
					_ = exchange.AwaitEarlierAnswers(ctx)
				}
				<-ctx.Done()
				ended <- struct{}{}
			})
			client := srv.dial(t)
			for index := range row.requests {
				client.send(get(fmt.Sprintf("/%d", index)))
			}
			for range row.handled {
				<-entered
			}
			assert.NilError(t, client.conn.Close())
			for range row.handled {
				<-ended
			}
			assert.Equal(t, len(entered), 0)
		})
	}
}

func TestStopAnswersWhatWasPassedOnAndRunsNothingBehind(t *testing.T) {
	gates := newHandlerGates()
	srv := startServer(t, Limits{RequestsPerConnection: 3, PipelinedRequests: 10, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20}, func(_ context.Context, exchange *Exchange) {
		gates.enterAndWait(pathOf(exchange))
		reply(exchange, pathOf(exchange))
	})
	client := srv.dial(t)
	client.send(get("/1") + get("/2") + get("/3") + get("/4") + get("/5") + get("/6"))
	gates.awaitEntered(t, 3)
	srv.stopping.Store(true)
	gates.release("/1", "/2", "/3", "/4", "/5", "/6")
	closing := 0
	for number := 1; ; number++ {
		response, body := client.answer()
		assert.Equal(t, body, fmt.Sprintf("/%d", number))
		if response.Close {
			closing = number
			break
		}
	}
	client.expectEOF()
	// Every handled request was answered.
	close(gates.entered)
	handled := 3
	for range gates.entered {
		handled++
	}
	assert.Equal(t, handled, closing)
	assert.Equal(t, srv.server.OpenRequests(), int64(0))
}

func TestRestingConnectionIsServedOnceMoreWhenStopping(t *testing.T) {
	for name, together := range map[string][]string{"one request": {"/2"}, "two that are read together": {"/2", "/3"}} {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "done "+pathOf(exchange)) })
			client := srv.dial(t)
			client.send(get("/1"))
			response, _ := client.answer()
			assert.Assert(t, !response.Close)
			srv.stopping.Store(true)
			text := ""
			for _, path := range together {
				text += get(path)
			}
			client.send(text)
			for index, path := range together {
				response, body := client.answer()
				assert.Equal(t, body, "done "+path)
				assert.Equal(t, response.Close, index == len(together)-1, path)
			}
			client.expectEOF()
		})
	}
}

func TestInvalidRequestIsAnsweredAfterEarlierOnes(t *testing.T) {
	for name, row := range map[string]struct {
		behind string
	}{
		"not a request":       {"nonsense\r\n\r\n"},
		"refused by check":    {"GET /x HTTP/1.1\r\nHost: a\r\nX-Refuse: 1\r\n\r\n"},
		"head too long":       {"GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("a", 8<<10) + "\r\n\r\n"},
		"broken body framing": {"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			gates := newHandlerGates()
			var faults atomic.Int64
			srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
				if exchange.Fault != nil {
					faults.Add(1)
					reply(exchange, "")
					gates.entered <- "fault"
					return
				}
				gates.enterAndWait(pathOf(exchange))
				reply(exchange, pathOf(exchange))
			})
			client := srv.dial(t)
			client.send(get("/1") + get("/2") + row.behind + get("/never"))
			gates.awaitEntered(t, 3)
			gates.release("/2", "/1")
			for _, want := range []string{"/1", "/2", "fault"} {
				response, body := client.answer()
				assert.Equal(t, body, want)
				assert.Equal(t, response.Close, want == "fault")
			}
			client.expectEOF()
			assert.Equal(t, faults.Load(), int64(1))
			assert.Equal(t, len(gates.entered), 0)
		})
	}
}

// sendPipelined sends requests without waiting for answers, and checks that all answers arrive in
// request order.
func (c *testClient) sendPipelined(connection, requests int) {
	var all strings.Builder
	for number := range requests {
		all.WriteString(get(fmt.Sprintf("/%d/%d", connection, number)))
	}
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(c.conn, all.String())
		written <- err
	}()
	for number := range requests {
		_, body := c.answer()
		assert.Check(c.t, body == fmt.Sprintf("/%d/%d", connection, number))
	}
	assert.Check(c.t, <-written)
}

func TestBoundsSlowTheCallerAndLoseNothing(t *testing.T) {
	const requests = 200
	for name, limits := range map[string]Limits{
		"requests of a connection": {RequestsPerConnection: 3, PipelinedRequests: 1000, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20},
		"requests of the daemon":   {RequestsPerConnection: 100, PipelinedRequests: 2, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20},
		"one after the other":      {RequestsPerConnection: 1, PipelinedRequests: 1, BytesPerConnection: 1 << 20, TotalBytes: 1 << 20},
		"bytes":                    {RequestsPerConnection: 100, PipelinedRequests: 1000, BytesPerConnection: 40, TotalBytes: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var running, maxRunning, heldBytes atomic.Int64
			srv := startServer(t, limits, func(ctx context.Context, exchange *Exchange) {
				now := running.Add(1)
				defer running.Add(-1)
				for seen := maxRunning.Load(); now > seen && !maxRunning.CompareAndSwap(seen, now); seen = maxRunning.Load() {
				}
				if exchange.ReserveAnswerBytes(10) {
					heldBytes.Add(1)
				} else {
					assert.Check(t, exchange.AwaitEarlierAnswers(ctx))
				}
				reply(exchange, pathOf(exchange))
			})
			var callers sync.WaitGroup
			for connection := range 3 {
				client := srv.dial(t)
				callers.Go(func() { client.sendPipelined(connection, requests) })
			}
			callers.Wait()
			ahead := int64(min(3*(limits.RequestsPerConnection-1), limits.PipelinedRequests))
			assert.Assert(t, maxRunning.Load() <= ahead+3, "%d requests ran concurrently", maxRunning.Load())
			srv.server.quota.mutex.Lock()
			defer srv.server.quota.mutex.Unlock()
			assert.Equal(t, srv.server.quota.openAhead, 0)
			assert.Equal(t, srv.server.quota.reservedBytes, int64(0))
		})
	}
}

func TestConnectionCloseOfTheCallerIsHonored(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, pathOf(exchange)) })
	client := srv.dial(t)
	client.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"))
	first, _ := client.answer()
	assert.Assert(t, !first.Close)
	second, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, second.Close)
	client.expectEOF()
}
