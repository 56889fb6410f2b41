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

// attemptAndDeliver runs the attempts and passes the answer on.
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
		attempt.noteMayHaveRun(err)
		failure := attempt.failureOf(ctx, err)
		failure.InDelivery = true
		failure.AnswerBegun = exchange.Request.Response.GetHijackWriter() != nil
		again := attempt.tryAgain(failure)
		attempt.logAttempt(ctx, done.target, err, again)
		if !again {
			return err
		}
	}
}

// deliver passes one answer on to the caller, and ends its load at the instance. Errors:
// those of reading the answer, CallCancelled when the caller cannot be written to.
func (g *Gateway) deliver(ctx context.Context, exchange *pipeline.Exchange, attempt *attempter, done instanceAnswer) error {
	rc := exchange.Request
	defer done.target.End()
	defer done.version.end()
	// An error of closing an answer adds nothing to that of reading it.
	defer func() { _ = done.answer.Body.Close() }()
	head := done.answer.Head
	method := attempt.opening.GetMethod()
	if hasNoBody(method, head.GetStatus()) {
		// A body that is not passed on may break off.
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
			g.observe(done.target, err)
			return err
		}
		g.writeHead(rc, head)
		rc.Response.SetBodyRaw(content)
		return nil
	}
	if mayBreakOff(head) && exchange.HasLaterRequests() && exchange.ReserveAnswerBytes(retry.MaxKeptAnswerBytes) {
		content, whole, err := readAhead(done.answer)
		if err != nil {
			g.observe(done.target, err)
			return err
		}
		if whole {
			g.writeHead(rc, head)
			rc.Response.SetBodyRaw(content)
			return nil
		}
	}
	g.writeHead(rc, head)
	err := streamAnswer(ctx, exchange, done.answer)
	if err != nil {
		g.observe(done.target, err)
	}
	return err
}

// writeOutcome adds the result code and the outcome, where the envelope has fields for them.
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

// mayBreakOff reports whether only the end of an answer will show that it is whole: it states no
// length, and nothing comes behind its body.
func mayBreakOff(head *lapisv1.CallHead) bool {
	return head.GetContentLength() < 0 && !slices.ContainsFunc(head.GetHeaders(), func(field *lapisv1.HeaderField) bool {
		return strings.EqualFold(field.GetName(), "Trailer")
	})
}

// readAhead reads an answer without length, of which nothing was written yet, up to
// MaxKeptAnswerBytes, and reports whether that is all of it; if not, the answer's body still
// begins with what was read. Passed on as it comes, such an answer ends the caller's connection
// where it breaks off, and with it the requests sent behind it, which other instances may run: 9
// of them in the case of TestRequestsSentAheadKeepPromises. Read ahead, it is replaced or fails by
// itself. Errors: those of the call.
func readAhead(answer *callapi.Answer) (content []byte, whole bool, err error) {
	content, err = io.ReadAll(io.LimitReader(answer.Body, retry.MaxKeptAnswerBytes+1))
	if err != nil {
		return nil, false, err
	}
	if len(content) <= retry.MaxKeptAnswerBytes {
		return content, true, nil
	}
	answer.Body = resumedBody{Reader: io.MultiReader(bytes.NewReader(content), answer.Body), Closer: answer.Body}
	return nil, false, nil
}

// resumedBody is a body of which a part was read already.
type resumedBody struct {
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
		return nil, result.Errorf(result.CallTruncated, "%d of %d bytes", len(body), length)
	}
	return body, nil
}
