package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/requestpath/retry"
)

// finish runs the attempts and passes the answer on.
func (g *Gateway) finish(ctx context.Context, exchange *pipeline.Exchange, attempt *attempter) error {
	for {
		done, err := attempt.run(ctx)
		if err != nil {
			return err
		}
		g.metrics.latency.Observe(time.Since(exchange.Arrived).Seconds())
		attempt.logAnswer(done)
		err = g.deliver(ctx, exchange, attempt, done)
		if err == nil {
			return nil
		}
		attempt.noteOutcome(err)
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
func (g *Gateway) deliver(ctx context.Context, exchange *pipeline.Exchange, attempt *attempter, done outcome) error {
	rc := exchange.Request
	defer done.target.End()
	// An error of closing an answer tells no more than reading it did.
	defer func() { _ = done.answer.Body.Close() }()
	head := done.answer.Head
	method := attempt.opening.GetMethod()
	if hasNoBody(method, head.GetStatus()) {
		// A body that is not passed on is read and dropped; how it ends does not matter.
		_, _ = readWhole(done.answer)
		g.writeHead(rc, head)
		if method == http.MethodHead && head.GetContentLength() >= 0 {
			rc.Response.Header.SetContentLength(int(head.GetContentLength()))
			rc.Response.SkipBody = true
		}
		return nil
	}
	if length := head.GetContentLength(); length >= 0 && length <= retry.MaxKeptAnswerBytes && exchange.Hold(length) {
		content, err := readWhole(done.answer)
		if err != nil {
			g.observe(done.target, err)
			return err
		}
		g.writeHead(rc, head)
		rc.Response.SetBodyRaw(content)
		return nil
	}
	g.writeHead(rc, head)
	err := streamAnswer(ctx, exchange, done.answer)
	if err != nil {
		g.observe(done.target, err)
	}
	return err
}
