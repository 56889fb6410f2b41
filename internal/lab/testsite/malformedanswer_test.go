package testsite_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// malformedAnswers are answers that are not HTTP (RFC 9110, RFC 9112), followed by nothing.
var malformedAnswers = map[string]string{
	"status 000":                        "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 099":                        "HTTP/1.1 099 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                        "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status 999":                        "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status with a sign":                "HTTP/1.1 +20 Odd\r\nContent-Length: 2\r\n\r\nok",
	"status of two digits":              "HTTP/1.1 20 Odd\r\nContent-Length: 2\r\n\r\nok",
	"a switch of protocols":             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\nok",
	"version 2":                         "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"version 0":                         "HTTP/0.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"a blank in a name":                 "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a blank behind a name":             "HTTP/1.1 200 OK\r\nX-Odd : 1\r\nContent-Length: 2\r\n\r\nok",
	"a blank behind the length":         "HTTP/1.1 200 OK\r\nContent-Length : 2\r\nConnection: close\r\n\r\nok and more",
	"a blank behind the encoding":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nConnection: close\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"a tab in a name":                   "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a control byte in a name":          "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a delete byte in a name":           "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a carriage return in a name":       "HTTP/1.1 200 OK\r\nX\rOdd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a byte above 127 in a name":        "HTTP/1.1 200 OK\r\nX\xe9Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a separator in a name":             "HTTP/1.1 200 OK\r\nX(Odd): 1\r\nContent-Length: 2\r\n\r\nok",
	"an empty name":                     "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 2\r\n\r\nok",
	"a line without a name":             "HTTP/1.1 200 OK\r\nodd\r\nContent-Length: 2\r\n\r\nok",
	"a first line that is folded":       "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 2\r\n\r\nok",
	"a zero byte in a value":            "HTTP/1.1 200 OK\r\nX-Odd: a\x00b\r\nContent-Length: 2\r\n\r\nok",
	"a carriage return in a value":      "HTTP/1.1 200 OK\r\nX-Odd: a\rb\r\nContent-Length: 2\r\n\r\nok",
	"two lengths":                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nokk",
	"a length that is no number":        "HTTP/1.1 200 OK\r\nContent-Length: 2x\r\n\r\nok",
	"an unknown encoding":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: odd\r\n\r\nok",
	"a blank in the name of a trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Odd: 1\r\n\r\n",
	"a blank behind that of a trailer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n2\r\nok\r\n0\r\nX-End : 1\r\n\r\n",
	"a control byte in that":            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX\x01Odd: 1\r\n\r\n",
	"a chunk length that is no number":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\nok\r\n0\r\n\r\n",
	"a chunk longer than its length":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nok\r\n0\r\n\r\n",
	"an interim answer with a bad name": "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
}

// malformedAnswerTime bounds the time until a caller has the answer to a request whose answer is malformed. The
// instance keeps the connection open, and the deadline of the route is 5 s.
const malformedAnswerTime = 3 * time.Second

// Guards against answers that are not HTTP and reach the caller as a success, or only at the deadline.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	site, raw := startRawSite(t)
	for _, node := range hops {
		for name, text := range malformedAnswers {
			t.Run(node+" "+name, func(t *testing.T) {
				raw.set(answerWith(text))
				began := time.Now()
				answer := callRaw(t, site, node, "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 2\r\n\r\nhi")
				took := time.Since(began)
				if answer.status == http.StatusOK {
					// The head was sent before the fault showed, in the trailers or chunks.
					assert.Assert(t, answer.cut, "the caller got a success with the body %q", answer.body)
				} else {
					assert.Equal(t, answer.status, http.StatusBadGateway)
				}
				assert.Assert(t, took < malformedAnswerTime, "%s", took)
			})
		}
	}
}
