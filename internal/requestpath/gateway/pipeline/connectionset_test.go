package pipeline

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startLimited starts a server for at most limit connections, which counts those that it closes.
func startLimited(t *testing.T, limit int, handle func(context.Context, *Exchange)) (srv *testServer, closed *atomic.Int64) {
	t.Helper()
	closed = &atomic.Int64{}
	srv = startChanged(t, DefaultLimits, handle, func(config *Config) {
		config.MaxConnections = limit
		config.OnConnectionLimit = func() { closed.Add(1) }
	})
	return srv, closed
}

// awaitIdle waits until the server has a number of idle connections.
func (s *testServer) awaitIdle(t *testing.T, count int) {
	t.Helper()
	for range testTimeout / time.Millisecond {
		s.server.connections.mutex.Lock()
		now := len(s.server.connections.idleConnections())
		s.server.connections.mutex.Unlock()
		if now == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the server does not have %d idle connections", count)
}

// Guards against callers that say nothing and occupy all connections.
func TestSilentConnectionsGiveWayToNewCallers(t *testing.T) {
	srv, closed := startLimited(t, 3, func(_ context.Context, exchange *Exchange) { reply(exchange, pathOf(exchange)) })
	served := srv.dial(t)
	served.send(get("/first"))
	_, body := served.answer()
	assert.Equal(t, body, "/first")
	var silent []*testClient
	for count := 2; count <= 3; count++ {
		silent = append(silent, srv.dial(t))
		srv.awaitIdle(t, count)
	}
	client := srv.dial(t)
	client.send(get("/new"))
	_, body = client.answer()
	assert.Equal(t, body, "/new")
	silent[0].expectEOF()
	assert.Equal(t, closed.Load(), int64(1))
	served.send(get("/again"))
	_, body = served.answer()
	assert.Equal(t, body, "/again")
}

func TestNewConnectionIsClosedWhileNoneIsIdle(t *testing.T) {
	gates := newHandlerGates()
	srv, closed := startLimited(t, 1, func(_ context.Context, exchange *Exchange) {
		gates.enterAndWait(pathOf(exchange))
		reply(exchange, pathOf(exchange))
	})
	busy := srv.dial(t)
	busy.send(get("/busy"))
	gates.awaitEntered(t, 1)
	refused := srv.dial(t)
	_, err := io.ReadAll(refused.conn)
	assert.NilError(t, err)
	assert.Equal(t, closed.Load(), int64(1))
	gates.release("/busy")
	_, body := busy.answer()
	assert.Equal(t, body, "/busy")
}

func TestOrderInWhichIdleConnectionsAreClosed(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	silent, old, recent := idleState{since: at(30)}, idleState{served: true, since: at(10)}, idleState{served: true, since: at(20)}
	assert.Assert(t, silent.compare(old) < 0)
	assert.Assert(t, old.compare(silent) > 0)
	assert.Assert(t, old.compare(recent) < 0)
	assert.Equal(t, old.compare(old), 0)
}
