package pipeline

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"gotest.tools/v3/assert"
)

// openLibrary starts the HTTP library's own server, which serves a connection's
// requests one after the other, to compare with.
func openLibrary(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	engine := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter), server.WithStreamBody(true),
		server.WithIdleTimeout(testWait), server.WithDisablePrintRoute(true), server.WithExitWaitTime(0))
	engine.NoRoute(func(_ context.Context, rc *app.RequestContext) { rc.Response.SetBodyString("done") })
	go func() { _ = engine.Run() }()
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func openPipeline(b *testing.B) string {
	return open(b, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "done") }).address
}

// BenchmarkCost tells what connections and requests cost, beside the library's
// server: bytes for each resting connection, time and allocations for a request.
func BenchmarkCost(b *testing.B) {
	for name, start := range map[string]func(*testing.B) string{"library": openLibrary, "pipeline": openPipeline} {
		b.Run("resting/"+name, func(b *testing.B) { resting(b, start(b)) })
		b.Run("request/"+name, func(b *testing.B) { requests(b, start(b)) })
	}
}

// resting measures the heap and stack of connections that have had one request.
func resting(b *testing.B, address string) {
	const connections = 1000
	before := inUse()
	for range connections {
		client := dialBench(b, address)
		roundTrip(b, client)
	}
	after := inUse()
	for b.Loop() {
	}
	b.ReportMetric(float64(after-before)/connections, "B/connection")
}

// inUse returns the bytes of heap and stacks after a collection.
func inUse() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func requests(b *testing.B, address string) {
	client := dialBench(b, address)
	b.ReportAllocs()
	for b.Loop() {
		roundTrip(b, client)
	}
}

func dialBench(b *testing.B, address string) net.Conn {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	assert.NilError(b, conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn
}

var benchAnswer [512]byte

func roundTrip(b *testing.B, conn net.Conn) {
	// Only failures are asserted: an assertion that holds has a cost of its own.
	if _, err := fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		assert.NilError(b, err)
	}
	if _, err := conn.Read(benchAnswer[:]); err != nil {
		assert.NilError(b, err)
	}
}
