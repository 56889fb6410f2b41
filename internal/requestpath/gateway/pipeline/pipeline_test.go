package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// testWait bounds what a test waits for; only a fault reaches it.
const testWait = 20 * time.Second

// site is a server under test.
type site struct {
	server   *Server
	address  string
	stopping atomic.Bool
}

// open starts a server whose requests come to handle.
func open(t testing.TB, limits Limits, handle func(context.Context, *Exchange)) *site {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opened := &site{address: listener.Addr().String()}
	opened.server = New(Config{
		MaxHeaderBytes: 4 << 10, MaxBodyBytes: 1 << 20, ShortBodyBytes: 1 << 10,
		IdleTime: testWait, HeaderTime: testWait, BodyIdle: testWait, LingerTime: testWait,
		Limits: limits, Handle: handle, Stopping: opened.stopping.Load,
		Check: func(rc *app.RequestContext) error {
			if len(rc.Request.Header.Peek("X-Refuse")) > 0 {
				return result.Errorf(result.CallBadRequest, "refused by the test")
			}
			return nil
		},
	})
	engine := server.New([]config.Option{
		server.WithListener(opened.server.Listener(listener)), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(0), server.WithOnAccept(opened.server.OnAccept),
	}...)
	engine.AddProtocol(suite.HTTP1, opened.server.Factory())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = engine.Run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return opened
}

// caller is a client that writes what it likes.
type caller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *site) dial(t *testing.T) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testWait)))
	return &caller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// answer reads one answer with its body.
func (c *caller) answer() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response, string(body)
}

// ended asserts that the connection ends without another answer.
func (c *caller) ended() {
	c.t.Helper()
	_, err := c.reader.ReadByte()
	assert.Assert(c.t, errors.Is(err, io.EOF), "%v", err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func pathOf(exchange *Exchange) string { return string(exchange.Request.Request.URI().Path()) }

// reply answers with text, or with the fault of the exchange.
func reply(exchange *Exchange, text string) {
	if exchange.Fault != nil {
		exchange.Request.SetStatusCode(http.StatusBadRequest)
		text = "fault"
	}
	exchange.Request.Response.SetBodyString(text)
}

// gates holds handlers until the test lets them go on, by path.
type gates struct {
	mutex   sync.Mutex
	byPath  map[string]chan struct{}
	entered chan string
}

func newGates() *gates {
	return &gates{byPath: map[string]chan struct{}{}, entered: make(chan string, 100)}
}

func (g *gates) gate(path string) chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.byPath[path] == nil {
		g.byPath[path] = make(chan struct{})
	}
	return g.byPath[path]
}

func (g *gates) pass(path string) {
	g.entered <- path
	<-g.gate(path)
}

func (g *gates) release(paths ...string) {
	for _, path := range paths {
		close(g.gate(path))
	}
}

func (g *gates) awaitEntered(t *testing.T, count int) map[string]bool {
	t.Helper()
	seen := map[string]bool{}
	for range count {
		select {
		case path := <-g.entered:
			seen[path] = true
		case <-time.After(testWait):
			t.Fatalf("only %v were handled", seen)
		}
	}
	return seen
}

func TestRequestsSentAheadAreHandledAtOnceAndAnsweredInOrder(t *testing.T) {
	held := newGates()
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		path := pathOf(exchange)
		held.pass(path)
		reply(exchange, path+string(exchange.Content))
	})
	client := opened.dial(t)
	client.send(get("/1") + post("/2", "two") + get("/3") + post("/4", "") + get("/5"))
	seen := held.awaitEntered(t, 5)
	assert.Equal(t, len(seen), 5)
	held.release("/5", "/3", "/4", "/2", "/1")
	for _, want := range []string{"/1", "/2two", "/3", "/4", "/5"} {
		_, body := client.answer()
		assert.Equal(t, body, want)
	}
	client.send(get("/1"))
	_, body := client.answer()
	assert.Equal(t, body, "/1")
}

