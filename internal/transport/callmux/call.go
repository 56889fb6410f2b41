package callmux

import (
	"context"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// errStalled is returned by awaitHead when the peer stalls before it sends the head of the answer.
var errStalled = errors.New("the peer has stalled")

// Handle sends one attempt of a call to the daemon at address and returns the answer. If the
// connection is lost, the attempt is fenced over a new connection (fenceLost) and reported as not
// run only if the fence proves it. If the peer stalls during a repeatable call, Handle returns an
// error that wraps a *callapi.SilentPeerError, and the attempt continues until ctx ends. Errors:
// CallNotRunUnreachable, CallUnknownOutcome, CallDeadline, CallCancelled, and the codes of the peer's
// resets (5xxx).
func (c *Client) Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error) {
	current, err := c.sessionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := newStream(current.nextID(), current)
	opened.receiveCredit = windowBytes
	if err := current.add(opened); err != nil {
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "the connection to %s was closed", address)
	}
	bodyCtx, stopBody := context.WithCancel(ctx)
	sent := &sentCall{client: c, address: address, stream: opened, attempt: call.Open.GetAttemptId(), stopBody: stopBody}
	head, err := c.exchange(ctx, bodyCtx, opened, call)
	if errors.Is(err, errStalled) {
		return nil, result.Wrap(result.CallUnknownOutcome, sent.silence(ctx), "no answer yet")
	}
	return sent.finish(ctx, head, err)
}

// sentCall is a call whose opening frame was handed to the session.
type sentCall struct {
	client  *Client
	address string
	stream  *stream
	// attempt is the attempt id. stopBody cancels the sending of the request body.
	attempt  string
	stopBody context.CancelFunc
}

// finish returns the answer with the given head, or the error after fencing a lost attempt.
func (s *sentCall) finish(ctx context.Context, head *lapisv1.CallHead, err error) (*callapi.Answer, error) {
	current := s.stream.session
	if err != nil {
		s.stopBody()
		current.end(s.stream)
		if current.isClosed() && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
			err = s.client.fenceLost(ctx, s.address, current.incarnation, s.attempt, err)
		}
		return nil, err
	}
	body := &answerStream{stream: s.stream, stop: s.stopBody}
	body.release = context.AfterFunc(ctx, func() { s.stream.fail(result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")) })
	return &callapi.Answer{Head: head, Body: body, Trailers: s.stream.endTrailers}, nil
}

// silence returns a handle to await the answer of a call whose peer has stalled. The call is
// cancelled when ctx ends, unless Await was called before.
func (s *sentCall) silence(ctx context.Context) *callapi.SilentPeerError {
	release := context.AfterFunc(ctx, func() {
		s.stream.sendReset(result.Errorf(result.CallCancelled, "the caller no longer wants the answer"))
		s.stopBody()
		s.stream.session.end(s.stream)
	})
	return &callapi.SilentPeerError{Await: func(ctx context.Context) (*callapi.Answer, error) {
		if !release() {
			return nil, result.Errorf(result.CallCancelled, "the caller gave up")
		}
		head, err := awaitHead(ctx, s.stream, nil, nil)
		return s.finish(ctx, head, err)
	}}
}

// exchange opens the call, sends its request body and waits for the head of the answer.
func (c *Client) exchange(ctx, bodyCtx context.Context, opened *stream, call *callapi.Call) (*lapisv1.CallHead, error) {
	opening, err := encodeOpening(opened, call)
	if err != nil {
		// Nothing was sent. Only what the caller chose can be unencodable, such as its request target.
		return nil, result.Wrap(result.CallBadRequest, err, "encoding the opening frame")
	}
	// In the background, since the write blocks while the peer does not read.
	go sendCall(bodyCtx, opened, call, opening)
	var stall <-chan struct{}
	if call.Open.GetRepeatable() {
		stall = opened.session.stall()
	}
	return awaitHead(ctx, opened, stall, call.KeepWaitingWhenSilent)
}

// awaitHead waits for the head of the answer. It returns errStalled when stall is closed, unless
// staysWithSilent is set and returns true.
func awaitHead(ctx context.Context, opened *stream, stall <-chan struct{}, staysWithSilent func() bool) (*lapisv1.CallHead, error) {
	for {
		select {
		case head := <-opened.head:
			return head, nil
		case <-opened.done:
			// The answer may have arrived before the stream ended, while this goroutine did not run.
			select {
			case head := <-opened.head:
				return head, nil
			default:
				return nil, opened.cause()
			}
		case <-stall:
			if staysWithSilent == nil || !staysWithSilent() {
				return nil, errStalled
			}
			stall = nil
		case <-ctx.Done():
			// In the background, since the write blocks while the peer does not read. The caller
			// of a call that is cut at the end of a stop must have its answer within 300 ms.
			go opened.sendReset(result.Errorf(result.CallCancelled, "the caller gave up"))
			return nil, result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")
		}
	}
}

// cancelCode returns the result code for a call whose context ended.
func cancelCode(ctx context.Context) result.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return result.CallDeadline
	}
	return result.CallCancelled
}

