package pipeline

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Exchange is one request and its answer.
type Exchange struct {
	// Request holds the request and takes the answer. It is valid until the
	// handler returns.
	Request *app.RequestContext
	// Arrived is when the request's head had been read. Times that a request may
	// take count from here, not from its turn to be answered.
	Arrived time.Time
	// Fault is why the request cannot be served; its number is the answer.
	Fault error
	// Content is a short body, read whole.
	Content []byte
	// Body is a long body, nil where there is none.
	Body *Body

	conn *connection

	// Everything below is protected by the connection's mutex.

	// done is true once the handler has returned.
	done bool
	// final is true for the last request of the connection that was passed on,
	// whose answer closes it.
	final bool
	// begun is true once the answer's head may have been written.
	begun bool
	// ahead is true for a request that counts as sent ahead.
	ahead bool
	// bytes are those of the answer that count as held before its turn.
	bytes int64
	// turn is closed when this is the oldest open request; nil until somebody
	// waits for that.
	turn chan struct{}
}

// Local reports whether the caller is on this machine.
func (e *Exchange) Local() bool { return e.conn.caller.local() }

// AwaitTurn returns when all answers ahead have been written, so that none of
// them can close the connection any more. Errors: CallNotRunExpired when ctx ends
// before.
func (e *Exchange) AwaitTurn(ctx context.Context) error {
	turn := e.conn.turnOf(e)
	if turn == nil {
		return nil
	}
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.CallNotRunExpired, ctx.Err(), "waiting behind the answers of the same connection")
	}
}

// BeginAnswer awaits the turn of an answer that is written piece by piece to the
// request's writer. The answer's status and fields must be set; the field that
// closes the connection is added where it has to be. Errors: CallCancelled.
func (e *Exchange) BeginAnswer(ctx context.Context) error {
	if err := e.AwaitTurn(ctx); err != nil {
		return result.Wrap(result.CallCancelled, err, "waiting for the answer's turn")
	}
	e.conn.begin(e)
	return nil
}

// Hold counts bytes of an answer that is to be at hand before its turn. It
// returns false where too much is at hand already; the answer must then wait for
// its turn in pieces.
func (e *Exchange) Hold(bytes int64) bool { return e.conn.hold(e, bytes) }
