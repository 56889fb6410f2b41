package testsite_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/testsite"
)

// keptCaller sends requests over one connection to a daemon.
type keptCaller struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func dialKept(t *testing.T, site *testsite.Site, node string) *keptCaller {
	t.Helper()
	conn, err := net.Dial("tcp", site.Daemons[node].Daemon.Addresses().Caller)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &keptCaller{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// call sends a request and reads its answer.
func (k *keptCaller) call(path string) rawAnswer {
	k.t.Helper()
	assert.NilError(k.t, k.conn.SetDeadline(time.Now().Add(callerReadTimeout)))
	_, err := io.WriteString(k.conn, "POST "+path+" HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi")
	assert.NilError(k.t, err)
	return readRawAnswer(k.t, k.reader)
}

// wholeAnswer is an answer that ends properly.
const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"

// resetAfter returns a respondFunc that reads the request, writes text and then resets the connection.
func resetAfter(text string) respondFunc {
	return func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, text)
		// The reset would overtake what is not delivered yet.
		time.Sleep(20 * time.Millisecond)
		_ = conn.SetLinger(0)
		return false
	}
}

// headsWithoutBody are heads of answers whose body is streamed to the caller.
var headsWithoutBody = map[string]string{
	"without a length": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	"in chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	"with trailers":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n",
	"long":             "HTTP/1.1 200 OK\r\nX-Field: 1\r\nContent-Length: 1000000\r\n\r\n",
}

// Guards against the close of a caller's connection without a byte after the instance has sent the head of its
// answer only, although an error answer is still possible.
func TestAnswerThatBreaksOffBeforeItsBodyIsReplaced(t *testing.T) {
	site, raw := startRawSite(t)
	for _, node := range hops {
		for form, head := range headsWithoutBody {
			for _, path := range []string{"/order/1", "/lookup/1"} {
				t.Run(node+" "+form+" "+path, func(t *testing.T) {
					caller := dialKept(t, site, node)
					raw.set(resetAfter(head))
					answer := caller.call(path)
					assert.Assert(t, !answer.closed, "the connection was closed without an answer")
					assert.Equal(t, answer.status, http.StatusBadGateway)
					assert.Equal(t, answer.header.Get("X-Field"), "", "a field of the instance's answer")
					raw.set(answerWith(wholeAnswer))
					answer = caller.call(path)
					assert.Equal(t, answer.status, http.StatusOK)
					assert.Equal(t, answer.body, "whole")
				})
			}
		}
	}
}

// Guards against the same close when the daemon beside the instance ends while the answer is under way.
func TestDaemonThatEndsBeforeTheBodyIsAnswered(t *testing.T) {
	for form, head := range headsWithoutBody {
		t.Run(form, func(t *testing.T) {
			site, raw := startRawSite(t)
			sent := make(chan struct{})
			raw.set(func(conn *net.TCPConn, request *http.Request) bool {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, head)
				close(sent)
				_, _ = io.Copy(io.Discard, conn)
				return false
			})
			caller := dialKept(t, site, "edge")
			go func() {
				<-sent
				// The head is to reach the daemon of the caller first.
				time.Sleep(100 * time.Millisecond)
				site.Daemons["beside"].Kill()
			}()
			answer := caller.call("/order/1")
			assert.Assert(t, !answer.closed, "the connection was closed without an answer")
			assert.Equal(t, answer.status, http.StatusBadGateway)
		})
	}
}

// A streamed answer is passed on piece by piece, and one without any byte is whole.
func TestStreamedAnswersArePassedOn(t *testing.T) {
	site, raw := startRawSite(t)
	long := strings.Repeat("0123456789", 10_000)
	for _, node := range hops {
		caller := dialKept(t, site, node)
		for text, body := range map[string]string{
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":                                         "",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + long + "\r\n0\r\n\r\n":                long,
			"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long:                                               long,
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n":                  "abcde",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n1\r\na\r\n0\r\nX-End: 1\r\n\r\n": "a",
		} {
			raw.set(answerWith(text))
			answer := caller.call("/order/1")
			assert.Equal(t, answer.status, http.StatusOK, "%.60q", text)
			assert.Assert(t, answer.body == body && !answer.cut, "%d of %d bytes", len(answer.body), len(body))
		}
	}
}
