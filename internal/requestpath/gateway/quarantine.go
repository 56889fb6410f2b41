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

// Bounds of what is read whole before a request is checked.
const (
	// maxHeldBody is the longest request body that is read whole to know the request's keys, and
	// maxHeldBodies bounds all that are held at a time, both in bytes. Only bodies to a path under
	// which instances crashed are held; a longer one is checked by its path and length. Four
	// bodies of the greatest length fit.
	maxHeldBody   = 4 << 20
	maxHeldBodies = 16 << 20
	// trialTimeout bounds ClaimTrial, for which the request waits; without an answer it is
	// refused.
	trialTimeout = 200 * time.Millisecond
)

// Quarantine decides which requests are held back because instances crashed under their keys. Its
// methods are safe for concurrent use; all but ClaimTrial return at once.
type Quarantine interface {
	// Suspected reports whether instances crashed under requests with the head of the line. It
	// is called for each request, and false for nearly all.
	Suspected(line fingerprint.Line) bool
	// Evaluate decides on a request of a calling service.
	Evaluate(keys []fingerprint.Key, caller string) quarantine.Verdict
	// Count returns the number of instances that crashed under requests with the keys.
	Count(keys []fingerprint.Key) int
	// ClaimTrial asks the platform's store for the grant to run one quarantined request as a
	// trial, which one daemon of all gets; false also when there is no answer before ctx ends.
	ClaimTrial(ctx context.Context, verdict quarantine.Verdict) bool
}

// heldBodies counts the bytes of bodies that are held while their requests are served. It is
// safe for concurrent use.
type heldBodies struct{ bytes atomic.Int64 }

// reserve takes room for so many bytes; it reports false where there is none.
func (h *heldBodies) reserve(count int64) bool {
	if h.bytes.Add(count) > maxHeldBodies {
		h.bytes.Add(-count)
		return false
	}
	return true
}

func (h *heldBodies) release(count int64) { h.bytes.Add(-count) }

// checkQuarantine refuses a request that is quarantined, unless it may run as a trial, and stores
// the keys of one under which instances crashed in call. done ends the hold of its body.
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
	call.keys = keysOf(line, call.body)
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
	return done, verdict.Refusal()
}

// keysOf returns the keys of a request: by its whole body, or by what is known of one that
// is too long to be held.
func keysOf(line fingerprint.Line, body *requestBody) []fingerprint.Key {
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

// holdBody reads a body whole where there is room for it.
func (g *Gateway) holdBody(body *requestBody, rc *app.RequestContext) (done func(), err error) {
	done = func() {}
	room := int64(maxHeldBody)
	if body.length >= 0 {
		room = body.length
	}
	if room > maxHeldBody || !g.heldBodies.reserve(room) {
		return done, nil
	}
	done = func() { g.heldBodies.release(room) }
	body.streamed.OnEOF(func() { body.trailers = trailersOf(rc, &g.config.Envelope) })
	content, err := io.ReadAll(io.LimitReader(body.streamed, room+1))
	if err != nil {
		return done, err
	}
	if int64(len(content)) > room {
		return done, result.Errorf(result.CallBodyTooLarge, "instances crashed under the path, and the body is longer than %d bytes", room)
	}
	body.content, body.streamed, body.held = content, nil, true
	return done, nil
}

// crashesUnder returns the number of instances known to have crashed under what the call asks
// for: as an error states it, or as this daemon knows of the call's keys.
func (a *attempter) crashesUnder(err error) int {
	crashes := 0
	if coded, ok := err.(*result.Error); ok {
		crashes = coded.Crashes
	}
	if len(a.keys) > 0 {
		crashes = max(crashes, a.gateway.config.Quarantine.Count(a.keys))
	}
	return crashes
}
