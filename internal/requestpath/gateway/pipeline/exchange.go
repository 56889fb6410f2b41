package pipeline

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Exchange is one request and its answer.
type Exchange struct {
	// Request holds the request and takes the answer. It is valid until the
	// handler returns.
	Request *app.RequestContext
	// Arrived is when the request's head had been read, from which its deadline counts.
	Arrived time.Time
	// Fault is why the request cannot be served; its number is the answer.
	Fault error
	// Content is a short body, read whole.
	Content []byte
	// Body is a long body, nil where there is none.
	Body *Body

	conn *connection
	// users counts who still needs Request: the answer, and the reader of a long body.
	users atomic.Int32

	// Everything below is protected by the connection's mutex.

	// done is true once the handler has returned.
	done bool
	// final is true for the last request of the connection, whose answer closes it.
	final bool
	// begun is true once the answer's head may have been written.
	begun bool
	// sentAhead is true for a request that counts in the quota of those sent ahead.
	sentAhead bool
	// bytes are those of the answer that count as held while it waits for earlier ones.
	bytes int64
	// isOldest is closed when all earlier answers have been written; nil until it is waited for.
	isOldest chan struct{}
}

// Local reports whether the caller is on this machine.
func (e *Exchange) Local() bool { return e.conn.caller.local() }

// AwaitEarlierAnswers waits until no earlier answer can close the connection any more, since all
// have been written. Errors: CallNotRunExpired when ctx ends before.
func (e *Exchange) AwaitEarlierAnswers(ctx context.Context) error {
	written := e.conn.earlierAnswers(e)
	if written == nil {
		return nil
	}
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.CallNotRunExpired, ctx.Err(), "waiting behind the answers of the same connection")
	}
}

// BeginAnswer awaits all earlier answers before one that is written piece by piece. The answer's
// status and fields must be set; "Connection: close" is added where needed. Errors: CallCancelled.
func (e *Exchange) BeginAnswer(ctx context.Context) error {
	if err := e.AwaitEarlierAnswers(ctx); err != nil {
		return result.Wrap(result.CallCancelled, err, "waiting for earlier answers")
	}
	e.conn.mutex.Lock()
	// It may be long: it closes the connection only where its request asked for that.
	e.begun = true
	e.conn.mutex.Unlock()
	e.conn.setPersistence(e)
	return nil
}

// HasBehind reports whether requests that were sent behind this one have been read.
func (e *Exchange) HasBehind() bool { return e.conn.hasBehind(e) }

// Hold counts the bytes of an answer that is read whole while it waits for earlier ones. It
// returns false beyond the limits: the answer must then be written in pieces after BeginAnswer.
func (e *Exchange) Hold(bytes int64) bool { return e.conn.hold(e, bytes) }
