package httpinput

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"gotest.tools/v3/assert"
)

// waitTimeout bounds waits for events that must occur.
const waitTimeout = 20 * time.Second

// startServer starts a server of the library with bounded input and returns its address.
func startServer(t *testing.T, timeouts Timeouts) string {
	t.Helper()
	hlog.SetOutput(io.Discard)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := Limits{SectionBytes: 8 << 10, Memory: NewMemory(1 << 20)}
	engine := server.New(
		server.WithListener(listener), server.WithTransport(NewTransporter(limits, timeouts)),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(0),
	)
	engine.GET("/", func(_ context.Context, rc *app.RequestContext) { rc.SetStatusCode(http.StatusOK) })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = engine.Run()
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

func TestServerServesRequestsWithinTheBounds(t *testing.T) {
	address := startServer(t, Timeouts{Idle: waitTimeout, Request: waitTimeout})
	for range 3 {
		response, err := http.Get("http://" + address + "/")
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}

// Guards against connections whose first request never ends; the library bounds only the later ones.
func TestFirstRequestOfAConnectionHasATimeout(t *testing.T) {
	for name, row := range map[string]struct {
		timeouts Timeouts
		sent     string
	}{
		"nothing is sent": {Timeouts{Idle: 10 * time.Millisecond, Request: waitTimeout}, ""},
		"half a head":     {Timeouts{Idle: waitTimeout, Request: 10 * time.Millisecond}, "GET / HTTP/1.1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", startServer(t, row.timeouts))
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
			_, err = io.WriteString(conn, row.sent)
			assert.NilError(t, err)
			_, err = io.ReadAll(conn)
			assert.NilError(t, err)
		})
	}
}
