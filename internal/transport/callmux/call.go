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

// errSilent ends the wait for an answer whose daemon fell silent.
var errSilent = errors.New("no sign of life")

// Handle carries out one attempt at the daemon at address. An attempt whose connection is lost is
// fenced over a new one (fenceLost), and reported as not run only where that proves it. One whose
// daemon falls silent ends with a *callapi.Silence and goes on until ctx ends. Errors:
// CallNotRunUnreachable, CallUnknownOutcome, CallDeadline, CallCancelled, and what the peer answers
// (5xxx).
func (c *Client) Handle(ctx context.Context, address string, call *callapi.Call) (*callapi.Answer, error) {
	current, err := c.sessionTo(ctx, address)
	if err != nil {
		return nil, err
	}
	opened := newStream(current.nextID(), current)
	opened.allowance = windowBytes
	if err := current.add(opened); err != nil {
		return nil, result.Wrap(result.CallNotRunUnreachable, err, "the connection to %s closed", address)
	}
	bodyCtx, stopBody := context.WithCancel(ctx)
	sent := &sentCall{client: c, address: address, stream: opened, attempt: call.Open.GetAttemptId(), stopBody: stopBody}
	head, err := c.exchange(ctx, bodyCtx, opened, call)
	if errors.Is(err, errSilent) {
		return nil, result.Wrap(result.CallUnknownOutcome, sent.silence(ctx), "no answer yet")
	}
	return sent.finish(ctx, head, err)
}

// sentCall is a call whose opening was sent.
type sentCall struct {
	client  *Client
	address string
	stream  *stream
	// attempt is its id, and stopBody ends the sending of its body.
	attempt  string
	stopBody context.CancelFunc
}

