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

// maxStaleResponses bounds the answers to earlier requests that are skipped on one connection, and
// maxStaleBodyBytes the length of each. With more the call waits for bytes that are not its own.
const (
	maxStaleResponses = 2
	maxStaleBodyBytes = 1 << 20
)

// Errors of an exchange whose answer belongs to another request: the connection ended after the
// first such answer, or more came than maxStaleAnswers.
var (
	errStaleResponse         = errors.New("the answer belongs to another request")
	errTooManyStaleResponses = errors.New("the answers belong to other requests")
)

// exchange is one request on one connection and its answer.
type exchange struct {
	backend *backend
	conn    *connection
	request *http.Request
	// stopCancelWatch keeps the end of the context from closing the connection.
	stopCancelWatch func() bool
	// writeDone is closed when the request was writeDone; writeErr then tells how that ended.
	writeDone chan struct{}
	writeErr  error
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
	for range maxStaleResponses + 1 {
		response, err := e.readHead()
		if err != nil {
			return nil, err
		}
		if e.matchesRequestID(response) {
			return response, nil
		}
		e.stale = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBodyBytes)); err != nil || response.Close {
			return nil, errStaleResponse
		}
	}
	return nil, errTooManyStaleResponses
}

func (e *exchange) write() {
	defer close(e.writeDone)
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

// matchesRequestID reports whether an answer is that to this request, by the request id that it echoes.
func (e *exchange) matchesRequestID(response *http.Response) bool {
	envelope := e.backend.envelope
	if !envelope.EchoesRequestID {
		return true
	}
	return response.Header.Get(envelope.RequestID) == e.request.Header.Get(envelope.RequestID)
}

// release gives the connection back, or closes it unless the exchange was whole.
func (e *exchange) release(reusable bool) {
	e.once.Do(func() {
		stopped := e.stopCancelWatch()
		select {
		case <-e.writeDone:
			reusable = reusable && e.writeErr == nil
		default:
			reusable = false
		}
		if reusable && stopped && !e.stale && e.conn.reader.Buffered() == 0 {
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
		b.exchange.release(false)
	}
	return count, err
}

func (b *exchangeBody) finish() {
	if keep, stated := keepAliveOf(b.response.Header); stated {
		b.exchange.conn.idleTimeout = keep
	}
	b.exchange.release(!b.response.Close)
}

func (b *exchangeBody) Close() error {
	b.exchange.release(false)
	return nil
}

// failedExchangeCode returns the code of a call that was sent and got no whole answer.
func failedExchangeCode(ctx context.Context) result.Code {
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return result.CallDeadline
	case ctx.Err() != nil:
		return result.CallCancelled
	default:
		return result.CallUnknownOutcome
	}
}
