package gateway

import (
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// hopByHop names the fields that concern one connection only (RFC 9110,
// section 7.6.1), in lower case.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"transfer-encoding": true, "upgrade": true, "proxy-authenticate": true, "proxy-authorization": true,
	"content-length": true, "host": true, "expect": true,
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
	for _, trailer := range trailersOf(rc, envelope) {
		fields = append(fields, &lapisv1.HeaderField{Name: "Trailer", Value: trailer.GetName()})
	}
	fields = append(fields, &lapisv1.HeaderField{Name: "Via", Value: "1.1 lapisvane"})
	return fields
}

// trailersOf returns the trailers of a request, without those that a caller must not state.
func trailersOf(rc *app.RequestContext, envelope *callapi.Envelope) []*lapisv1.HeaderField {
	var fields []*lapisv1.HeaderField
	rc.Request.Header.Trailer().VisitAll(func(key, value []byte) {
		if !envelope.Private(strings.ToLower(string(key))) {
			fields = append(fields, &lapisv1.HeaderField{Name: string(key), Value: string(value)})
		}
	})
	return fields
}

// statedDeadline returns the time that the caller says it will wait, 0 where it says none; ok
// is false for what is no number.
func (g *Gateway) statedDeadline(rc *app.RequestContext) (stated time.Duration, ok bool) {
	millis, err := strconv.ParseInt(string(rc.Request.Header.Peek(g.config.Envelope.Deadline)), 10, 64)
	return time.Duration(max(millis, 0)) * time.Millisecond, err == nil
}

// waitedBefore returns how long the caller of a request has been waiting since its first try. It is
// called once for a request.
func (g *Gateway) waitedBefore(rc *app.RequestContext, route *lapisv1.Route) time.Duration {
	stated, _ := g.statedDeadline(rc)
	return g.deadlines.waited(route.GetName(), stated)
}

// maxChainAttempt bounds the number of retries that a caller may state;
// any number above 0 has the same effect on the retry rule.
const maxChainAttempt = 1000

// chainAttempt returns the number of retries made so far along the chain of calls, as the
// caller states it; 0 where it states none.
func (g *Gateway) chainAttempt(rc *app.RequestContext) uint32 {
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

// requestID returns the caller's id of a request; empty where there is none.
func (g *Gateway) requestID(rc *app.RequestContext) string {
	name := g.config.Envelope.RequestID
	if name == "" {
		return ""
	}
	return string(rc.Request.Header.Peek(name))
}
