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
	// Request holds the request and receives the answer. It is valid until the handler returns.
	Request *app.RequestContext
	// ArrivedAt is the time at which the request's head had been read. The deadline counts from it.
	ArrivedAt time.Time
	// Fault, if not nil, is the reason why the request cannot be served. The handler must answer
	// with its result code.
	Fault error
	// BufferedBody is the complete body if it is short. Its memory is reserved (reserveBody).
	BufferedBody []byte
	// Body streams a long or chunked body; nil if there is none.
	Body *Body

	conn *connection
	// references counts the users of Request: the answer, and the connection's reader while a long
	// body is read.
	references atomic.Int32

	// Everything below is protected by the connection's mutex.

	// done is true once the handler has returned.
	done bool
	// closesConnection is true for the last request of the connection, whose answer closes it.
	closesConnection bool
	// answerStarted is true once a streamed answer may have been started.
	answerStarted bool
	// sentAhead is true if the request counts towards Limits.PipelinedRequests.
	sentAhead bool
	// reservedBytes is the part of the connection's reservedBytes that belongs to this answer.
	reservedBytes int64
	// earlierWritten is closed when all earlier answers have been written; nil until a goroutine
	// waits for it.
	earlierWritten chan struct{}
}

// reserveBody provides memory for a body of the given length in BufferedBody. It returns false if there
// is none.
func (e *Exchange) reserveBody(length int64) bool {
	if !e.conn.server.config.InputMemory.Reserve(length) {
		return false
	}
	e.BufferedBody = make([]byte, length)
	return true
}

// releaseBody releases the memory of BufferedBody, if there is one.
func (e *Exchange) releaseBody() {
	if e.BufferedBody == nil {
		return
	}
	e.conn.server.config.InputMemory.Release(int64(len(e.BufferedBody)))
	e.BufferedBody = nil
}

// Local reports whether the caller is on this machine.
func (e *Exchange) Local() bool { return e.conn.caller.isLocal() }

// AwaitEarlierAnswers waits until all earlier answers of the connection have been written, so that
// none of them can close the connection any more. Errors: CallNotRunExpired if ctx ends first.
func (e *Exchange) AwaitEarlierAnswers(ctx context.Context) error {
	written := e.conn.earlierAnswersWritten(e)
	if written == nil {
		return nil
	}
	select {
	case <-written:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.CallNotRunExpired, ctx.Err(), "waiting for earlier answers of the same connection")
	}
}

// BeginAnswer prepares an answer that is streamed. It waits until all earlier answers are written and
// sets the Connection header field where needed. The answer's status and fields must be set before.
// Errors: CallCancelled.
func (e *Exchange) BeginAnswer(ctx context.Context) error {
	if err := e.AwaitEarlierAnswers(ctx); err != nil {
		return result.Wrap(result.CallCancelled, err, "waiting for earlier answers")
	}
	e.conn.mutex.Lock()
	// A streamed answer may be long, so that it closes the connection only if it was already decided,
	// for example because the request asked for it.
	e.answerStarted = true
	e.conn.mutex.Unlock()
	e.conn.setPersistence(e)
	return nil
}

// HasLaterRequests reports whether requests behind this one have been read or are being read.
func (e *Exchange) HasLaterRequests() bool { return e.conn.hasLaterRequests(e) }

// ReserveAnswerBytes reserves memory for an answer that is buffered until earlier answers are written.
// It returns false if a limit would be exceeded; the answer must then be streamed after BeginAnswer.
func (e *Exchange) ReserveAnswerBytes(bytes int64) bool { return e.conn.reserveAnswerBytes(e, bytes) }