// finish returns what became of the call: the answer of which the head came, or the error.
func (s *sentCall) finish(ctx context.Context, head *lapisv1.CallHead, err error) (*callapi.Answer, error) {
	current := s.stream.session
	if err != nil {
		s.stopBody()
		current.remove(s.stream.id)
		if current.isClosed() && callapi.OutcomeOf(err) == callapi.OutcomeUnknown {
			err = s.client.fenceLost(ctx, s.address, current.incarnation, s.attempt, err)
		}
		return nil, err
	}
	body := &answerStream{stream: s.stream, stop: s.stopBody}
	body.release = context.AfterFunc(ctx, func() { s.stream.fail(result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")) })
	return &callapi.Answer{Head: head, Body: body, Trailers: s.stream.endTrailers}, nil
}

// silence returns the call as one that may still be answered. Unless its answer is awaited, it is
// cancelled when ctx ends.
func (s *sentCall) silence(ctx context.Context) *callapi.Silence {
	release := context.AfterFunc(ctx, func() {
		s.stream.sendReset(result.Errorf(result.CallCancelled, "the answer is not wanted any more"))
		s.stopBody()
		s.stream.session.remove(s.stream.id)
	})
	return &callapi.Silence{Await: func(ctx context.Context) (*callapi.Answer, error) {
		if !release() {
			return nil, result.Errorf(result.CallCancelled, "the caller gave up")
		}
		head, err := awaitHead(ctx, s.stream, nil, nil)
		return s.finish(ctx, head, err)
	}}
}

// exchange opens the call, sends its body and waits for the answer's head.
func (c *Client) exchange(ctx, bodyCtx context.Context, opened *stream, call *callapi.Call) (*lapisv1.CallHead, error) {
	opening, err := encodeOpening(opened, call)
	if err != nil {
		return nil, result.Wrap(result.CallUnknownOutcome, err, "handing the call over")
	}
	// In the background: the peer may not read.
	go sendCall(bodyCtx, opened, call, opening)
	var stall <-chan struct{}
	if call.Open.GetRepeatable() {
		stall = opened.session.stall()
	}
	return awaitHead(ctx, opened, stall, call.StaysWithSilent)
}

// awaitHead waits for the head of the answer. When stall is closed the wait ends with errSilent,
// unless the call stays, which may be nil.
func awaitHead(ctx context.Context, opened *stream, stall <-chan struct{}, stays func() bool) (*lapisv1.CallHead, error) {
	for {
		select {
		case head := <-opened.head:
			return head, nil
		case <-opened.done:
			return nil, opened.cause()
		case <-stall:
			if stays == nil || !stays() {
				return nil, errSilent
			}
			stall = nil
		case <-ctx.Done():
			// In the background: the peer may not read, and the caller of a call that is cut at
			// the end of a stop has 300 ms to get its answer.
			go opened.sendReset(result.Errorf(result.CallCancelled, "the caller gave up"))
			return nil, result.Wrap(cancelCode(ctx), ctx.Err(), "waiting for the answer")
		}
	}
}

// cancelCode returns the code of a call whose context ended.
func cancelCode(ctx context.Context) result.Code {
	if ctx.Err() == context.DeadlineExceeded {
		return result.CallDeadline
	}
	return result.CallCancelled
}

// sentWithOpening reports whether a call's body is sent with its opening, before the call is
// admitted.
func sentWithOpening(call *callapi.Call) bool {
	return call.Buffered && call.Open.GetContentLength() <= openingBodyBytes
}

// encodeOpening returns the head of the call, and a body that is sent along, as they are sent. The call
// may be over and its parts reused before they are.
func encodeOpening(opened *stream, call *callapi.Call) ([]byte, error) {
	frames := []proto.Message{&lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Open{Open: call.Open}}}
	if call.Body != nil && sentWithOpening(call) {
		content, err := io.ReadAll(io.LimitReader(call.Body, openingBodyBytes))
		if err != nil {
			return nil, err
		}
		data := &lapisv1.CallData{Data: content, End: true}
		frames = append(frames, &lapisv1.CallFrame{Call: opened.id, Body: &lapisv1.CallFrame_Data{Data: data}})
	}
	return wire.Encode(frames...)
}

// sendCall sends the opening, and then the body that was not sent with it.
func sendCall(ctx context.Context, opened *stream, call *callapi.Call, opening []byte) {
	err := opened.session.sendEncoded(opening)
	close(opened.openingSent)
	if err == nil && call.Body != nil && !sentWithOpening(call) {
		sendRequestBody(ctx, opened, call)
	}
}

// sendReset tells the peer why the call is over, behind its opening: else the peer would drop it, and
// run the call afterwards.
func (s *stream) sendReset(cause error) {
	<-s.openingSent
	s.session.notify(resetOf(s.id, cause))
}

// sendRequestBody streams the caller's body. The other side grants the first credit when the back
// end starts to read it, so that a call that is refused has consumed nothing of the body.
func sendRequestBody(ctx context.Context, opened *stream, call *callapi.Call) {
	err := opened.sendBody(ctx, call.Body, call.Trailers)
	if err == nil || opened.cause() != nil || ctx.Err() != nil {
		return
	}
	cancelled := result.Wrap(result.CallCancelled, err, "the request body broke off")
	opened.session.notify(resetOf(opened.id, cancelled))
	opened.fail(cancelled)
}

// answerStream is the body of an answer.
type answerStream struct {
	stream *stream
	// stop ends the sending of the request body, release the watch over the call's context.
	stop    context.CancelFunc
	release func() bool
	// whole is true once the body was read to its end.
	whole bool
}

// Read implements io.Reader.
func (a *answerStream) Read(buffer []byte) (int, error) {
	count, err := a.stream.Read(buffer)
	if err == io.EOF {
		a.whole = true
	}
	return count, err
}

// Close ends the call; a call whose answer was not read to its end is
// cancelled at the other side.
func (a *answerStream) Close() error {
	a.release()
	a.stop()
	a.stream.session.remove(a.stream.id)
	if !a.whole && a.stream.cause() == nil {
		// In the background, as above.
		go a.stream.sendReset(result.Errorf(result.CallCancelled, "the answer is not wanted any more"))
	}
	return nil
}
