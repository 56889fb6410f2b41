package origin

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// maxStaleAnswers bounds the answers to earlier requests that are passed over
// on one connection, and maxStaleBytes the length of each.
const (
	maxStaleAnswers = 2
	maxStaleBytes   = 1 << 20
)

// backend sends requests to one back end over HTTP/1.1.
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

// connect finds out whether the back end accepts a connection. Errors: those of the dial.
func (b *backend) connect(ctx context.Context) error {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// exchange is one request on one connection and its answer.
type exchange struct {
	backend *backend
	conn    *connection
	request *http.Request
	// unwatch ends the closing of the connection at the end of the context.
	unwatch func() bool
	// written is closed when the request was written; writeErr then tells how
	// that ended.
	written  chan struct{}
	writeErr error
	// strange is true when the connection brought bytes that belong to no
	// request, so that it is not used again.
	strange bool
	once    sync.Once
}

// roundTrip hands the call over once, and calls handing right before. The answer's body must
// be closed.
// Errors: CallNotRunUnreachable when no connection was opened,
// CallNotRunOverloaded, CallNotRunExpired when the caller left before,
// otherwise CallUnknownOutcome, CallDeadline or CallCancelled.
func (b *backend) roundTrip(ctx context.Context, call *callapi.Call, handing func()) (*http.Response, error) {
	conn, err := b.pool.get(ctx)
	if err != nil {
		return nil, err
	}
	request, err := b.request(ctx, call)
	if err != nil {
		b.pool.put(conn)
		return nil, err
	}
	if ctx.Err() != nil {
		b.pool.put(conn)
		return nil, result.Wrap(result.CallNotRunExpired, ctx.Err(), "the call ended before it was handed over")
	}
	current := &exchange{backend: b, conn: conn, request: request, written: make(chan struct{})}
	current.unwatch = context.AfterFunc(ctx, func() { _ = conn.Close() })
	sent := time.Now()
	handing()
	response, err := current.run(call)
	if err != nil {
		current.end(false)
		if ctx.Err() == nil {
			b.pool.broke(conn, time.Since(sent))
		}
		return nil, result.Wrap(brokenCode(ctx), err, "request to %s", b.address)
	}
	response.Body = &exchangeBody{exchange: current, body: response.Body, response: response}
	return response, nil
}

// run writes the request and reads the answer's head. A body that the caller
// still sends is written at the same time, because the answer may come first.
func (e *exchange) run(call *callapi.Call) (*http.Response, error) {
	if call.Body == nil || call.Buffered {
		// A failed write is no failure yet: a refusal may have come before.
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
		e.strange = true
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes)); err != nil || response.Close {
			return nil, errors.New("the answer belongs to another request")
		}
	}
	return nil, errors.New("the answers belong to other requests")
}

func (e *exchange) write() {
	defer close(e.written)
	if e.writeErr = e.request.Write(e.conn.writer); e.writeErr == nil {
		e.writeErr = e.conn.writer.Flush()
	}
}

// readHead reads an answer's head and passes over informational ones.
func (e *exchange) readHead() (*http.Response, error) {
	for {
		response, err := http.ReadResponse(e.conn.reader, e.request)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// belongs reports whether an answer is that to this request.
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
		if whole && stopped && !e.strange && e.conn.reader.Buffered() == 0 {
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

// brokenCode tells why a call that was handed over got no whole answer.
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

func (b *backend) request(ctx context.Context, call *callapi.Call) (*http.Request, error) {
	open := call.Open
	var body io.Reader
	if call.Body != nil {
		body = call.Body
	}
	request, err := http.NewRequest(open.GetMethod(), "http://"+b.address+open.GetTarget(), body)
	if err != nil {
		return nil, result.Wrap(result.CallBadRequest, err, "building the request")
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
		// The HTTP library would add one of its own.
		request.Header["User-Agent"] = []string{""}
	}
	b.stampRequest(ctx, request, open)
	if call.Trailers != nil && open.GetContentLength() < 0 {
		announceTrailers(request, call)
	}
	return request, nil
}

// stampRequest sets the fields that lapisvane states itself.
func (b *backend) stampRequest(ctx context.Context, request *http.Request, open *lapisv1.CallOpen) {
	envelope := b.envelope
	if deadline, ok := ctx.Deadline(); ok {
		remaining := max(time.Until(deadline).Milliseconds(), 1)
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
}

// announceTrailers sends the request trailers that the caller named.
func announceTrailers(request *http.Request, call *callapi.Call) {
	names := request.Header.Values("Trailer")
	if len(names) == 0 {
		return
	}
	request.Header.Del("Trailer")
	request.Trailer = http.Header{}
	for _, name := range names {
		request.Trailer.Set(name, "")
	}
	request.Body = &trailerBody{Reader: call.Body, call: call, request: request}
}

// trailerBody fills in the trailers at the end of the body, as the HTTP client
// expects.
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

// headOf converts the head of a response.
func headOf(response *http.Response) *lapisv1.CallHead {
	head := &lapisv1.CallHead{Status: uint32(response.StatusCode), ContentLength: response.ContentLength}
	head.Headers = fieldsOf(response.Header)
	for name := range response.Trailer {
		head.Headers = append(head.Headers, &lapisv1.HeaderField{Name: "Trailer", Value: name})
	}
	return head
}

func fieldsOf(header http.Header) []*lapisv1.HeaderField {
	fields := make([]*lapisv1.HeaderField, 0, len(header))
	for name, values := range header {
		if hopByHop[name] {
			continue
		}
		for _, value := range values {
			fields = append(fields, &lapisv1.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// hopByHop names the fields that concern one connection only (RFC 9110,
// section 7.6.1), in canonical form.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
}
