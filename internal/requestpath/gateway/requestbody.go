package gateway

import (
	"bytes"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
)

// requestBody is the body of a caller's request. It is either in memory, and can be sent repeatedly, or a
// stream that can be sent once.
type requestBody struct {
	content  []byte
	streamed *pipeline.Body
	// length is in bytes, negative if the caller does not state it.
	length int64
	// held is true for a long body that was read into memory for the quarantine check, together with its
	// trailers.
	held     bool
	trailers []*lapisv1.HeaderField
}

// bodyOf returns the body of a request.
func bodyOf(exchange *pipeline.Exchange) *requestBody {
	if exchange.Body != nil {
		return &requestBody{streamed: exchange.Body, length: int64(exchange.Request.Request.Header.ContentLength())}
	}
	return &requestBody{content: exchange.BufferedBody, length: int64(len(exchange.BufferedBody))}
}

// attach attaches the body to an attempt. withdraw keeps the attempt from reading a streamed body later, unless
// it has begun to.
func (b *requestBody) attach(call *callapi.Call, rc *app.RequestContext, envelope *callapi.Envelope) (withdraw func()) {
	switch {
	case b.streamed != nil:
		var trailers []*lapisv1.HeaderField
		reader := b.streamed.NewReader(func() { trailers = trailersOf(rc, envelope) })
		call.Body = reader
		call.Trailers = func() []*lapisv1.HeaderField { return trailers }
		return reader.Withdraw
	case b.held:
		call.Body = bytes.NewReader(b.content)
		call.Trailers = func() []*lapisv1.HeaderField { return b.trailers }
	case len(b.content) > 0:
		call.Body = bytes.NewReader(b.content)
		call.Buffered = true
	}
	return func() {}
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return b.streamed == nil || !b.streamed.ReadStarted() }
