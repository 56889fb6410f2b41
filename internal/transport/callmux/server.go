package callmux

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// maxStreams bounds the calls at once on one connection. It is more than a daemon has in flight at
// one instance.
const maxStreams = 8192

// Origin runs the calls that a Server receives.
type Origin interface {
	callapi.Handler
	// Fence keeps an attempt from starting from now on and reports whether it had started.
	Fence(attempt string) (started bool)
}

// Server serves the calls of other daemons. It is safe for concurrent use once its fields are
// set.
type Server struct {
	Node        string
	Incarnation uint64
	Origin      Origin
	// Counters receive the traffic of calls.
	Counters *wire.Counters
	Timing   Timing
	// Accepted is called with each new session and returns its Control; it may be nil.
	Accepted func(hello *lapisv1.Hello, link Link) Control

	// delivery knows which answers are on their way.
	delivery delivery
}

// Undelivered returns the number of calls whose answer is not written whole, and of connections
// whose peer has not got all of an answer that was written in the last deliveryTime. The end of
// the process would take these answers away, though their instances are done with them: an answer
// of a narrow link goes out long after its slot is free.
func (s *Server) Undelivered() int { return s.delivery.undelivered(time.Now()) }

// Serve speaks the protocol on a greeted connection until it ends.
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

// accept starts a call that the peer opened, or answers its fence. An error ends the session.
func (s *Server) accept(ctx context.Context, session *session, frame *lapisv1.CallFrame) error {
	if fence := frame.GetFence(); fence != nil {
		answer := &lapisv1.CallFenced{
			AttemptId: fence.GetAttemptId(), Started: s.Origin.Fence(fence.GetAttemptId()), Incarnation: s.Incarnation,
		}
		// In the background, as the refusal below: the peer may not read, and this goroutine reads on.
		go session.notify(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Fenced{Fenced: answer}})
		return nil
	}
	if session.find(frame.GetCall()) != nil {
		return result.Errorf(result.ProtocolUnexpected, "call %d was opened twice", frame.GetCall())
	}
	if session.active() >= maxStreams {
		go session.notify(resetOf(frame.GetCall(), result.Errorf(result.CallNotRunOverloaded, "too many calls on one connection")))
		return nil
	}
	stream := newStream(frame.GetCall(), session)
	// Daemons of earlier releases send longer bodies along.
	stream.allowance = BufferedBodyBytes
	stream.credit = windowBytes
	stream.granted = true
	stream.lazyGrant = true
	if err := session.add(stream); err != nil {
		return err
	}
	s.delivery.begin()
	go s.run(ctx, session, stream, frame.GetOpen())
	return nil
}

// run carries out one call and sends its answer.
func (s *Server) run(ctx context.Context, session *session, stream *stream, open *lapisv1.CallOpen) {
	defer s.delivery.end(session)
	defer session.remove(stream.id)
	ctx, cancel := contextFor(ctx, open)
	defer cancel()
	go func() {
		select {
		case <-stream.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	call := &callapi.Call{Open: open}
	if open.GetContentLength() != 0 {
		call.Body = stream
		call.Trailers = stream.endTrailers
	}
	answer, err := s.Origin.Handle(ctx, call)
	if err == nil {
		defer func() { _ = answer.Body.Close() }() // It was read as far as it is wanted.
		err = sendAnswer(ctx, session, stream, answer)
	}
	if err != nil {
		session.notify(resetOf(stream.id, err))
	}
}

// contextFor bounds a call by the time that its caller has left.
func contextFor(ctx context.Context, open *lapisv1.CallOpen) (context.Context, context.CancelFunc) {
	if open.GetDeadlineMillis() == 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(open.GetDeadlineMillis())*time.Millisecond)
}

// sendAnswer sends the head and the body. A body of known length up to BufferedBodyBytes is read
// whole first, so that its instance is free for the next call however narrow the link; one of a
// single piece is sent in one write with its head.
func sendAnswer(ctx context.Context, session *session, stream *stream, answer *callapi.Answer) error {
	head := &lapisv1.CallFrame{Call: stream.id, Body: &lapisv1.CallFrame_Head{Head: answer.Head}}
	length := answer.Head.GetContentLength()
	if length < 0 || length > BufferedBodyBytes {
		if err := session.send(head); err != nil {
			return err
		}
		return stream.sendBody(ctx, answer.Body, answer.Trailers)
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return err
	}
	if len(body) > session.pieceBytes() {
		if err := session.send(head); err != nil {
			return err
		}
		return stream.sendBody(ctx, bytes.NewReader(body), answer.Trailers)
	}
	data := &lapisv1.CallData{Data: body, End: true, Trailers: answer.Trailers()}
	return session.send(head, &lapisv1.CallFrame{Call: stream.id, Body: &lapisv1.CallFrame_Data{Data: data}})
}
