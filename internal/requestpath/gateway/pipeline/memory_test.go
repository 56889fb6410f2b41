package pipeline

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/httpinput"
)

// startWithoutMemory starts a server whose memory for input is exhausted. It answers with the kind and the
// length of the body, and sends the result codes of faults to faults.
func startWithoutMemory(t *testing.T, faults chan<- result.Code) *testServer {
	t.Helper()
	handle := func(_ context.Context, exchange *Exchange) {
		switch {
		case exchange.Fault != nil:
			code, _ := result.CodeOf(exchange.Fault)
			faults <- code
			reply(exchange, "")
		case exchange.Body != nil:
			body, err := io.ReadAll(exchange.Body.NewReader(nil))
			assert.Check(t, err)
			reply(exchange, fmt.Sprintf("streamed %d", len(body)))
		default:
			reply(exchange, fmt.Sprintf("buffered %d", len(exchange.BufferedBody)))
		}
	}
	return startChanged(t, DefaultLimits, handle, func(config *Config) {
		config.InputMemory = httpinput.NewMemory(0)
		config.HeadLimits = func() HeadLimits { return HeadLimits{Bytes: 16 << 10, Timeout: testTimeout} }
	})
}

func TestOrdinaryRequestsAreServedWithoutMemory(t *testing.T) {
	client := startWithoutMemory(t, nil).dial(t)
	client.send(get("/1") + post("/2", "two") + get("/3"))
	for _, want := range []string{"buffered 0", "streamed 3", "buffered 0"} {
		_, body := client.answer()
		assert.Equal(t, body, want)
	}
}

func TestLongHeadIsRefusedWithoutMemory(t *testing.T) {
	faults := make(chan result.Code, 1)
	client := startWithoutMemory(t, faults).dial(t)
	client.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("v", 2*httpinput.MinBufferBytes) + "\r\n\r\n")
	response, _ := client.answer()
	assert.Equal(t, <-faults, result.CallNotRunOverloaded)
	assert.Assert(t, response.Close)
	client.expectEOF()
}

// Guards against input that is discarded for as long as a refused caller sends it.
func TestRefusedCallerThatSendsOnIsDisconnected(t *testing.T) {
	srv := startServer(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "") })
	client := srv.dial(t)
	client.send("no request\r\n\r\n")
	piece := make([]byte, 64<<10)
	sent, err := 0, error(nil)
	for count := 0; err == nil && sent < 64*maxDiscardBytes; sent += count {
		count, err = client.conn.Write(piece)
	}
	assert.Assert(t, err != nil, "%d bytes were sent", sent)
	assert.Assert(t, srv.received.Load() < 2*maxDiscardBytes, "%d bytes were read", srv.received.Load())
}
