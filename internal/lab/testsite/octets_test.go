package testsite_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// latin is a field value that HTTP allows and that is not UTF-8.
const latin = "caf\xe9"

// Guards against requests that have run and are answered 503 because a field of the answer is not UTF-8.
func TestAnswerWithValuesThatAreNotUTF8IsPassedOn(t *testing.T) {
	site, raw := startRawSite(t)
	for _, node := range hops {
		t.Run(node, func(t *testing.T) {
			raw.set(answerWith("HTTP/1.1 200 OK\r\nX-Dock: " + latin + "\r\nContent-Length: 2\r\n\r\nok"))
			answer := callRaw(t, site, node, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi")
			assert.Equal(t, answer.status, http.StatusOK)
			assert.Equal(t, answer.header.Get("X-Dock"), latin)
			assert.Equal(t, answer.body, "ok")

			raw.set(answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Dock\r\n\r\n2\r\nok\r\n0\r\nX-Dock: " + latin + "\r\n\r\n"))
			answer = callRaw(t, site, node, "POST /order/2 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi")
			assert.Equal(t, answer.status, http.StatusOK)
			assert.Equal(t, answer.trailer.Get("X-Dock"), latin)
			assert.Equal(t, answer.body, "ok")
		})
	}
}

// Guards against requests that end unsent because one of their fields is not UTF-8.
func TestRequestWithValuesThatAreNotUTF8IsPassedOn(t *testing.T) {
	site, raw := startRawSite(t)
	for _, node := range hops {
		t.Run(node, func(t *testing.T) {
			received := make(chan http.Header, 2)
			raw.set(func(conn *net.TCPConn, request *http.Request) bool {
				_, _ = io.Copy(io.Discard, request.Body)
				received <- request.Header
				received <- request.Trailer
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return err == nil
			})
			answer := callRaw(t, site, node, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nX-Dock: "+latin+
				"\r\nTrailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nX-End: "+latin+"\r\n\r\n")
			assert.Equal(t, answer.status, http.StatusOK)
			assert.Equal(t, (<-received).Get("X-Dock"), latin)
			assert.Equal(t, (<-received).Get("X-End"), latin)
		})
	}
}

// Guards against "may have run" for a request that cannot be sent, and against a promise for one that ran.
func TestRequestTargetThatIsNotUTF8IsRefused(t *testing.T) {
	site, raw := startRawSite(t)
	raw.set(answerWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
	answer := callRaw(t, site, "edge", "POST /order/"+latin+" HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 0\r\n\r\n")
	assert.Equal(t, answer.status, http.StatusBadRequest)
	assert.Equal(t, raw.runs.Load(), int64(0))
}
