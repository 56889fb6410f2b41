package pipeline

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/containment"
)

// Guards against a head that ends the daemon with the requests of others. A missing budget stands for a fault
// in the parser of heads.
func TestPanicInTheParserEndsItsConnectionOnly(t *testing.T) {
	defer containment.Enable(func(string, any, []byte) {})()
	before := containment.Contained()
	server := startChanged(t, DefaultLimits, func(_ context.Context, exchange *Exchange) { reply(exchange, "ok") }, func(config *Config) {
		config.HeadLimits = func() HeadLimits { return HeadLimits{Bytes: 64 << 10, Timeout: testTimeout} }
		config.InputMemory = nil
	})
	odd, usual := server.dial(t), server.dial(t)
	odd.send("GET /a HTTP/1.1\r\nHost: a\r\nX-Long: " + strings.Repeat("v", 12<<10) + "\r\n\r\n")
	_, _ = odd.answer()
	odd.expectEOF()
	usual.send(get("/b"))
	_, body := usual.answer()
	assert.Equal(t, body, "ok")
	assert.Equal(t, containment.Contained()-before, int64(1))
}
