package origin

import (
	"context"
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Limits of the stale responses, which belong to earlier requests, that are discarded on one
// connection: their number, and the length of each body in bytes. With higher limits the call would
// wait longer for data that does not belong to it.
const (
	maxStaleResponses = 2
	maxStaleBodyBytes = 1 << 20
)

// Errors of an exchange that received responses to other requests: errStaleResponse if the
// connection ended after one, errTooManyStaleResponses if more than maxStaleResponses arrived.
var (
	errStaleResponse         = errors.New("the response belongs to another request")
	errTooManyStaleResponses = errors.New("too many responses belong to other requests")
)

// exchange is one request on one connection and its response.
type exchange struct {
	backend *backend
	conn    *connection
	request *http.Request
	// body is the streamed body of request, nil if there is none.
	body *requestBody
	// stopCancelWatch keeps the end of the context from closing the connection.
	stopCancelWatch func() bool
	// writeDone is closed when the write of the request has ended; writeErr is its result.
	writeDone chan struct{}
	writeErr  error
	// stale is true after the connection delivered a response to another request; the connection is
	// then not reused.
	stale bool
	once  sync.Once
}

// run writes the request and reads the response head. A streamed request body is written
// concurrently, because the response may arrive before all of it was sent.
func (e *exchange) run(call *callapi.Call) (*http.Response, error) {
	if call.Body == nil || call.Buffered {
		// A failed write does not end the exchange: the back end may already have sent a refusal.
		e.write()
	} else {
		go e.write()
	}
	e.conn.heads.beginExchange()
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
	defer containment.Recover("writing a request", func(cause error) {
		e.writeErr = cause
		_ = e.conn.Close() // Closed to interrupt the exchange: the instance has got a part of the request.
	})
	if e.writeErr = e.request.Write(e.conn.writer); e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
	if e.body.brokeOff() {
		_ = e.conn.Close() // Closed to interrupt the exchange: the instance would wait for the rest of the request.
	}
}

// requestBody is the body of a request to a back end. It records whether reading it failed, which net/http
// does not tell apart from a failed write to the back end.
type requestBody struct {
	io.Reader
	readErr error
}

// Read implements io.Reader.
func (b *requestBody) Read(buffer []byte) (int, error) {
	count, err := b.Reader.Read(buffer)
	if err != nil && err != io.EOF {
		b.readErr = err
	}
	return count, err
}

// brokeOff reports whether the body ended before it was whole. b may be nil.
func (b *requestBody) brokeOff() bool { return b != nil && b.readErr != nil }

// readHead reads a response head and skips informational (1xx) responses.
func (e *exchange) readHead() (*http.Response, error) {
	for range maxInterimResponses + 1 {
		e.conn.heads.beginHead()
		response, err := http.ReadResponse(e.conn.reader, e.request)
		if e.conn.heads.endHead() {
			return nil, errResponseHeadTooLong
		}
		if err != nil {
			return nil, shortened(err)
		}
		if err := checkHead(response); err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errTooManyInterimResponses
}

// maxFaultBytes limits the text of an error about a response head. net/http quotes all of a malformed line, and the
// text goes into the log and to the daemon of the caller.
const maxFaultBytes = 200

func shortened(err error) error {
	if text := err.Error(); len(text) > maxFaultBytes {
		return errors.New(text[:maxFaultBytes] + "...")
	}
	return err
}

// matchesRequestID reports whether a response belongs to this request, by the request ID that the
// back end echoes. Without an echo every response matches.
func (e *exchange) matchesRequestID(response *http.Response) bool {
	envelope := e.backend.envelope
	if !envelope.EchoesRequestID {
		return true
	}
	return response.Header.Get(envelope.RequestID) == e.request.Header.Get(envelope.RequestID)
}

// release returns the connection to the pool if it is reusable and the exchange completed, and
// closes it otherwise.
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

// exchangeBody is a response body whose end releases the connection.
type exchangeBody struct {
	exchange *exchange
	body     io.ReadCloser
	response *http.Response
	// end is the error of all reads after the end; nil before it.
	end error
}

// Read implements io.Reader. It returns io.EOF only if the response is whole.
func (b *exchangeBody) Read(buffer []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	count, err := b.body.Read(buffer)
	if err == io.EOF {
		if fault := b.exchange.checkEnd(b.response); fault != nil {
			err = fault
		}
	}
	if err == io.EOF {
		b.finish()
	} else if err != nil {
		b.exchange.release(false)
	}
	b.end = err
	return count, err
}

func (b *exchangeBody) finish() {
	if timeout, stated := keepAliveOf(b.response.Header); stated {
		b.exchange.conn.idleTimeout = timeout
	}
	b.exchange.release(!b.response.Close)
}

func (b *exchangeBody) Close() error {
	b.exchange.release(false)
	return nil
}

// failedExchangeCode returns the result code of a call that was sent and got no complete response.
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
