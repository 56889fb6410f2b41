package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// attemptAndDeliver makes the attempts at a call and delivers the answer to the caller.
func (g *Gateway) attemptAndDeliver(ctx context.Context, exchange *pipeline.Exchange, attempt *attempter) error {
	for {
		done, err := attempt.run(ctx)
		if err != nil {
			return err
		}
		g.metrics.latency.Observe(time.Since(exchange.ArrivedAt).Seconds())
		attempt.logAnswer(done)
		err = g.deliver(ctx, exchange, attempt, done)
		if err == nil {
			return nil
		}
		attempt.abandonAttempt(err)
		failure := attempt.failureOf(ctx, err)
		failure.ResponseInterrupted = true
		failure.AnswerBegun = exchange.Request.Response.GetHijackWriter() != nil
		again := attempt.tryAgain(failure)
		attempt.logAttempt(ctx, done.target, err, again)
		if !again {
			return err
		}
	}
}

// deliver writes one answer to the caller, and ends its load at the instance. Errors: those of reading
// the answer, CallCancelled if writing to the caller fails.
func (g *Gateway) deliver(ctx context.Context, exchange *pipeline.Exchange, attempt *attempter, done instanceAnswer) error {
	rc := exchange.Request
	defer done.target.End()
	defer done.version.end()
	// An error of Close adds no information to that of reading the body.
	defer func() { _ = done.answer.Body.Close() }()
	head := done.answer.Head
	method := attempt.opening.GetMethod()
	if hasNoBody(method, head.GetStatus()) {
		// The body is not passed on, so an error of reading it does not matter.
		_, _ = readWhole(done.answer)
		g.writeHead(rc, head)
		if method == http.MethodHead && head.GetContentLength() >= 0 {
			rc.Response.Header.SetContentLength(int(head.GetContentLength()))
			rc.Response.SkipBody = true
		}
		return nil
	}
	if length := head.GetContentLength(); length >= 0 && length <= retry.MaxKeptAnswerBytes && exchange.ReserveAnswerBytes(length) {
		content, err := readWhole(done.answer)
		if err != nil {
			g.observeFailure(done.target, err)
			return err
		}
		g.writeHead(rc, head)
		rc.Response.SetBodyRaw(content)
		return nil
	}
	if mayBeTruncated(head) && exchange.HasLaterRequests() && exchange.ReserveAnswerBytes(retry.MaxKeptAnswerBytes) {
		content, whole, err := bufferAnswer(done.answer)
		if err != nil {
			g.observeFailure(done.target, err)
			return err
		}
		if whole {
			g.writeHead(rc, head)
			rc.Response.SetBodyRaw(content)
			return nil
		}
	}
	first, err := readFirstPiece(ctx, exchange, done.answer)
	if err == nil {
		g.writeHead(rc, head)
		err = streamAnswer(ctx, exchange, done.answer, first)
	}
	if err != nil {
		g.observeFailure(done.target, err)
	}
	return err
}

// writeOutcome sets the header fields for the result code and the outcome if the envelope names them.
func (g *Gateway) writeOutcome(rc *app.RequestContext, code result.Code, outcome string) {
	if name := g.config.Envelope.Result; name != "" {
		rc.Response.Header.Set(name, strconv.FormatUint(uint64(code), 10))
	}
	if name := g.config.Envelope.Outcome; name != "" {
		rc.Response.Header.Set(name, outcome)
	}
}

// writeHead copies the status and the end-to-end header fields of the answer.
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

// mayBeTruncated reports whether a truncation of the answer can be detected only at its end: the answer
// states no length and no trailers.
func mayBeTruncated(head *lapisv1.CallHead) bool {
	return head.GetContentLength() < 0 && !slices.ContainsFunc(head.GetHeaders(), func(field *lapisv1.HeaderField) bool {
		return strings.EqualFold(field.GetName(), "Trailer")
	})
}

// bufferAnswer reads an answer of unknown length into memory, up to MaxKeptAnswerBytes, before any of it
// is written. It reports whether that is the whole answer; if not, the answer's body is restored to begin
// with the bytes read. If such an answer were streamed and broke off, the caller's connection would end
// with all requests pipelined behind it, which other instances may run (9 of them in the case of
// TestRequestsSentAheadKeepPromises). A buffered answer that breaks off is replaced, or only its own
// request fails. Errors: those of the call.
func bufferAnswer(answer *callapi.Answer) (content []byte, whole bool, err error) {
	content, err = io.ReadAll(io.LimitReader(answer.Body, retry.MaxKeptAnswerBytes+1))
	if err != nil {
		return nil, false, err
	}
	if len(content) <= retry.MaxKeptAnswerBytes {
		return content, true, nil
	}
	answer.Body = prefixedBody{Reader: io.MultiReader(bytes.NewReader(content), answer.Body), Closer: answer.Body}
	return nil, false, nil
}

// prefixedBody is a body whose first part was already read and is read again from memory.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// readWhole reads a small answer to its end. Errors: CallTruncated and those of the call.
func readWhole(answer *callapi.Answer) ([]byte, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	if length := answer.Head.GetContentLength(); length >= 0 && int64(len(body)) != length {
		return nil, result.Errorf(result.CallTruncated, "the answer has %d bytes instead of the stated %d", len(body), length)
	}
	return body, nil
}
