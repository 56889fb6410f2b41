package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Sizes of answers in bytes.
const (
	// wholeAnswerBytes is the length up to which an answer is read whole
	// before any of it is passed on.
	wholeAnswerBytes = 64 << 10
	answerChunkBytes = 16 << 10
)

// defaultRetryAfter is named when nothing better is known.
const defaultRetryAfter = time.Second

// A call that was refused for load may come back after a random time between
// these parts of its target latency: soon, because its worth counts from its first try,
// and spread, so that the returns find slots free.
const (
	comeBackFrom = 0.15
	comeBackTo   = 0.6
)

// comeBack sets when a refused call may come back, where its route states a
// target latency: early enough for an answer that is worth something. One that a
// constraint left without instances, or that is held back, keeps its time: it would be
// refused again.
func comeBack(err error, route *lapisv1.Route) error {
	coded, ok := err.(*result.Error)
	target := route.GetCallClass().GetTargetLatencyMillis()
	if !ok || !coded.Code.NotRun() || target == 0 || constraintOf(err) != "" || coded.Code == result.CallNotRunQuarantined {
		return err
	}
	part := comeBackFrom + (comeBackTo-comeBackFrom)*rand.Float64()
	spread := *coded
	spread.RetryAfter = time.Duration(part * float64(target) * float64(time.Millisecond))
	return &spread
}

