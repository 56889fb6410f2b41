package origin

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxStaleAnswers bounds the answers to earlier requests that are skipped on one connection, and
// maxStaleBytes the length of each. With more the call waits for bytes that are not its own.
const (
	maxStaleAnswers = 2
	maxStaleBytes   = 1 << 20
)

// Errors of an exchange whose answer belongs to another request: the connection ended after the
// first such answer, or more came than maxStaleAnswers.
var (
	errStaleAnswer  = errors.New("the answer belongs to another request")
	errStaleAnswers = errors.New("the answers belong to other requests")
)

// exchange is one request on one connection and its answer.
type exchange struct {
	backend *backend
	conn    *connection
	request *http.Request
	// unwatch keeps the end of the context from closing the connection.
	unwatch func() bool
	// written is closed when the request was written; writeErr then tells how that ended.
	written  chan struct{}
	writeErr error
	// stale is true when the connection brought an answer to another request, so that it
	// is not used again.
	stale bool
	once  sync.Once
}

// run writes the request and reads the answer's head. A body that the caller still sends is written
// at the same time, because the answer may come first.
func (e *exchange) run(call *callapi.Call) (*http.Response, error) {
	if call.Body == nil || call.Buffered {
		// A failed write does not end the exchange: a refusal may have come before.
		e.write()
	} else {
		go e.write()
	}
	for range maxStaleAnswers + 1 {
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		if e.belongs(response) {
			return response, nil
		}
		e.stale = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes)); err != nil || response.Close {
			return nil, errStaleAnswer
		}
	}
	return nil, errStaleAnswers
}

func (e *exchange) write() {
	defer close(e.written)
	if e.writeErr = e.request.Write(e.conn.writer); e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
}

// readHead reads an answer's head and skips informational ones.
func (e *exchange) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, e.request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// belongs reports whether an answer is that to this request, by the request id that it echoes.
func (e *exchange) belongs(response *http.Response) bool {
	envelope := e.backend.envelope
	if !envelope.EchoesRequestID {
		return true
	}
	return response.Header.Get(envelope.RequestID) == e.request.Header.Get(envelope.RequestID)
}

// end gives the connection back, or closes it unless the exchange was whole.
func (e *exchange) end(whole bool) {
	e.once.Do(func() {
		stopped := e.unwatch()
		select {
		case <-e.written:
			whole = whole && e.writeErr == nil
		default:
			whole = false
		}
		if whole && stopped && !e.stale && e.conn.reader.Buffered() == 0 {
			e.backend.pool.put(e.conn)
			return
		}
		e.backend.pool.discard(e.conn)
	})
}

// exchangeBody ends the exchange with the end of the answer.
type exchangeBody struct {
	exchange *exchange
	body     io.ReadCloser
	response *http.Response
}

func (b *exchangeBody) Read(buffer []byte) (int, error) {
	count, err := b.body.Read(buffer)
	if err == io.EOF {
		b.finish()
	} else if err != nil {
		b.exchange.end(false)
	}
	return count, err
}

func (b *exchangeBody) finish() {
	if keep, stated := keepAliveOf(b.response.Header); stated {
		b.exchange.conn.keepFor = keep
	}
	b.exchange.end(!b.response.Close)
}

func (b *exchangeBody) Close() error {
	b.exchange.end(false)
	return nil
}

// brokenCode returns the code of a call that was sent and got no whole answer.
func brokenCode(ctx context.Context) result.Code {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return result.CallDeadline
	case ctx.Err() != nil:
		return result.CallCancelled
	default:
		return result.CallUnknownOutcome
	}
}
