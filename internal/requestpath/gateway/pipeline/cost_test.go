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

// startLibraryServer starts the HTTP library's own server, which serves the requests of a connection
// one at a time, for comparison.
func startLibraryServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	engine := server.New(server.WithListener(listener), server.WithTransport(standard.NewTransporter), server.WithStreamBody(true),
		server.WithIdleTimeout(testTimeout), server.WithDisablePrintRoute(true), server.WithExitWaitTime(0))
	engine.NoRoute(func(_ context.Context, rc *app.RequestContext) { rc.Response.SetBodyString("done") })
	go func() { _ = engine.Run() }()
	b.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func startPipelineServer(b *testing.B) string {
	return startServer(b, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "done") }).address
}

// BenchmarkCost compares the cost of this package with that of the library's server: the memory of an
// idle connection, and the time and allocations of a request.
func BenchmarkCost(b *testing.B) {
	for name, start := range map[string]func(*testing.B) string{"library": startLibraryServer, "pipeline": startPipelineServer} {
		b.Run("resting/"+name, func(b *testing.B) { benchmarkIdleConnections(b, start(b)) })
		b.Run("request/"+name, func(b *testing.B) { benchmarkRequests(b, start(b)) })
	}
}

// benchmarkIdleConnections measures the heap and stack memory of connections that are idle after one
// request.
func benchmarkIdleConnections(b *testing.B, address string) {
	const connections = 1000
	before := heapAndStackBytes()
	for range connections {
		client := dialBench(b, address)
		roundTrip(b, client)
	}
	after := heapAndStackBytes()
	for b.Loop() {
	}
	b.ReportMetric(float64(after-before)/connections, "B/connection")
}

// heapAndStackBytes returns the size of the heap and the stacks after a garbage collection.
func heapAndStackBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

func benchmarkRequests(b *testing.B, address string) {
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
	// The assertions run only on failure, because a passing assertion would add to the measured cost.
	if _, err := fmt.Fprint(conn, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		assert.NilError(b, err)
	}
	if _, err := conn.Read(benchAnswer[:]); err != nil {
		assert.NilError(b, err)
	}
}