// statusOf maps a result code to an HTTP status.
func statusOf(code result.Code) int {
	switch code {
	case result.CallNoRoute:
		return http.StatusNotFound
	case result.CallBadRequest:
		return http.StatusBadRequest
	case result.CallHeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case result.CallBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.CallRequestTimeout:
		return http.StatusRequestTimeout
	case result.CallNotRunDuplicate:
		return http.StatusConflict
	case result.CallDeadline:
		return http.StatusGatewayTimeout
	case result.CallUnknownOutcome, result.CallTruncated, result.CallCancelled, result.CallInstanceCrashed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// failureBody is the body of an answer of the system's own.
type failureBody struct {
	Result  uint32 `json:"result"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}

// writeFailure answers with a numbered result at once.
func (g *Gateway) writeFailure(rc *app.RequestContext, err error) {
	code, ok := result.CodeOf(err)
	if !ok {
		code = result.CallUnknownOutcome
	}
	status := statusOf(code)
	outcome := callapi.OutcomeOf(err)
	rc.Response.Reset()
	rc.SetStatusCode(status)
	g.writeOutcome(rc, code, outcome)
	if status == http.StatusServiceUnavailable {
		rc.Response.Header.Set("Retry-After", g.retryAfter(err))
	}
	body, _ := json.Marshal(failureBody{Result: uint32(code), Name: code.String(), Outcome: outcome, Detail: detailOf(err)})
	rc.Response.Header.SetContentType("application/json")
	rc.Response.SetBodyRaw(body)
}

// detailOf returns the text for a caller, without addresses of the inside.
func detailOf(err error) string {
	if coded, ok := err.(*result.Error); ok {
		if entry, known := result.Lookup(coded.Code); known {
			return entry.Meaning
		}
	}
	return "The call failed."
}

// retryAfter renders the time after which trying again makes sense. Whole
// seconds are rounded up.
func (g *Gateway) retryAfter(err error) string {
	wait := defaultRetryAfter
	if coded, ok := err.(*result.Error); ok && coded.RetryAfter > 0 {
		wait = coded.RetryAfter
	}
	if g.config.Envelope.FractionalRetryAfter {
		return strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((wait + time.Second - 1) / time.Second))
}

// writeOutcome adds the fields of the system's own, where the envelope has
// them.
func (g *Gateway) writeOutcome(rc *app.RequestContext, code result.Code, outcome string) {
	if name := g.config.Envelope.Result; name != "" {
		rc.Response.Header.Set(name, strconv.FormatUint(uint64(code), 10))
	}
	if name := g.config.Envelope.Outcome; name != "" {
		rc.Response.Header.Set(name, outcome)
	}
}

// writeHead copies the answer's status and end-to-end fields.
func (g *Gateway) writeHead(rc *app.RequestContext, head *lapisv1.CallHead) {
	rc.SetStatusCode(int(head.GetStatus()))
	for _, field := range head.GetHeaders() {
		name := strings.ToLower(field.GetName())
		switch name {
		case "content-length", "trailer":
		case "content-type":
			rc.Response.Header.SetContentType(field.GetValue())
		default:
			rc.Response.Header.Add(field.GetName(), field.GetValue())
		}
	}
	g.writeOutcome(rc, result.OK, callapi.OutcomeDone)
}

// hasNoBody reports whether an answer never has a body.
func hasNoBody(method string, status uint32) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// readWhole reads a small answer to its end. Errors: CallTruncated and those
// of the call.
func readWhole(answer *callapi.Answer) ([]byte, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if length := answer.Head.GetContentLength(); length >= 0 && int64(len(body)) != length {
		return nil, result.Errorf(result.CallTruncated, "%d of %d bytes", len(body), length)
	}
	return body, nil
}

// streamAnswer passes an answer on piece by piece. When it breaks off, the
// caller's connection is closed without a proper end, so that the caller sees
// that the answer is not whole.
// Errors: CallCancelled, CallTruncated and those of the call.
func streamAnswer(ctx context.Context, exchange *pipeline.Exchange, answer *callapi.Answer) error {
	if err := exchange.BeginAnswer(ctx); err != nil {
		return err
	}
	rc := exchange.Request
	writer := rc.GetWriter()
	length := answer.Head.GetContentLength()
	for _, field := range answer.Head.GetHeaders() {
		if length < 0 && strings.EqualFold(field.GetName(), "Trailer") {
			_ = rc.Response.Header.Trailer().Set(field.GetValue(), "")
		}
	}
	var body network.ExtWriter
	if length >= 0 {
		body = &fixedWriter{rc: rc, writer: writer, remaining: length}
	} else {
		body = resp.NewChunkedBodyWriter(&rc.Response, writer)
	}
	stream := &streamWriter{inner: body}
	rc.Response.HijackWriter(stream)
	stream.err = copyAnswer(stream, answer)
	if stream.err == nil && length < 0 {
		for _, field := range answer.Trailers() {
			_ = rc.Response.Header.Trailer().Set(field.GetName(), field.GetValue())
		}
	}
	return stream.err
}

func copyAnswer(writer network.ExtWriter, answer *callapi.Answer) error {
	buffer := make([]byte, answerChunkBytes)
	for {
		count, err := answer.Body.Read(buffer)
		if count > 0 {
			if _, writeErr := writer.Write(buffer[:count]); writeErr != nil {
				return result.Wrap(result.CallCancelled, writeErr, "writing to the caller")
			}
			// The flush also ends the library's use of buffer.
			if flushErr := writer.Flush(); flushErr != nil {
				return result.Wrap(result.CallCancelled, flushErr, "writing to the caller")
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// streamWriter ends an answer properly only if it is whole.
type streamWriter struct {
	inner network.ExtWriter
	err   error
}

func (s *streamWriter) Write(piece []byte) (int, error) { return s.inner.Write(piece) }

func (s *streamWriter) Flush() error { return s.inner.Flush() }

// Finalize is called by the HTTP library after the handler; its error makes
// the library close the connection.
func (s *streamWriter) Finalize() error {
	if s.err != nil {
		return s.err
	}
	return s.inner.Finalize()
}

// fixedWriter writes an answer of known length.
type fixedWriter struct {
	rc        *app.RequestContext
	writer    network.Writer
	remaining int64
	started   bool
}

func (f *fixedWriter) start() error {
	if f.started {
		return nil
	}
	f.started = true
	f.rc.Response.Header.SetContentLength(int(f.remaining))
	return resp.WriteHeader(&f.rc.Response.Header, f.writer)
}

func (f *fixedWriter) Write(piece []byte) (int, error) {
	if err := f.start(); err != nil {
		return 0, err
	}
	if int64(len(piece)) > f.remaining {
		return 0, fmt.Errorf("the answer is longer than stated")
	}
	f.remaining -= int64(len(piece))
	return f.writer.WriteBinary(piece)
}

func (f *fixedWriter) Flush() error { return f.writer.Flush() }

func (f *fixedWriter) Finalize() error {
	if err := f.start(); err != nil {
		return err
	}
	if f.remaining > 0 {
		return result.Errorf(result.CallTruncated, "%d bytes are missing", f.remaining)
	}
	return f.writer.Flush()
}
