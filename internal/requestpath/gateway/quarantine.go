package gateway

import (
	"bytes"
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/model/fingerprint"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Bounds of what is read whole before it is judged.
const (
	// maxJudgedBody bounds one body, and maxJudgedBodies all of them together. Only
	// requests to a path under which instances ended are read so.
	maxJudgedBody   = 4 << 20
	maxJudgedBodies = 16 << 20
	// leaveTime bounds the question whether a request may be let through to see.
	leaveTime = 200 * time.Millisecond
)

// Suspicions tells what is known of requests under which instances ended. Its methods are
// safe for concurrent use.
type Suspicions interface {
	// Suspected reports whether instances ended under requests with the head of the line.
	Suspected(line fingerprint.Line) bool
	// Judge tells whether a request of a caller is held back.
	Judge(keys []fingerprint.Key, caller string) quarantine.Verdict
	// Count returns the number of instances that ended under requests with the keys.
	Count(keys []fingerprint.Key) int
	// MayTry asks for leave to let one request that is held back through, to see.
	MayTry(ctx context.Context, verdict quarantine.Verdict) bool
}

// judged are the bytes of bodies that are held to be judged.
type judged struct{ bytes atomic.Int64 }

// take reserves so many bytes; it reports false where there is no room.
func (j *judged) take(count int64) bool {
	if j.bytes.Add(count) > maxJudgedBodies {
		j.bytes.Add(-count)
		return false
	}
	return true
}

func (j *judged) free(count int64) { j.bytes.Add(-count) }

// judge refuses a request under which enough instances ended, and tells the attempter the
// names of one under which some did. done gives back what was held for that.
// Errors: CallNotRunQuarantined and those of reading the body.
func (g *Gateway) judge(ctx context.Context, rc *app.RequestContext, attempt *attempter) (done func(), err error) {
	done = func() {}
	suspicions := g.config.Suspicions
	line := fingerprint.LineOf(attempt.open)
	if suspicions == nil || !suspicions.Suspected(line) {
		return done, nil
	}
	if attempt.body.streamed != nil {
		if done, err = g.holdBody(attempt.body, rc); err != nil {
			return done, err
		}
	}
	attempt.keys = keysOf(line, attempt.body)
	verdict := suspicions.Judge(attempt.keys, attempt.open.GetCallerService())
	if !verdict.Quarantined {
		return done, nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTime)
	defer cancel()
	if verdict.TrialDue && suspicions.MayTry(ctx, verdict) {
		attempt.open.Trial = true
		return done, nil
	}
	return done, origin.Quarantined(verdict)
}

// keysOf returns the names of a request: by its whole body, or by what is known of one that
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
	room := int64(maxJudgedBody)
	if body.length >= 0 {
		room = body.length
	}
	if room > maxJudgedBody || !g.judged.take(room) {
		return done, nil
	}
	done = func() { g.judged.free(room) }
	body.streamed.AtEnd(func() { body.trailers = trailersOf(rc) })
	content, err := io.ReadAll(io.LimitReader(body.streamed, room+1))
	if err != nil {
		return done, err
	}
	if int64(len(content)) > room {
		return done, result.Errorf(result.CallBodyTooLarge, "instances ended under the path, and the body is longer than %d bytes", room)
	}
	body.content, body.streamed, body.held = content, nil, true
	return done, nil
}

// attachHeld gives a body that was held to an attempt.
func (b *requestBody) attachHeld(call *callapi.Call) {
	call.Body = bytes.NewReader(b.content)
	call.Trailers = func() []*lapisv1.HeaderField { return b.trailers }
}

// mayRepeat reports whether a call may be sent to another instance after err. Instances
// must not end one after the other because a daemon sends on what ended the one before.
func (a *attempter) mayRepeat(err error) bool {
	if !quarantine.MayRepeat(endedUnder(err)) {
		return false
	}
	return len(a.keys) == 0 || quarantine.MayRepeat(a.gateway.config.Suspicions.Count(a.keys))
}

// endedUnder returns the number of instances that an error says ended under the call.
func endedUnder(err error) int {
	if coded, ok := err.(*result.Error); ok {
		return coded.Crashes
	}
	return 0
}
