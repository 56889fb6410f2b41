package gateway

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Limits of the quarantine check.
const (
	// maxHeldBodyBytes is the maximum size of a request body that is read into memory to compute the
	// request's keys, and maxTotalHeldBytes the maximum size of all bodies held at the same time, both in
	// bytes. Bodies are held only for a path under which instances crashed; a longer body is checked by
	// its path and length. maxHeldBodyBytes must be greater than callmux.MaxBufferedBodyBytes, the
	// size up to which bodies are always buffered. maxTotalHeldBytes must have room for four of the
	// longest bodies, so that a few of them do not use it up.
	maxHeldBodyBytes  = 4 << 20
	maxTotalHeldBytes = 16 << 20
	// trialTimeout is the maximum time that a request waits for ClaimTrial. Without an answer in this time the
	// request is refused. It must be less than refusal.DefaultRetryAfter.
	trialTimeout = 200 * time.Millisecond
)

// Quarantine decides which requests are held back because instances crashed under requests with the same
// keys. Its methods are safe for concurrent use; all except ClaimTrial return without blocking.
type Quarantine interface {
	// Suspected reports whether instances crashed under requests with the head of the line. It is
	// called for each request, and returns false for nearly all.
	Suspected(line fingerprint.RequestLine) bool
	// Evaluate returns the verdict on a request with the given keys and calling service.
	Evaluate(keys []fingerprint.Key, caller string) quarantine.Verdict
	// Count returns the number of instances that crashed under requests with the keys.
	Count(keys []fingerprint.Key) int
	// ClaimTrial asks the platform's store for permission to run one quarantined request as a trial; only one
	// daemon gets it. It also returns false if there is no answer before ctx ends.
	ClaimTrial(ctx context.Context, verdict quarantine.Verdict) bool
}

// heldBodies counts the bytes of the bodies that are held while their requests are served. It is safe for
// concurrent use.
type heldBodies struct{ bytes atomic.Int64 }

// reserve reserves count bytes; it reports false if maxTotalHeldBytes would be exceeded.
func (h *heldBodies) reserve(count int64) bool {
	if h.bytes.Add(count) > maxTotalHeldBytes {
		h.bytes.Add(-count)
		return false
	}
	return true
}

func (h *heldBodies) release(count int64) { h.bytes.Add(-count) }

// checkQuarantine refuses a quarantined request unless it may run as a trial. For a request under whose
// path instances crashed, it sets the keys in call. done releases the held body and must be called.
// Errors: CallNotRunQuarantined and those of reading the body.
func (g *Gateway) checkQuarantine(ctx context.Context, rc *app.RequestContext, call *call) (done func(), err error) {
	done = func() {}
	registry := g.config.Quarantine
	line := fingerprint.LineOf(call.opening)
	if registry == nil || !registry.Suspected(line) {
		return done, nil
	}
	if call.body.streamed != nil {
		if done, err = g.holdBody(call.body, rc); err != nil {
			return done, err
		}
	}
	call.keys = requestKeys(line, call.body)
	verdict := registry.Evaluate(call.keys, call.opening.GetCallerService())
	if !verdict.Quarantined {
		return done, nil
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	if verdict.TrialDue && registry.ClaimTrial(ctx, verdict) {
		call.opening.Trial = true
		return done, nil
	}
	return done, verdict.Err()
}

// requestKeys returns the keys of a request: those of its whole body, or those of its path and length if
// the body is too long to be held.
func requestKeys(line fingerprint.RequestLine, body *requestBody) []fingerprint.Key {
	partial := fingerprint.PartialOf(line, body.length)
	switch {
	case body.streamed != nil:
		return []fingerprint.Key{partial}
	case body.length == 0:
		return fingerprint.Of(line, nil).Whole()
	default:
		return append(fingerprint.Of(line, body.content).Whole(), partial)
	}
}

// holdBody reads a body into memory if it is short enough and there is room for it; otherwise the body stays
// streamed. done releases the memory and must be called. Errors: CallBodyTooLarge and those of reading the
// body.
func (g *Gateway) holdBody(body *requestBody, rc *app.RequestContext) (done func(), err error) {
	done = func() {}
	room := int64(maxHeldBodyBytes)
	if body.length >= 0 {
		room = body.length
	}
	if room > maxHeldBodyBytes || !g.heldBodies.reserve(room) {
		return done, nil
	}
	done = func() { g.heldBodies.release(room) }
	reader := body.streamed.NewReader(func() { body.trailers = trailersOf(rc, &g.config.Envelope) })
	content, err := io.ReadAll(io.LimitReader(reader, room+1))
	if err != nil {
		return done, err
	}
	if int64(len(content)) > room {
		return done, result.Errorf(result.CallBodyTooLarge, "instances crashed under the path, and the body is longer than %d bytes", room)
	}
	body.content, body.streamed, body.held = content, nil, true
	return done, nil
}

// crashCount returns the number of instances known to have crashed under the request: the greater of the
// number that err states and the number known to this daemon for the call's keys.
func (a *attempter) crashCount(err error) int {
	crashes := 0
	if coded, ok := err.(*result.Error); ok {
		crashes = coded.Crashes
	}
	if len(a.keys) > 0 {
		crashes = max(crashes, a.gateway.config.Quarantine.Count(a.keys))
	}
	return crashes
}