// TestOrderBehindAClosingAnswerRunsOnce has an answer break off with an order
// behind it. The caller takes what is behind as not read and sends it again. The
// variant without AwaitTurn shows that the test sees a doubled order.
func TestOrderBehindAClosingAnswerRunsOnce(t *testing.T) {
	for name, row := range map[string]struct {
		awaits bool
		runs   int64
	}{"awaits its turn": {true, 1}, "broken variant": {false, 2}} {
		t.Run(name, func(t *testing.T) {
			var orders atomic.Int64
			held := newGates()
			opened := open(t, DefaultLimits, func(ctx context.Context, exchange *Exchange) {
				if pathOf(exchange) == "/read" {
					assert.Check(t, exchange.BeginAnswer(ctx))
					body := resp.NewChunkedBodyWriter(&exchange.Request.Response, exchange.Request.GetWriter())
					exchange.Request.Response.HijackWriter(breaksOff{body})
					_, _ = body.Write([]byte("half"))
					_ = body.Flush()
					held.pass("/read")
					return
				}
				held.entered <- "/order"
				if row.awaits && exchange.AwaitTurn(ctx) != nil {
					reply(exchange, "not run")
					return
				}
				if ctx.Err() == nil {
					orders.Add(1)
				}
				held.entered <- "ran"
				reply(exchange, "ordered")
			})
			first := opened.dial(t)
			first.send(get("/read") + post("/order", "x"))
			held.awaitEntered(t, 2)
			if !row.awaits {
				held.awaitEntered(t, 1)
			}
			held.release("/read")
			_, err := io.Copy(io.Discard, first.conn)
			assert.NilError(t, err)
			second := opened.dial(t)
			second.send(post("/order", "x"))
			_, body := second.answer()
			assert.Equal(t, body, "ordered")
			assert.Equal(t, orders.Load(), row.runs)
		})
	}
}

// breaksOff is an answer in pieces that does not come to its end.
type breaksOff struct {
	inner interface {
		Write([]byte) (int, error)
		Flush() error
	}
}

func (b breaksOff) Write(piece []byte) (int, error) { return b.inner.Write(piece) }
func (b breaksOff) Flush() error                    { return b.inner.Flush() }
func (b breaksOff) Finalize() error                 { return io.ErrUnexpectedEOF }

func TestHangUpEndsAllRequestsOfTheConnection(t *testing.T) {
	for name, row := range map[string]struct {
		limits   Limits
		requests int
		handled  int
	}{
		"room for more":        {DefaultLimits, 3, 3},
		"behind full pipeline": {Limits{RequestsPerConnection: 2, RequestsAhead: 10, BytesPerConnection: 1 << 20, Bytes: 1 << 20}, 40, 2},
		"daemon's bound":       {Limits{RequestsPerConnection: 20, RequestsAhead: 1, BytesPerConnection: 1 << 20, Bytes: 1 << 20}, 40, 2},
	} {
		t.Run(name, func(t *testing.T) {
			entered, ended := make(chan struct{}, 50), make(chan struct{}, 50)
			opened := open(t, row.limits, func(ctx context.Context, exchange *Exchange) {
				entered <- struct{}{}
				if pathOf(exchange) == "/1" {
					_ = exchange.AwaitTurn(ctx)
				}
				<-ctx.Done()
				ended <- struct{}{}
			})
			client := opened.dial(t)
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
	held := newGates()
	opened := open(t, Limits{RequestsPerConnection: 3, RequestsAhead: 10, BytesPerConnection: 1 << 20, Bytes: 1 << 20}, func(_ context.Context, exchange *Exchange) {
		held.pass(pathOf(exchange))
		reply(exchange, pathOf(exchange))
	})
	client := opened.dial(t)
	client.send(get("/1") + get("/2") + get("/3") + get("/4") + get("/5") + get("/6"))
	held.awaitEntered(t, 3)
	opened.stopping.Store(true)
	held.release("/1", "/2", "/3", "/4", "/5", "/6")
	closing := 0
	for number := 1; ; number++ {
		response, body := client.answer()
		assert.Equal(t, body, fmt.Sprintf("/%d", number))
		if response.Close {
			closing = number
			break
		}
	}
	client.ended()
	// Whatever was handled was answered.
	close(held.entered)
	handled := 3
	for range held.entered {
		handled++
	}
	assert.Equal(t, handled, closing)
	assert.Equal(t, opened.server.Open(), int64(0))
}

func TestRestingConnectionIsServedOnceMoreWhenStopping(t *testing.T) {
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "done") })
	client := opened.dial(t)
	client.send(get("/1"))
	response, _ := client.answer()
	assert.Assert(t, !response.Close)
	opened.stopping.Store(true)
	client.send(get("/2") + get("/3"))
	response, body := client.answer()
	assert.Equal(t, body, "done")
	assert.Assert(t, response.Close)
	client.ended()
}