// sentWithOpening reports whether a call's body is sent together with the opening frame, before
// the peer has admitted the call.
func sentWithOpening(call *callapi.Call) bool {
	return call.Buffered && call.Open.GetContentLength() <= maxOpeningBodyBytes
}

// encodeOpening encodes the opening frame, and the body if it is sent with the opening. They are
// encoded up front because the call may end, and its buffers be reused, before they are written.
func encodeOpening(opened *stream, call *callapi.Call) ([]byte, error) {
	call.Open.Headers = packFields(call.Open.GetHeaders())
	frames := []proto.Message{&lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Open{Open: call.Open}}}
	if call.Body != nil && sentWithOpening(call) {
		content, err := io.ReadAll(io.LimitReader(call.Body, maxOpeningBodyBytes))
		if err != nil {
			return nil, err
		}
		data := &lapisv1.CallData{Data: content, End: true}
		frames = append(frames, &lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Data{Data: data}})
	}
	return wire.Encode(frames...)
}

// sendCall sends the encoded opening, then the body unless it was part of the opening.
func sendCall(ctx context.Context, opened *stream, call *callapi.Call, opening []byte) {
	err := opened.session.sendEncoded(opening)
	close(opened.openingSent)
	if err == nil && call.Body != nil && !sentWithOpening(call) {
		sendRequestBody(ctx, opened, call)
	}
}

// sendReset sends a reset with the cause to the peer, after the opening frame was written. A reset
// that arrives before the opening would be dropped, and the peer would run the call.
func (s *stream) sendReset(cause error) {
	<-s.openingSent
	s.session.notify(resetOf(s.id, cause))
}

// sendRequestBody streams the request body. The peer grants the first credit when the back end
// starts to read, so a refused call has consumed none of the body.
func sendRequestBody(ctx context.Context, opened *stream, call *callapi.Call) {
	err := opened.sendBody(ctx, call.Body, call.Trailers)
	if err == nil || opened.cause() != nil || ctx.Err() != nil || !opened.session.canWrite() {
		return
	}
	cancelled := result.Wrap(result.CallCancelled, err, "the request body ended early")
	opened.session.notify(resetOf(opened.id, cancelled))
	opened.fail(cancelled)
}

// answerStream is the body of an answer.
type answerStream struct {
	stream *stream
	// stop cancels the sending of the request body. release stops watching the call's context.
	stop    context.CancelFunc
	release func() bool
	// complete is true once the body was read to its end.
	complete bool
}

// Read implements io.Reader.
func (a *answerStream) Read(buffer []byte) (int, error) {
	count, err := a.stream.Read(buffer)
	if err == io.EOF {
		a.complete = true
	}
	return count, err
}

// Close ends the call. If the answer was not read to its end, the call is cancelled at the peer.
func (a *answerStream) Close() error {
	a.release()
	a.stop()
	unfinished := !a.complete && a.stream.cause() == nil
	a.stream.session.end(a.stream)
	if unfinished {
		// In the background, since the write blocks while the peer does not read.
		go a.stream.sendReset(result.Errorf(result.CallCancelled, "the caller no longer wants the answer"))
	}
	return nil
}
