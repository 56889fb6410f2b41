package origin

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/callapi"
	"github.com/lapisvane/lapisvane/internal/result"
)

// Bounds of the connections to a back end.
const (
	backendDialTimeout = time.Second
	// backendIdleTimeout is how long an unused connection is kept. It is short
	// because a back end that closes one just as a call is written to it makes
	// that call's outcome unknown.
	backendIdleTimeout = 15 * time.Second
	backendBufferBytes = 8 << 10
)

// backend sends requests to one back end over HTTP/1.1.
type backend struct {
	address   string
	transport *http.Transport
}

func newBackend(address string, slots, connectionLimit int) *backend {
	dialer := &net.Dialer{Timeout: backendDialTimeout}
	return &backend{address: address, transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxConnsPerHost:     connectionLimit,
		MaxIdleConnsPerHost: min(slots, connectionLimit),
		IdleConnTimeout:     backendIdleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      backendBufferBytes,
		WriteBufferSize:     backendBufferBytes,
		// The wait for 100-continue before the body is sent all the same.
		ExpectContinueTimeout: time.Second,
	}}
}

// reachable reports whether the back end accepts a connection.
func (b *backend) reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: backendDialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", b.address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// handedOver notes whether any byte of a request may have reached the back
// end.
type handedOver struct{ written atomic.Bool }

func (h *handedOver) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { h.written.Store(true) },
	})
}

// oneShotBody hides from the HTTP client that a body could be sent again, so
// that it never repeats a request by itself.
type oneShotBody struct{ io.Reader }

func (oneShotBody) Close() error { return nil }

// roundTrip hands the call over once. Errors: CallNotRunUnreachable when no
// connection was opened, CallNotRunExpired when the caller left before,
// otherwise CallUnknownOutcome, CallDeadline or CallCancelled.
func (b *backend) roundTrip(ctx context.Context, call *callapi.Call) (*http.Response, error) {
	request, err := b.request(ctx, call)
	if err != nil {
		return nil, err
	}
	progress := &handedOver{}
	request = request.WithContext(progress.trace(ctx))
	response, err := b.transport.RoundTrip(request)
	if err == nil {
		return response, nil
	}
	if !progress.written.Load() {
		if ctx.Err() != nil {
			return nil, result.Wrap(result.CallNotRunExpired, err, "no connection to %s in time", b.address)
		}
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "connecting to %s", b.address)
	}
	return nil, result.Wrap(brokenCode(ctx), err, "request to %s", b.address)
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
	body := io.ReadCloser(oneShotBody{http.NoBody})
	if call.Body != nil {
		body = oneShotBody{call.Body}
	}
	request, err := http.NewRequestWithContext(ctx, open.GetMethod(), "http://"+b.address+open.GetTarget(), body)
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
	if deadline, ok := ctx.Deadline(); ok {
		request.Header.Set(callapi.HeaderDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	request.Header.Set(callapi.HeaderAttempt, strconv.FormatUint(uint64(open.GetAttempt()), 10))
	if call.Trailers != nil && open.GetContentLength() < 0 {
		announceTrailers(request, call)
	}
	return request, nil
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