func TestFaultBehindGoodRequestsIsAnsweredAfterThem(t *testing.T) {
	for name, row := range map[string]struct {
		behind string
	}{
		"not a request":       {"nonsense\r\n\r\n"},
		"refused by check":    {"GET /x HTTP/1.1\r\nHost: a\r\nX-Refuse: 1\r\n\r\n"},
		"head too long":       {"GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("a", 8<<10) + "\r\n\r\n"},
		"broken body framing": {"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			held := newGates()
			var faults atomic.Int64
			opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
				if exchange.Fault != nil {
					faults.Add(1)
					reply(exchange, "")
					held.entered <- "fault"
					return
				}
				held.pass(pathOf(exchange))
				reply(exchange, pathOf(exchange))
			})
			client := opened.dial(t)
			client.send(get("/1") + get("/2") + row.behind + get("/never"))
			held.awaitEntered(t, 3)
			held.release("/2", "/1")
			for _, want := range []string{"/1", "/2", "fault"} {
				response, body := client.answer()
				assert.Equal(t, body, want)
				assert.Equal(t, response.Close, want == "fault")
			}
			client.ended()
			assert.Equal(t, faults.Load(), int64(1))
			assert.Equal(t, len(held.entered), 0)
		})
	}
}

func TestBoundsSlowTheCallerAndLoseNothing(t *testing.T) {
	const requests = 200
	for name, limits := range map[string]Limits{
		"requests of a connection": {RequestsPerConnection: 3, RequestsAhead: 1000, BytesPerConnection: 1 << 20, Bytes: 1 << 20},
		"requests of the daemon":   {RequestsPerConnection: 100, RequestsAhead: 2, BytesPerConnection: 1 << 20, Bytes: 1 << 20},
		"one after the other":      {RequestsPerConnection: 1, RequestsAhead: 1, BytesPerConnection: 1 << 20, Bytes: 1 << 20},
		"bytes":                    {RequestsPerConnection: 100, RequestsAhead: 1000, BytesPerConnection: 40, Bytes: 100},
	} {
		t.Run(name, func(t *testing.T) {
			var running, most, heldBytes atomic.Int64
			opened := open(t, limits, func(ctx context.Context, exchange *Exchange) {
				now := running.Add(1)
				defer running.Add(-1)
				for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
				}
				if exchange.Hold(10) {
					heldBytes.Add(1)
				} else {
					assert.Check(t, exchange.AwaitTurn(ctx))
				}
				reply(exchange, pathOf(exchange))
			})
			var callers sync.WaitGroup
			for connection := range 3 {
				client := opened.dial(t)
				callers.Go(func() {
					var all strings.Builder
					for number := range requests {
						all.WriteString(get(fmt.Sprintf("/%d/%d", connection, number)))
					}
					written := make(chan error, 1)
					go func() {
						_, err := io.WriteString(client.conn, all.String())
						written <- err
					}()
					for number := range requests {
						_, body := client.answer()
						assert.Check(t, body == fmt.Sprintf("/%d/%d", connection, number))
					}
					assert.Check(t, <-written)
				})
			}
			callers.Wait()
			ahead := int64(min(3*(limits.RequestsPerConnection-1), limits.RequestsAhead))
			assert.Assert(t, most.Load() <= ahead+3, "%d at once", most.Load())
			opened.server.quota.mutex.Lock()
			defer opened.server.quota.mutex.Unlock()
			assert.Equal(t, opened.server.quota.requests, 0)
			assert.Equal(t, opened.server.quota.bytes, int64(0))
		})
	}
}

