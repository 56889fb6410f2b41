package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAnswerBeforeTheEndOfALongBodyClosesTheConnection(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		reply(exchange, pathOf(exchange))
	})
	client := srv.dial(t)
	client.send(get("/1") + fmt.Sprintf("POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\nsome", maxDiscardBytes+5))
	_, body := client.answer()
	assert.Equal(t, body, "/1")
	response, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	// Input that arrives later must not reset the connection before the caller has read the answer.
	client.send(strings.Repeat("x", 50_000))
	client.expectEOF()
}

// Guards against the loss of requests pipelined behind an upload. A stopping daemon refused the
// upload before its body had arrived. The refusal closed the connection, because the unread part of
// a body was never discarded, and the requests behind the body, sent up to 0.34 s earlier, were lost.
// With real processes, the connections of all five lost requests were closed by the answer 503 to an
// upload.
func TestRequestsBehindARefusedUploadAreServed(t *testing.T) {
	const size = 100_000
	uploads := map[string]string{
		"with a length": fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)),
		"in chunks":     fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size)),
	}
	for name, upload := range uploads {
		t.Run(name, func(t *testing.T) {
			srv := startServer(t, Limits{}, func(_ context.Context, exchange *Exchange) { reply(exchange, pathOf(exchange)) })
			client := srv.dial(t)
			for round := range 20 {
				srv.stopping.Store(round == 19)
				client.send(upload[:len(upload)/2])
				response, body := client.answer()
				assert.Equal(t, body, "/1")
				assert.Assert(t, !response.Close)
				client.send(upload[len(upload)/2:] + get("/2") + get("/3"))
				for _, path := range []string{"/2", "/3"} {
					response, body = client.answer()
					assert.Equal(t, body, path)
				}
				assert.Equal(t, response.Close, round == 19)
			}
			client.expectEOF()
		})
	}
}

// The discarded part of a chunked body is bounded although its length is unknown.
func TestDiscardedChunkedBodyIsBounded(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, pathOf(exchange)) })
	client := srv.dial(t)
	client.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n")
	_, body := client.answer()
	assert.Equal(t, body, "/1")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for range maxDiscardBytes/(64<<10) + 1 {
		client.send(chunk)
	}
	client.expectEOF()
}

func TestLongBodiesAreReadInOrder(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		length := len(exchange.BufferedBody)
		if exchange.Body != nil {
			body, err := io.ReadAll(exchange.Body.NewReader(nil))
			assert.Check(t, err)
			length = len(body)
		}
		reply(exchange, fmt.Sprintf("%s %d", pathOf(exchange), length))
	})
	client := srv.dial(t)
	chunked := "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n3\r\nyou\r\n0\r\n\r\n"
	expecting := "POST /4 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
	client.send(post("/1", strings.Repeat("x", 90_000)) + get("/2") + chunked + expecting)
	for _, want := range []string{"/1 90000", "/2 0", "/3 8"} {
		_, body := client.answer()
		assert.Equal(t, body, want)
	}
	interim, err := http.ReadResponse(client.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, interim.StatusCode, http.StatusContinue)
	client.send("body" + get("/5"))
	for _, want := range []string{"/4 4", "/5 0"} {
		_, body := client.answer()
		assert.Equal(t, body, want)
	}
}

// A goroutine that reads a body may outlive the request, whose memory is then reused for another
// one. Data that follows the body must be copied before that: when trailers were read later, they
// could be those of another request.
func TestTrailersAreCopiedBeforeTheRequestIsReused(t *testing.T) {
	read := make(chan string, 1)
	srv := startServer(t, Limits{}, func(_ context.Context, exchange *Exchange) {
		if exchange.Body == nil {
			reply(exchange, "none")
			return
		}
		copied := ""
		reader := exchange.Body.NewReader(func() { copied = pathOf(exchange) })
		ended := make(chan struct{})
		go func() {
			_, _ = io.ReadAll(reader)
			close(ended)
			// Wait until the handler has returned and further requests have been read.
			time.Sleep(50 * time.Millisecond)
			read <- copied
		}()
		<-ended
		reply(exchange, "read")
	})
	client := srv.dial(t)
	client.send(post("/first", strings.Repeat("x", 100<<10)))
	client.answer()
	for range 3 {
		client.send(get("/later"))
		client.answer()
	}
	assert.Equal(t, <-read, "/first")
}

// A body with malformed chunks is answered, after all earlier valid requests.
func TestBrokenChunksAreAnswered(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		if exchange.Body != nil {
			_, err := io.ReadAll(exchange.Body.NewReader(nil))
			assert.Check(t, err != nil)
		}
		reply(exchange, pathOf(exchange))
	})
	client := srv.dial(t)
	client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno number\r\n" + get("/never"))
	_, body := client.answer()
	assert.Equal(t, body, "/1")
	response, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	client.expectEOF()
}

// The unread part of a body must never be parsed as a request, whatever the order in which the reader
// and the handler proceed.
func TestUnreadBodyIsNotParsedAsARequest(t *testing.T) {
	for name, length := range map[string]int{"left": maxDiscardBytes + 1, "discarded": 2000} {
		t.Run(name, func(t *testing.T) {
			var smuggled atomic.Int64
			srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
				if pathOf(exchange) == "/smuggled" {
					smuggled.Add(1)
				}
				reply(exchange, pathOf(exchange))
			})
			for range 200 {
				client := srv.dial(t)
				client.send(fmt.Sprintf("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length) + get("/smuggled"))
				if length > maxDiscardBytes {
					response, body := client.answer()
					assert.Equal(t, body, "/1")
					assert.Assert(t, response.Close)
					client.expectEOF()
				} else {
					client.send(strings.Repeat("x", length-len(get("/smuggled"))) + get("/2"))
					for _, path := range []string{"/1", "/2"} {
						_, body := client.answer()
						assert.Equal(t, body, path)
					}
				}
				_ = client.conn.(*net.TCPConn).SetLinger(0)
				_ = client.conn.Close()
			}
			assert.Equal(t, smuggled.Load(), int64(0))
		})
	}
}

// The connection's reader continues once a body is released; the connection must already be sealed
// then.
func TestStoppedBodySealsItsConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newConnection(New(Config{}), nil, nil, &callerConn{Conn: near})
	body := newBody(conn, strings.NewReader("rest"), maxDiscardBytes+1)
	assert.Equal(t, body.stop(), unreadLeft)
	released := false
	select {
	case <-body.released:
		released = true
	default:
	}
	assert.Assert(t, released, "the body is not released")
	assert.Assert(t, conn.isSealed())
}
