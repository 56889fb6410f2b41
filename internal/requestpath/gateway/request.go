package gateway

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway/pipeline"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// hopByHop names the fields that concern one connection only (RFC 9110,
// section 7.6.1), in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"transfer-encoding": true, "upgrade": true, "proxy-authenticate": true, "proxy-authorization": true,
	"content-length": true, "host": true, "expect": true,
}

// checkFraming refuses requests whose framing two HTTP implementations may
// read differently. The HTTP library has parsed the head already; what it
// tolerates is looked for in the raw lines. Errors: CallBadRequest.
func checkFraming(raw []byte, http11 bool) error {
	lengths, encodings, hosts := 0, 0, 0
	for len(raw) > 0 {
		end := bytes.IndexByte(raw, '\n')
		if end < 0 {
			end = len(raw) - 1
		}
		line := raw[:end+1]
		raw = raw[end+1:]
		if !bytes.HasSuffix(line, []byte("\r\n")) {
			return result.Errorf(result.CallBadRequest, "a header line does not end in CRLF")
		}
		line = line[:len(line)-2]
		if len(line) == 0 {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			return result.Errorf(result.CallBadRequest, "a header line is folded")
		}
		if bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
			return result.Errorf(result.CallBadRequest, "a header line has a control character")
		}
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return result.Errorf(result.CallBadRequest, "a header line has no proper name")
		}
		value = bytes.TrimSpace(value)
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if _, err := strconv.ParseUint(string(value), 10, 63); err != nil || value[0] == '+' {
				return result.Errorf(result.CallBadRequest, "the content length is not a number")
			}
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(string(value), "chunked") {
				return result.Errorf(result.CallBadRequest, "the transfer encoding is not chunked")
			}
		case "host":
			hosts++
		}
	}
	switch {
	case lengths+encodings > 1:
		return result.Errorf(result.CallBadRequest, "the body's length is stated more than once")
	case encodings > 0 && !http11:
		return result.Errorf(result.CallBadRequest, "a transfer encoding needs HTTP/1.1")
	case hosts > 1 || (http11 && hosts == 0):
		return result.Errorf(result.CallBadRequest, "there must be one Host")
	default:
		return nil
	}
}

// checkLimits refuses requests that are larger than the configuration allows; a
// limit of 0 is none. Errors: CallHeadTooLarge, CallBodyTooLarge.
func checkLimits(limits *lapisv1.Limits, headerBytes int, bodyBytes int64) error {
	if allowed := int(limits.GetHeaderBytes()); allowed > 0 && headerBytes > allowed {
		return result.Errorf(result.CallHeadTooLarge, "%d bytes of header, %d are allowed", headerBytes, allowed)
	}
	if allowed := int64(limits.GetBodyBytes()); allowed > 0 && bodyBytes > allowed {
		return result.Errorf(result.CallBodyTooLarge, "%d bytes of body, %d are allowed", bodyBytes, allowed)
	}
	return nil
}

// headersOf returns the end-to-end header fields of a request.
func headersOf(rc *app.RequestContext, envelope *callapi.Envelope) []*lapisv1.HeaderField {
	dropped := map[string]bool{}
	for _, name := range strings.Split(string(rc.Request.Header.Peek("Connection")), ",") {
		dropped[strings.ToLower(strings.TrimSpace(name))] = true
	}
	var fields []*lapisv1.HeaderField
	rc.Request.Header.VisitAll(func(key, value []byte) {
		name := strings.ToLower(string(key))
		if hopByHop[name] || dropped[name] || envelope.Private(name) || name == "trailer" {
			return
		}
		fields = append(fields, &lapisv1.HeaderField{Name: string(key), Value: string(value)})
	})
	for _, name := range trailerNames(rc) {
		fields = append(fields, &lapisv1.HeaderField{Name: "Trailer", Value: name})
	}
	fields = append(fields, &lapisv1.HeaderField{Name: "Via", Value: "1.1 lapisvane"})
	return fields
}

func trailerNames(rc *app.RequestContext) []string {
	var names []string
	rc.Request.Header.Trailer().VisitAll(func(key, _ []byte) { names = append(names, string(key)) })
	return names
}

// requestBody is a caller's body. It is either at hand, and can be sent again,
// or streamed once.
type requestBody struct {
	content  []byte
	streamed *pipeline.Body
	length   int64
	// held is true for a long body that was read whole, with its trailers.
	held     bool
	trailers []*lapisv1.HeaderField
}

// bodyOf returns the body of a request.
func bodyOf(exchange *pipeline.Exchange) *requestBody {
	if exchange.Body != nil {
		return &requestBody{streamed: exchange.Body, length: int64(exchange.Request.Request.Header.ContentLength())}
	}
	return &requestBody{content: exchange.Content, length: int64(len(exchange.Content))}
}

// attach gives the body to an attempt.
func (b *requestBody) attach(call *callapi.Call, rc *app.RequestContext) {
	switch {
	case b.streamed != nil:
		var trailers []*lapisv1.HeaderField
		b.streamed.AtEnd(func() { trailers = trailersOf(rc) })
		call.Body = b.streamed
		call.Trailers = func() []*lapisv1.HeaderField { return trailers }
	case b.held:
		b.attachHeld(call)
	case len(b.content) > 0:
		call.Body = bytes.NewReader(b.content)
		call.Buffered = true
	}
}

// replayable reports whether another attempt can send the whole body.
func (b *requestBody) replayable() bool { return b.streamed == nil || !b.streamed.Touched() }

func trailersOf(rc *app.RequestContext) []*lapisv1.HeaderField {
	var fields []*lapisv1.HeaderField
	rc.Request.Header.Trailer().VisitAll(func(key, value []byte) {
		fields = append(fields, &lapisv1.HeaderField{Name: string(key), Value: string(value)})
	})
	return fields
}

// deadlineOf returns the context for a call: the route's bound or the one that
// came along the chain of calls, whichever is sooner. Uploads have only the
// latter.
func (g *Gateway) deadlineOf(ctx context.Context, rc *app.RequestContext, class *lapisv1.CallClass, started time.Time) (context.Context, context.CancelFunc) {
	bound := time.Duration(class.GetDeadlineMillis()) * time.Millisecond
	if bound == 0 && !class.GetUpload() {
		bound = g.config.DefaultDeadline
	}
	chained, stated := g.statedDeadline(rc)
	if stated && (bound == 0 || chained < bound) {
		bound = chained
	}
	if bound == 0 && !stated {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, started.Add(bound))
}

// statedDeadline returns the time that the caller says it will wait.
func (g *Gateway) statedDeadline(rc *app.RequestContext) (stated time.Duration, ok bool) {
	millis, err := strconv.ParseInt(string(rc.Request.Header.Peek(g.config.Envelope.Deadline)), 10, 64)
	return time.Duration(max(millis, 0)) * time.Millisecond, err == nil
}

// chainAttempt returns the number of retries made so far along the chain.
func (g *Gateway) chainAttempt(rc *app.RequestContext) uint32 {
	const maxChainAttempt = 1000
	name := g.config.Envelope.Attempt
	if name == "" {
		return 0
	}
	attempt, err := strconv.ParseUint(string(rc.Request.Header.Peek(name)), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(min(attempt, maxChainAttempt))
}
