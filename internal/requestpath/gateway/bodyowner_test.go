package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// sentBody is what an attempt read of the request's body.
type sentBody struct {
	content  string
	trailers int
	err      error
}

// wakingPeers are the daemons beside the instances of a test. The first attempt becomes silent. Both it and the
// second one ask for the body, in the order that the test sets.
type wakingPeers struct {
	silentFirst bool
	// read holds what each attempt read, by its number.
	mutex    sync.Mutex
	attempts int
	read     map[int]sentBody
	// done is closed when the attempt that reads first has read.
	done chan struct{}
}

// Handle implements Remote.
func (p *wakingPeers) Handle(_ context.Context, _ string, call *callapi.Call) (*callapi.Answer, error) {
	p.mutex.Lock()
	number := p.attempts
	p.attempts++
	p.mutex.Unlock()
	if number > 0 {
		return p.readAndAnswer(number, call, !p.silentFirst)
	}
	silence := &callapi.SilentPeerError{Await: func(context.Context) (*callapi.Answer, error) {
		return p.readAndAnswer(0, call, p.silentFirst)
	}}
	return nil, result.Wrap(result.CallUnknownOutcome, silence, "no answer yet")
}

// readAndAnswer reads the body as a daemon that asks for it, and answers if that was the whole body.
func (p *wakingPeers) readAndAnswer(number int, call *callapi.Call, first bool) (*callapi.Answer, error) {
	if first {
		defer close(p.done)
	} else {
		<-p.done
	}
	content, err := io.ReadAll(call.Body)
	p.mutex.Lock()
	p.read[number] = sentBody{content: string(content), trailers: len(call.Trailers()), err: err}
	p.mutex.Unlock()
	if err != nil {
		return nil, result.Wrap(result.CallCancelled, err, "the request body ended early")
	}
	return &callapi.Answer{
		Head: &lapisv1.CallHead{Status: 200, ContentLength: int64(len(content))}, Body: io.NopCloser(strings.NewReader(string(content))),
		Trailers: func() []*lapisv1.HeaderField { return nil },
	}, nil
}

// Guards against an instance that runs a request with an empty body, because an attempt whose daemon was silent
// reads a body that the next attempt has already read, and takes that for its end.
func TestOnlyOneAttemptGetsAStreamedBody(t *testing.T) {
	long := strings.Repeat("0123456789", 10_000)
	bodies := map[string]string{
		"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\nTrailer: X-End\r\n\r\n%x\r\n%s\r\n0\r\nX-End: 1\r\n\r\n", len(long), long),
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(long), long),
	}
	for form, body := range bodies {
		for _, silentFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, the silent daemon reads first: %t", form, silentFirst), func(t *testing.T) {
				peers := &wakingPeers{silentFirst: silentFirst, read: map[int]sentBody{}, done: make(chan struct{})}
				gateway := newAttempter(t, peers, true, retry.Limits{Fraction: 1, Burst: 10}).gateway
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				assert.NilError(t, err)
				serving, stop := context.WithCancel(t.Context())
				ended := make(chan struct{})
				go func() { gateway.Serve(serving, listener, nil); close(ended) }()
				t.Cleanup(func() { stop(); <-ended; gateway.Close() })

				conn, err := net.Dial("tcp", listener.Addr().String())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
				go func() { _, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+body) }()
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				assert.NilError(t, err)
				answered, err := io.ReadAll(response.Body)
				assert.NilError(t, err)
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Assert(t, string(answered) == long, "the answer is that of another body: %d bytes", len(answered))
				peers.check(t, long, form == "in chunks")
			})
		}
	}
}

// check checks that one attempt got the whole body with its trailers, and the other one an error.
func (p *wakingPeers) check(t *testing.T, body string, hasTrailers bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if len(p.read) < 2 {
			return poll.Continue("%d attempts have read", len(p.read))
		}
		return poll.Success()
	})
	first, second := 1, 0
	if p.silentFirst {
		first, second = 0, 1
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	assert.Assert(t, p.read[first].content == body && p.read[first].err == nil, "%d bytes, %v", len(p.read[first].content), p.read[first].err)
	if hasTrailers {
		assert.Equal(t, p.read[first].trailers, 1)
	}
	other := p.read[second]
	assert.Assert(t, other.err != nil && other.content == "", "the other attempt got %d bytes as the whole body", len(other.content))
}
