package callmux

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// maxStreams is the maximum number of concurrent calls on one connection. It is above the number of
// calls that a daemon has in flight at one instance.
const maxStreams = 8192

// Origin runs the calls that a Server receives on the local instances.
type Origin interface {
	callapi.Handler
	// Fence prevents an attempt from starting and reports whether it had already started.
	Fence(attempt string) (started bool)
}

// Server serves calls from other daemons. It is safe for concurrent use once its fields are set.
type Server struct {
	Node        string
	Incarnation uint64
	Origin      Origin
	// Counters counts the bytes of connections for calls; it may be nil.
	Counters *wire.Counters
	Timing   Timing
	// Accepted is called for each new session and returns its Control; it may be nil.
	Accepted func(hello *lapisv1.Hello, link Link) Control

	// delivery tracks answers that are not delivered yet.
	delivery delivery
}

// Undelivered returns the number of calls whose answer is not completely written, plus the number of
// connections on which an answer written within deliveryTimeout is not acknowledged. These answers
// would be lost if the process ended. On a slow link an answer is sent long after its instance has
// finished and its slot is free.
func (s *Server) Undelivered() int { return s.delivery.undelivered(time.Now()) }

// Serve implements peer.Handler: it answers the greeting and serves calls until the connection ends.
func (s *Server) Serve(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	if s.Counters != nil {
		conn.UseCounters(s.Counters)
	}
	welcome := &lapisv1.Welcome{Node: s.Node, Incarnation: s.Incarnation, InFlightBytes: s.Timing.InFlightBytes()}
	if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: welcome}}); err != nil {
		return err
	}
	session := newSession(conn, 0, s.Timing)
	session.boundInFlight(hello.GetInFlightBytes())
	if s.Accepted != nil {
		session.control = s.Accepted(hello, Link{session})
	}
	s.delivery.add(session)
	defer s.delivery.remove(session)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go session.keepAlive()
	return session.receive(func(frame *lapisv1.CallFrame) error {
		return s.accept(ctx, session, frame)
	})
}

// accept starts a call opened by the peer or replies to a fence. An error ends the session.
func (s *Server) accept(ctx context.Context, session *session, frame *lapisv1.CallFrame) error {
	if fence := frame.GetFence(); fence != nil {
		answer := &lapisv1.CallFenced{
			AttemptId: fence.GetAttemptId(), Started: s.Origin.Fence(fence.GetAttemptId()), Incarnation: s.Incarnation,
		}
		// In the background, like the refusal below: the write blocks while the peer does not read,
		// and this goroutine must continue to read.
		go session.notify(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Fenced{Fenced: answer}})
		return nil
	}
	if session.find(frame.GetCall()) != nil {
		return result.Errorf(result.ProtocolUnexpected, "duplicate call id %d", frame.GetCall())
	}
	if session.active() >= maxStreams {
		go session.notify(resetOf(frame.GetCall(), result.Errorf(result.CallNotRunOverloaded, "too many calls on one connection")))
		return nil
	}
	stream := newStream(frame.GetCall(), session)
	// Earlier releases send bodies of up to MaxBufferedBodyBytes with the opening frame.
	stream.receiveCredit = MaxBufferedBodyBytes
	stream.credit = windowBytes
	stream.granted = true
	stream.grantOnRead = true
	if err := session.add(stream); err != nil {
		return err
	}
	s.delivery.begin()
	go s.run(ctx, session, stream, frame.GetOpen())
	return nil
}

// run executes one call and sends its answer or a reset.
func (s *Server) run(ctx context.Context, session *session, stream *stream, open *lapisv1.CallOpen) {
	defer s.delivery.end(session)
	defer session.end(stream)
	defer containment.Recover("serving a call", func(cause error) { session.notify(resetOf(stream.id, cause)) })
	ctx, cancel := withCallDeadline(ctx, open)
	defer cancel()
	go func() {
		select {
		case <-stream.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	call := &callapi.Call{Open: open, DeadlineRounding: deadlineUnit}
	if open.GetContentLength() != 0 {
		call.Body = stream
		call.Trailers = stream.endTrailers
	}
	answer, err := s.Origin.Handle(ctx, call)
	if err == nil {
		defer func() { _ = answer.Body.Close() }() // The body was read as far as needed.
		err = sendAnswer(ctx, session, stream, answer)
	}
	if err != nil {
		session.notify(resetOf(stream.id, err))
	}
}

// deadlineUnit is the unit of CallOpen.deadline_millis, which is rounded down.
const deadlineUnit = time.Millisecond

// withCallDeadline returns a context that ends once the call's deadline has expired at the daemon of its
// caller too, at most deadlineUnit and the opening's transit later: if it ended earlier, that daemon would
// answer 504 before the deadline.
func withCallDeadline(ctx context.Context, open *lapisv1.CallOpen) (context.Context, context.CancelFunc) {
	if open.GetDeadlineMillis() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, (time.Duration(open.GetDeadlineMillis())+1)*deadlineUnit)
}

// sendAnswer sends the head and the body of an answer. A body of known length up to
// MaxBufferedBodyBytes is read completely first, so that its instance is free for the next call
// before a slow link has carried the answer. A body that fits into one chunk is written together with
// the head.
func sendAnswer(ctx context.Context, session *session, stream *stream, answer *callapi.Answer) error {
	answer.Head.Headers = packFields(answer.Head.GetHeaders())
	head := &lapisv1.CallFrame{Call: stream.id, Body: &lapisv1.CallFrame_Head{Head: answer.Head}}
	length := answer.Head.GetContentLength()
	if length < 0 || length > MaxBufferedBodyBytes {
		if err := session.send(head); err != nil {
			return err
		}
		return stream.sendBody(ctx, answer.Body, answer.Trailers)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if len(body) > session.chunkBytes() {
		if err := session.send(head); err != nil {
			return err
		}
		return stream.sendBody(ctx, bytes.NewReader(body), answer.Trailers)
	}
	data := &lapisv1.CallData{Data: body, End: true, Trailers: packFields(answer.Trailers())}
	return session.send(head, &lapisv1.CallFrame{Call: stream.id, Body: &lapisv1.CallFrame_Data{Data: data}})
}
