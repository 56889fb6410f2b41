package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// backend sends requests to one back end over HTTP/1.1. It is safe for concurrent use.
type backend struct {
	address  string
	instance string
	envelope *callapi.Envelope
	pool     *connectionPool
}

func newBackend(address, instance string, envelope *callapi.Envelope, connectionLimit int) *backend {
	return &backend{
		address: address, instance: instance, envelope: envelope,
		pool: newConnectionPool(address, connectionLimit),
	}
}

// probe opens and closes a connection to check that the back end accepts connections. Errors: those
// of the dial.
func (b *backend) probe(ctx context.Context) error {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// roundTrip sends the call once, and calls beforeSend right before that. The caller must close the
// response body. Errors: those of connectionPool.get, CallBadRequest if no request can be built
// from the call, CallNotRunExpired if ctx ended before the call was sent; after that
// CallUnknownOutcome, CallDeadline or CallCancelled.
func (b *backend) roundTrip(ctx context.Context, call *callapi.Call, beforeSend func()) (*http.Response, error) {
	conn, err := b.pool.get(ctx)
	if err != nil {
		return nil, err
	}
	request, body, err := b.request(ctx, call)
	if err != nil {
		b.pool.put(conn)
		return nil, err
	}
	if ctx.Err() != nil {
		b.pool.put(conn)
		return nil, result.Wrap(result.CallNotRunExpired, ctx.Err(), "the call ended before it was sent to the instance")
	}
	current := &exchange{backend: b, conn: conn, request: request, body: body, writeDone: make(chan struct{})}
	current.stopCancelWatch = context.AfterFunc(ctx, func() { _ = conn.Close() }) // Closed to interrupt the exchange, which reports why.
	sentAt := time.Now()
	beforeSend()
	response, err := current.run(call)
	if err != nil {
		current.release(false)
		if ctx.Err() == nil {
			b.pool.recordBreak(conn, time.Since(sentAt))
		}
		return nil, result.Wrap(failedExchangeCode(ctx), err, "request to %s", b.address)
	}
	response.Body = &exchangeBody{exchange: current, body: response.Body, response: response}
	return response, nil
}

// request builds the HTTP request of a call; body is nil if the call has none or has it in memory. Errors:
// CallBadRequest.
func (b *backend) request(ctx context.Context, call *callapi.Call) (request *http.Request, body *requestBody, err error) {
	open := call.Open
	content := call.Body
	if call.Body != nil && !call.Buffered {
		body = &requestBody{Reader: call.Body}
		content = body
	}
	request, err = http.NewRequest(open.GetMethod(), "http://"+b.address+open.GetTarget(), content)
	if err != nil {
		return nil, nil, result.Wrap(result.CallBadRequest, err, "building the request")
	}
	request.Host = open.GetHost()
	request.ContentLength = open.GetContentLength()
	if call.Body == nil {
		request.ContentLength = 0
	}
	for _, field := range open.GetHeaders() {
		request.Header.Add(field.GetName(), field.GetValue())
	}
	if request.Header.Get("User-Agent") == "" {
		// Keeps net/http from adding its own User-Agent.
		request.Header["User-Agent"] = []string{""}
	}
	b.setEnvelopeHeaders(ctx, request, call)
	if call.Trailers != nil && open.GetContentLength() < 0 {
		announceTrailers(request, call, content)
	}
	return request, body, nil
}

// setEnvelopeHeaders sets the header fields of the envelope.
func (b *backend) setEnvelopeHeaders(ctx context.Context, request *http.Request, call *callapi.Call) {
	envelope, open := b.envelope, call.Open
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max((time.Until(deadline) - call.DeadlineRounding).Milliseconds(), 1)
		request.Header.Set(envelope.Deadline, strconv.FormatInt(remaining, 10))
	}
	if envelope.Attempt != "" {
		request.Header.Set(envelope.Attempt, strconv.FormatUint(uint64(open.GetAttempt()), 10))
	}
	if envelope.ExpectedInstance != "" {
		request.Header.Set(envelope.ExpectedInstance, b.instance)
	}
	if envelope.CallerService != "" {
		request.Header.Set(envelope.CallerService, open.GetCallerService())
	}
	if envelope.Account != "" {
		// A caller must not set the account itself, even if the call has none.
		request.Header.Del(envelope.Account)
		if name := open.GetAccount(); name != "" {
			request.Header.Set(envelope.Account, name)
		}
	}
}

// announceTrailers declares the trailers that the caller announced, so that the request sends them.
func announceTrailers(request *http.Request, call *callapi.Call, body io.Reader) {
	names := request.Header.Values("Trailer")
	if len(names) == 0 {
		return
	}
	request.Header.Del("Trailer")
	request.Trailer = http.Header{}
	for _, name := range names {
		request.Trailer.Set(name, "")
	}
	request.Body = &trailerBody{Reader: body, call: call, request: request}
}

// trailerBody sets the trailer values at the end of the body, before net/http reads them.
type trailerBody struct {
	io.Reader
	call    *callapi.Call
	request *http.Request
}

func (t *trailerBody) Read(buffer []byte) (int, error) {
	count, err := t.Reader.Read(buffer)
	if err == io.EOF {
		for _, field := range t.call.Trailers() {
			t.request.Trailer.Set(field.GetName(), field.GetValue())
		}
	}
	return count, err
}

func (t *trailerBody) Close() error { return nil }
