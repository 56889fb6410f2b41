package testsite_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request that stays at its instance until the deadline after its body could not be read.
func TestRequestWhoseBodyBreaksOffEndsAtOnce(t *testing.T) {
	site, raw := startRawSite(t)
	for _, node := range hops {
		t.Run(node, func(t *testing.T) {
			read := make(chan error, 1)
			raw.set(func(_ *net.TCPConn, request *http.Request) bool {
				_, err := io.Copy(io.Discard, request.Body)
				read <- err
				return false
			})
			began := time.Now()
			answer := callRaw(t, site, node, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\nno number\r\n")
			assert.Equal(t, answer.status, http.StatusBadGateway)
			assert.Assert(t, <-read != nil, "the instance got a whole request")
			// The route's deadline is 5 s.
			assert.Assert(t, time.Since(began) < 3*time.Second, "%s", time.Since(began))
		})
	}
}
