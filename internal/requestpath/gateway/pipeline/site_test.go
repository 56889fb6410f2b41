package pipeline

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol/suite"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// testWait bounds what a test waits for; only a fault reaches it.
const testWait = 20 * time.Second

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// site is a server under test.
type site struct {
	server   *Server
	address  string
	stopping atomic.Bool
	// received counts the bytes that were read from callers.
	received atomic.Int64
	// beforeRead is called before each read from a caller, unless it is nil.
	beforeRead atomic.Pointer[func(net.Conn)]
}

// countingListener counts what is read from its connections.
type countingListener struct {
	net.Listener
	site *site
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{TCPConn: conn.(*net.TCPConn), site: l.site}, nil
}

type countingConn struct {
	*net.TCPConn
	site *site
}

func (c countingConn) Read(buffer []byte) (int, error) {
	if before := c.site.beforeRead.Load(); before != nil {
		(*before)(c.TCPConn)
	}
	count, err := c.TCPConn.Read(buffer)
	c.site.received.Add(int64(count))
	return count, err
}

// open starts a server whose requests come to handle.
func open(t testing.TB, limits Limits, handle func(context.Context, *Exchange)) *site {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	opened := &site{address: listener.Addr().String()}
	listener = countingListener{Listener: listener, site: opened}
	opened.server = New(Config{
		MaxHeaderBytes: 4 << 10, MaxBodyBytes: 4 << 20, ShortBodyBytes: 1 << 10,
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
		inTime := true
		select {
		case path := <-g.entered:
			seen[path] = true
		case <-time.After(testWait):
			inTime = false
		}
		assert.Assert(t, inTime, "only %v were handled", seen)
	}
	return seen
}
