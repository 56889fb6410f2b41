package gateway

import (
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
)

// hopByHop holds the names, in lower case, of the header fields that concern a single connection (RFC
// 9110, section 7.6.1).
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

// trailersOf returns the trailers of a request without those that callers must not set.
func trailersOf(rc *app.RequestContext, envelope *callapi.Envelope) []*lapisv1.HeaderField {
	var fields []*lapisv1.HeaderField
	rc.Request.Header.Trailer().VisitAll(func(key, value []byte) {
		if !envelope.Private(strings.ToLower(string(key))) {
			fields = append(fields, &lapisv1.HeaderField{Name: string(key), Value: string(value)})
		}
	})
	return fields
}

// maxStatedMillis bounds the deadline that a caller may state. It is the largest that the protocol between
// daemons can carry.
const maxStatedMillis = math.MaxUint32

// statedDeadline returns the time that the caller will wait according to its header field, at most
// maxStatedMillis. ok is false if the field is missing or is not a number.
func (g *Gateway) statedDeadline(rc *app.RequestContext) (stated time.Duration, ok bool) {
	millis, err := strconv.ParseInt(string(rc.Request.Header.Peek(g.config.Envelope.Deadline)), 10, 64)
	return time.Duration(min(max(millis, 0), maxStatedMillis)) * time.Millisecond, err == nil
}

// priorWait returns the time that the caller of a request has been waiting since its first try. It must
// be called once for each request, because it records the stated deadline.
func (g *Gateway) priorWait(rc *app.RequestContext, route *lapisv1.Route) time.Duration {
	stated, _ := g.statedDeadline(rc)
	return g.usualDeadlines.priorWait(route.GetName(), stated)
}

// maxChainRetries bounds the number of retries that a caller may state. All numbers above 0 have the same
// effect on the retry rule.
const maxChainRetries = 1000

// chainRetries returns the number of retries made so far along the chain of calls, as stated by the
// caller; 0 if it states none.
func (g *Gateway) chainRetries(rc *app.RequestContext) uint32 {
	name := g.config.Envelope.Attempt
	if name == "" {
		return 0
	}
	attempt, err := strconv.ParseUint(string(rc.Request.Header.Peek(name)), 10, 32)
	if err != nil {
		return 0
	}
	return uint32(min(attempt, maxChainRetries))
}

// requestID returns the caller's ID of a request; empty if there is none.
func (g *Gateway) requestID(rc *app.RequestContext) string {
	name := g.config.Envelope.RequestID
	if name == "" {
		return ""
	}
	return string(rc.Request.Header.Peek(name))
}
