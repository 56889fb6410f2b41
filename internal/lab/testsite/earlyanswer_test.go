package testsite_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uploadHeads are the heads of an upload in both forms, up to the length of the body or of its first chunk.
var uploadHeads = map[string]string{
	"with a length": "POST /upload/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 1000000\r\n\r\n",
	"in chunks":     "POST /upload/1 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nf4240\r\n",
}

// Guards against an early answer without a length that reaches the caller as a whole one although its instance has
// reset the connection while the upload was being written.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	const rounds = 30
	site, raw := startRawSite(t)
	content := strings.Repeat("x", 1_000_000)
	for _, node := range hops {
		for form, head := range uploadHeads {
			for _, part := range []string{"", "part of the answer"} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes of the answer", node, form, len(part)), func(t *testing.T) {
					raw.set(func(conn *net.TCPConn, _ *http.Request) bool {
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+part)
						time.Sleep(time.Millisecond)
						_ = conn.SetLinger(0)
						return false
					})
					for round := range rounds {
						answer := callRaw(t, site, node, head+content)
						whole := answer.status == http.StatusOK && !answer.cut
						assert.Assert(t, !whole, "round %d: the caller got a success with %d bytes", round, len(answer.body))
					}
				})
			}
		}
	}
}
