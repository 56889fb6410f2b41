package origin

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

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
