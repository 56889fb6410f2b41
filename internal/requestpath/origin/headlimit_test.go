package origin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// startAnsweringBackend starts a back end that answers each connection with a text, sent in pieces if pieces is above
// 0, and then closes it. It returns an origin in front of it.
func startAnsweringBackend(t *testing.T, answer string, pieces int) *Origin {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				for rest := answer; rest != ""; {
					piece := rest
					if pieces > 0 {
						piece = rest[:min(pieces, len(rest))]
					}
					if _, err := io.WriteString(conn, piece); err != nil {
						return
					}
					rest = rest[len(piece):]
				}
			}()
		}
	}()
	return New(Config{
		Backends:    []BackendConfig{{Service: "desk", Instance: "desk-1", Address: listener.Addr().String()}},
		QueueLength: 10, QueueTime: time.Second,
	})
}

// readAnswer sends a call and returns the body of the answer.
func readAnswer(origin *Origin) (string, error) {
	answer, err := origin.Handle(context.Background(), &callapi.Call{Open: &lapisv1.CallOpen{
		Service: "desk", Instance: "desk-1", Method: http.MethodGet, Target: "/a", Host: "a.example", AttemptId: time.Now().String(), CallerService: "shop",
	}})
	if err != nil {
		return "", err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	return string(body), err
}

func fields(count int) string {
	var written strings.Builder
	for number := range count {
		fmt.Fprintf(&written, "F%d: v\r\n", number)
	}
	return written.String()
}

func TestResponseHeadsBeyondTheLimitsAreRefused(t *testing.T) {
	const ok, end = "HTTP/1.1 200 OK\r\n", "\r\n"
	lines := strings.Repeat("\n", 3000)
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for name, row := range map[string]struct {
		answer string
		body   string
		fault  string
	}{
		"head within the limits":      {answer: ok + fields(maxResponseHeadLines-2) + end + "body", body: "body"},
		"a long field":                {answer: ok + "A: " + strings.Repeat("v", maxResponseHeadBytes-100) + "\r\n" + end + "body", body: "body"},
		"a body of many lines":        {answer: ok + end + lines, body: lines},
		"a body longer than a head":   {answer: ok + end + strings.Repeat("x\n", maxResponseHeadBytes), body: strings.Repeat("x\n", maxResponseHeadBytes)},
		"interim responses":           {answer: strings.Repeat(interim, maxInterimResponses) + ok + end + "body", body: "body"},
		"too many fields":             {answer: ok + fields(maxResponseHeadLines) + end, fault: "exceeds"},
		"too long a field":            {answer: ok + "A: " + strings.Repeat("v", maxResponseHeadBytes) + "\r\n" + end, fault: "exceeds"},
		"too long a status line":      {answer: "HTTP/1.1 200 " + strings.Repeat("v", maxResponseHeadBytes), fault: "exceeds"},
		"too many bytes of any kind":  {answer: strings.Repeat("\x00", maxResponseHeadBytes+1), fault: "exceeds"},
		"lines that seem empty":       {answer: ok + "A: v\r\n \t\r\n" + fields(8*maxResponseHeadLines)},
		"too many interim responses":  {answer: strings.Repeat(interim, maxInterimResponses+1) + ok + end, fault: "informational"},
		"an interim head without end": {answer: "HTTP/1.1 103 Early Hints\r\n" + fields(maxResponseHeadLines), fault: "exceeds"},
		"a head after an interim one": {answer: interim + ok + fields(8*maxResponseHeadLines) + end, fault: "exceeds"},
	} {
		for _, pieces := range []int{0, 1500} {
			t.Run(fmt.Sprintf("%s, pieces of %d", name, pieces), func(t *testing.T) {
				body, err := readAnswer(startAnsweringBackend(t, row.answer, pieces))
				if row.fault != "" {
					assert.ErrorContains(t, err, row.fault)
				} else if row.body != "" {
					assert.NilError(t, err)
					assert.Equal(t, body, row.body)
				}
			})
		}
	}
}

// Memory per connection is bounded for any bytes and any sizes of reads.
func FuzzResponseHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody"), byte(0))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n"), byte(1))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\r\n\nC: d\n \n\n"), byte(2))
	f.Fuzz(func(t *testing.T, piece []byte, mode byte) {
		if len(piece) == 0 {
			return
		}
		repeated := bytes.Repeat(piece, 8*maxResponseHeadBytes/len(piece)+1)
		source := io.Reader(bytes.NewReader(repeated))
		if mode%3 == 1 {
			source = iotest.HalfReader(source)
		}
		heads := &headLimiter{source: source}
		reader := bufio.NewReaderSize(heads, backendBufferBytes)
		current := &exchange{conn: &connection{heads: heads, reader: reader}}
		heads.beginExchange()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		response, err := current.readHead()
		runtime.ReadMemStats(&after)
		assert.Assert(t, after.TotalAlloc-before.TotalAlloc < 32*maxResponseHeadBytes, "%d bytes allocated", after.TotalAlloc-before.TotalAlloc)
		if err != nil {
			assert.Assert(t, len(err.Error()) <= 2*maxFaultBytes, "%d bytes of error", len(err.Error()))
		} else {
			_, _ = io.Copy(io.Discard, response.Body)
		}
	})
}
