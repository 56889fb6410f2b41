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
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// testTimeout bounds every wait of a test; it is reached only if a test fails.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// testServer is a server under test.
type testServer struct {
	server   *Server
	address  string
	stopping atomic.Bool
	// received counts the bytes that were read from clients.
	received atomic.Int64
	// beforeRead, if not nil, is called before each read from a client.
	beforeRead atomic.Pointer[func(net.Conn)]
}

// countingListener counts the bytes that are read from its connections.
type countingListener struct {
	net.Listener
	server *testServer
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{TCPConn: conn.(*net.TCPConn), server: l.server}, nil
}

type countingConn struct {
	*net.TCPConn
	server *testServer
}

func (c countingConn) Read(buffer []byte) (int, error) {
	if before := c.server.beforeRead.Load(); before != nil {
		(*before)(c.TCPConn)
	}
	count, err := c.TCPConn.Read(buffer)
	c.server.received.Add(int64(count))
	return count, err
}

// startServer starts a server that passes its requests to handle.
func startServer(t testing.TB, limits Limits, handle func(context.Context, *Exchange)) *testServer {
	t.Helper()
	return startChanged(t, limits, handle, func(*Config) {})
}

// startChanged is startServer with a configuration that change changes.
func startChanged(t testing.TB, limits Limits, handle func(context.Context, *Exchange), change func(*Config)) *testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &testServer{address: listener.Addr().String()}
	listener = countingListener{Listener: listener, server: srv}
	changed := Config{
		HeadLimits:   func() HeadLimits { return HeadLimits{Bytes: 4 << 10, Timeout: testTimeout} },
		MaxBodyBytes: 4 << 20, MaxBufferedBodyBytes: 1 << 10, InputMemory: httpinput.NewMemory(1 << 20),
		IdleTimeout: testTimeout, BodyIdleTimeout: testTimeout, LingerTimeout: testTimeout,
		Limits: limits, Handle: handle, Stopping: srv.stopping.Load,
		Check: func(rc *app.RequestContext) error {
			if len(rc.Request.Header.Peek("X-Refuse")) > 0 {
				return result.Errorf(result.CallBadRequest, "refused by the test")
			}
			return nil
		},
	}
	change(&changed)
	srv.server = New(changed)
	engine := server.New([]config.Option{
		server.WithListener(srv.server.Listener(listener)), server.WithTransport(standard.NewTransporter),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(0), server.WithOnAccept(srv.server.OnAccept),
	}...)
	engine.AddProtocol(suite.HTTP1, srv.server.Factory())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = engine.Run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return srv
}

// testClient is a client that sends arbitrary bytes.
type testClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &testClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *testClient) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// answer reads one answer with its body.
func (c *testClient) answer() (*http.Response, string) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response, string(body)
}

// expectEOF asserts that the server closes the connection without another answer.
func (c *testClient) expectEOF() {
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

// handlerGates blocks handlers until the test releases them, by request path.
type handlerGates struct {
	mutex   sync.Mutex
	byPath  map[string]chan struct{}
	entered chan string
}

func newHandlerGates() *handlerGates {
	return &handlerGates{byPath: map[string]chan struct{}{}, entered: make(chan string, 100)}
}

func (g *handlerGates) gate(path string) chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.byPath[path] == nil {
		g.byPath[path] = make(chan struct{})
	}
	return g.byPath[path]
}

func (g *handlerGates) enterAndWait(path string) {
	g.entered <- path
	<-g.gate(path)
}

func (g *handlerGates) release(paths ...string) {
	for _, path := range paths {
		close(g.gate(path))
	}
}

func (g *handlerGates) awaitEntered(t *testing.T, count int) map[string]bool {
	t.Helper()
	seen := map[string]bool{}
	for range count {
		inTime := true
		select {
		case path := <-g.entered:
			seen[path] = true
		case <-time.After(testTimeout):
			inTime = false
		}
		assert.Assert(t, inTime, "only %v were handled", seen)
	}
	return seen
}