func TestAnswerBeforeTheEndOfALongBodyClosesTheConnection(t *testing.T) {
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		reply(exchange, pathOf(exchange))
	})
	client := opened.dial(t)
	client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nsome")
	_, body := client.answer()
	assert.Equal(t, body, "/1")
	response, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	// What the caller still sends must not reset the answer away.
	client.send(strings.Repeat("x", 50_000))
	client.ended()
}

func TestLongBodiesAreReadInOrder(t *testing.T) {
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		length := len(exchange.Content)
		if exchange.Body != nil {
			body, err := io.ReadAll(exchange.Body)
			assert.Check(t, err)
			length = len(body)
		}
		reply(exchange, fmt.Sprintf("%s %d", pathOf(exchange), length))
	})
	client := opened.dial(t)
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

// Who reads a body may outlive its request, whose memory then serves another one: what
// comes with the end of the body is copied before that can be. Trailers were read from the
// request later, and could be another request's.
func TestEndOfABodyIsCopiedBeforeTheRequestIsUsedAgain(t *testing.T) {
	read := make(chan string, 1)
	site := open(t, Limits{}, func(_ context.Context, exchange *Exchange) {
		if exchange.Body == nil {
			reply(exchange, "none")
			return
		}
		copied := ""
		exchange.Body.AtEnd(func() { copied = pathOf(exchange) })
		ended := make(chan struct{})
		go func() {
			_, _ = io.ReadAll(exchange.Body)
			close(ended)
			// The handler has returned, and further requests have been read.
			time.Sleep(50 * time.Millisecond)
			read <- copied
		}()
		<-ended
		reply(exchange, "read")
	})
	caller := site.dial(t)
	caller.send(post("/first", strings.Repeat("x", 100<<10)))
	caller.answer()
	for range 3 {
		caller.send(get("/later"))
		caller.answer()
	}
	assert.Equal(t, <-read, "/first")
}

func TestCallerThatAsksToCloseIsClosed(t *testing.T) {
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, pathOf(exchange)) })
	client := opened.dial(t)
	client.send(get("/1") + "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + get("/3"))
	first, _ := client.answer()
	assert.Assert(t, !first.Close)
	second, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, second.Close)
	client.ended()
}

// A body that is not framed as it should be is answered, behind all good requests.
func TestBrokenChunksAreAnswered(t *testing.T) {
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		if exchange.Body != nil {
			_, err := io.ReadAll(exchange.Body)
			assert.Check(t, err != nil)
		}
		reply(exchange, pathOf(exchange))
	})
	client := opened.dial(t)
	client.send(get("/1") + "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno number\r\n" + get("/never"))
	_, body := client.answer()
	assert.Equal(t, body, "/1")
	response, body := client.answer()
	assert.Equal(t, body, "/2")
	assert.Assert(t, response.Close)
	client.ended()
}

// What is left of a body that was not read must never be read as a request, however
// the reader and the handler meet.
func TestRestOfABodyIsNoRequest(t *testing.T) {
	var smuggled atomic.Int64
	opened := open(t, DefaultLimits, func(_ context.Context, exchange *Exchange) {
		if pathOf(exchange) == "/smuggled" {
			smuggled.Add(1)
		}
		reply(exchange, pathOf(exchange))
	})
	for range 200 {
		client := opened.dial(t)
		client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + get("/smuggled"))
		response, body := client.answer()
		assert.Equal(t, body, "/1")
		assert.Assert(t, response.Close)
		client.ended()
		_ = client.conn.(*net.TCPConn).SetLinger(0)
		_ = client.conn.Close()
	}
	assert.Equal(t, smuggled.Load(), int64(0))
}

// The reader goes on when nobody reads a body any more; it must find the connection
// sealed by then.
func TestStoppedBodySealsItsConnection(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	conn := newConnection(New(Config{}), nil, nil, &callerConn{Conn: near})
	body := newBody(conn, strings.NewReader("rest"), 4)
	assert.Assert(t, !body.stop())
	select {
	case <-body.over:
	default:
		t.Fatal("the reader is not told")
	}
	assert.Assert(t, conn.isSealed())
}
