package pipeline

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fuzzBodyBytes is the number of bytes that the handler of the fuzz target reads of a long body.
const fuzzBodyBytes = 64

// fuzzTerminator ends the connection after any input: a last request, and after it data that is not a
// request and is longer than the maximum head.
var fuzzTerminator = "\r\n\r\n" + "GET /end HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 8<<10)

// echo answers with the request as it was read, so that a difference in parsing shows in the answer.
func echo(_ context.Context, exchange *Exchange) {
	content := exchange.BufferedBody
	if exchange.Body != nil {
		content = make([]byte, fuzzBodyBytes)
		count, _ := io.ReadFull(exchange.Body.NewReader(nil), content)
		content = content[:count]
	}
	reply(exchange, fmt.Sprintf("%s %s %q", exchange.Request.Request.Header.Method(), exchange.Request.Request.Header.RequestURI(), content))
}

// exchangeBytes sends input in pieces of random size and returns everything that is received.
func exchangeBytes(t *testing.T, address string, input []byte, pieces *rand.Rand) []byte {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	// Closing by a reset avoids connections in TIME_WAIT, which fuzzing would accumulate.
	assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	go func() {
		for len(input) > 0 {
			count := 1 + pieces.IntN(len(input))
			if _, err := conn.Write(input[:count]); err != nil {
				return
			}
			input = input[count:]
		}
	}()
	answers, err := io.ReadAll(conn)
	assert.NilError(t, err, "%q", answers)
	return answers
}

// FuzzPipelinedBytes checks that pipelined requests get the same answers as requests that are served
// one at a time.
func FuzzPipelinedBytes(f *testing.F) {
	chunked := "POST /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
	for _, input := range []string{
		get("/1") + get("/2") + get("/3"),
		post("/1", "body") + chunked + get("/2"),
		get("/1") + post("/long", strings.Repeat("b", 3000)) + get("/2"),
		get("/1") + "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/2"),
		get("/1") + "garbage\x00\r\n\r\n" + get("/2"),
		"GET /1 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n" + get("/2"),
		"HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n" + get("/2"),
		get("/1") + "POST /e HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab" + get("/2"),
	} {
		f.Add([]byte(input), uint64(1))
	}
	oneByOneLimits := DefaultLimits
	oneByOneLimits.RequestsPerConnection = 1
	oneByOneSite, sentAheadSite := startServer(f, oneByOneLimits, echo), startServer(f, DefaultLimits, echo)
	f.Fuzz(func(t *testing.T, input []byte, seed uint64) {
		input = append(bytes.Clone(input), fuzzTerminator...)
		oneByOne := exchangeBytes(t, oneByOneSite.address, input, rand.New(rand.NewPCG(seed, 1)))
		sentAhead := exchangeBytes(t, sentAheadSite.address, input, rand.New(rand.NewPCG(seed, 2)))
		assert.Equal(t, string(oneByOne), string(sentAhead))
	})
}

// Kinds of the generated requests.
const (
	kindGet = iota
	kindShort
	kindLong
	kindChunked
	kinds
)

// drawRequest generates a request and returns its text and the answer that answerModel gives.
func drawRequest(t *rapid.T, number int) (text, want string) {
	path := fmt.Sprintf("/%d/%s", number, rapid.SampledFrom([]string{"whole", "pieces", "ordered"}).Draw(t, "answer"))
	switch rapid.IntRange(0, kinds-1).Draw(t, "kind") {
	case kindShort:
		body := rapid.StringMatching(`[a-z]{1,40}`).Draw(t, "body")
		return post(path, body), fmt.Sprintf("%s %d", path, len(body))
	case kindLong:
		length := rapid.IntRange(1025, 20_000).Draw(t, "length")
		return post(path, strings.Repeat("x", length)), fmt.Sprintf("%s %d", path, length)
	case kindChunked:
		length := rapid.IntRange(1, 5000).Draw(t, "length")
		text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, length, strings.Repeat("x", length))
		return text, fmt.Sprintf("%s %d", path, length)
	default:
		return get(path), path + " 0"
	}
}

// answerModel answers with the path and the length of the body. The path selects the kind of answer:
// buffered, streamed, or after all earlier answers were written.
func answerModel(ctx context.Context, exchange *Exchange) {
	length := len(exchange.BufferedBody)
	if exchange.Body != nil {
		body, _ := io.ReadAll(exchange.Body.NewReader(nil))
		length = len(body)
	}
	for range rand.IntN(20) {
		runtime.Gosched()
	}
	path := pathOf(exchange)
	text := fmt.Sprintf("%s %d", path, length)
	switch {
	case strings.HasSuffix(path, "pieces"):
		if exchange.BeginAnswer(ctx) != nil {
			return
		}
		body := resp.NewChunkedBodyWriter(&exchange.Request.Response, exchange.Request.GetWriter())
		exchange.Request.Response.HijackWriter(body)
		for _, piece := range strings.SplitAfter(text, "/") {
			_, _ = body.Write([]byte(piece))
			_ = body.Flush()
		}
		return
	case strings.HasSuffix(path, "ordered"):
		_ = exchange.AwaitEarlierAnswers(ctx)
	}
	reply(exchange, text)
}

// TestPipelineEqualsASequentialServer generates random pipelines and checks that each answer is the
// one that a server handling one request at a time would give.
func TestPipelineEqualsASequentialServer(t *testing.T) {
	srv := startServer(t, Limits{RequestsPerConnection: 5, PipelinedRequests: 8, BytesPerConnection: 60, TotalBytes: 100}, answerModel)
	rapid.Check(t, func(rt *rapid.T) {
		var all strings.Builder
		var wants []string
		for number := range rapid.IntRange(1, 30).Draw(rt, "requests") {
			text, want := drawRequest(rt, number)
			all.WriteString(text)
			wants = append(wants, want)
		}
		client := srv.dial(t)
		pieces := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "pieces"), 0))
		input := []byte(all.String())
		go func() {
			for len(input) > 0 {
				count := 1 + pieces.IntN(len(input))
				if _, err := client.conn.Write(input[:count]); err != nil {
					return
				}
				input = input[count:]
			}
		}()
		for _, want := range wants {
			response, body := client.answer()
			assert.Equal(rt, response.StatusCode, http.StatusOK, "%q", body)
			assert.Equal(rt, body, want)
		}
		_ = client.conn.(*net.TCPConn).SetLinger(0)
		_ = client.conn.Close()
	})
}
