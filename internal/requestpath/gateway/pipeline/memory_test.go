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
			body, err := io.ReadAll(exchange.Body)
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
