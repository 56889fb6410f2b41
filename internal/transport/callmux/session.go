package callmux

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Timing bounds a session.
type Timing struct {
	// KeepAlive is the interval of empty frames, so that silence means loss.
	KeepAlive time.Duration
	// Silence is the time without any frame after which a session is taken as
	// lost.
	Silence time.Duration
	// Write bounds the sending of a frame.
	Write time.Duration
	// Local returns what the empty frames tell of this daemon; it may be nil.
	Local func() Heartbeat
	// LinkMegabits is the rate of the machine's link in Mbit/s, 0 where it is not
	// known.
	LinkMegabits float64
}

// DefaultTiming holds where nothing else is set.
var DefaultTiming = Timing{KeepAlive: 4 * time.Second, Silence: 12 * time.Second, Write: 10 * time.Second}

func (t Timing) orDefault() Timing {
	if t.KeepAlive == 0 {
		return DefaultTiming
	}
	return t
}

// session is one connection that carries calls.
type session struct {
	conn   *wire.Conn
	timing Timing
	// control receives what concerns the daemons themselves.
	control Control
	// echoes relate the empty frames of both sides.
	echoes echoes
	// beats asks for an empty frame ahead of its time, if the peer lacks a newer
	// revision or a confirmation that is newer by what is sent here.
	beats chan time.Duration
	// incarnation is that of the peer daemon.
	incarnation uint64
	// inFlight is what one body may have on its way, in bytes.
	inFlight int
	// welcome is the peer's greeting, nil on the accepting side.
	welcome *lapisv1.Welcome
	closed  chan struct{}

	// began is when the session was opened, and heard how long after that the
	// newest frame came, in nanoseconds, so that steps of the time of day do not
	// matter.
	began time.Time
	heard atomic.Int64

	// mutex protects everything below. asked is when the peer was asked for a
	// sign of life that has not come; stalled is closed when it took too long.
	mutex   sync.Mutex
	asked   time.Time
	stalled chan struct{}
	streams map[uint64]*stream
	fences  map[string]chan *lapisv1.CallFenced
	next    uint64
	err     error
}

func newSession(conn *wire.Conn, incarnation uint64, timing Timing) *session {
	opened := &session{
		conn: conn, timing: timing.orDefault(), incarnation: incarnation, closed: make(chan struct{}),
		streams: map[uint64]*stream{}, fences: map[string]chan *lapisv1.CallFenced{},
		stalled: make(chan struct{}), beats: make(chan time.Duration, 1), inFlight: windowBytes,
	}
	opened.began = time.Now()
	return opened
}

func (s *session) send(frames ...proto.Message) error {
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.timing.Write))
	err := s.conn.SendAll(frames...)
	if err != nil {
		s.close(err)
	}
	return err
}

// close ends the session and all its streams.
func (s *session) close(cause error) {
	s.mutex.Lock()
	if s.err != nil {
		s.mutex.Unlock()
		return
	}
	s.err = cause
	streams := s.streams
	s.streams = map[uint64]*stream{}
	s.mutex.Unlock()
	close(s.closed)
	_ = s.conn.Close()
	lost := result.Wrap(result.CallUnknownOutcome, cause, "the connection between the daemons was lost")
	for _, stream := range streams {
		stream.fail(lost)
	}
}

func (s *session) isClosed() bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

// add registers a stream of the given id; it fails when the session is closed.
func (s *session) add(stream *stream) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return s.err
	}
	s.streams[stream.id] = stream
	return nil
}

func (s *session) nextID() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next++
	return s.next
}

func (s *session) find(id uint64) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams[id]
}

func (s *session) remove(id uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.streams, id)
}

func (s *session) active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}

// receive reads frames until the session ends; accept handles opening and
// fence frames and may be nil.
func (s *session) receive(accept func(*lapisv1.CallFrame) error) error {
	for {
		_ = s.conn.SetReadDeadline(time.Now().Add(s.timing.Silence))
		frame := &lapisv1.CallFrame{}
		err := s.conn.Receive(frame)
		if err == nil {
			s.noteHeard()
			err = s.handle(frame, accept)
		}
		if err != nil {
			s.close(err)
			return err
		}
	}
}

func (s *session) handle(frame *lapisv1.CallFrame, accept func(*lapisv1.CallFrame) error) error {
	switch body := frame.GetBody().(type) {
	case nil:
		if frame.GetPing() {
			// In the background, so that a peer that does not read cannot keep
			// this side from reading.
			go func() { _ = s.send(s.alive()) }()
		}
		s.heardAlive(frame)
		return nil
	case *lapisv1.CallFrame_Fenced:
		s.fenced(body.Fenced)
		return nil
	case *lapisv1.CallFrame_Announcement, *lapisv1.CallFrame_Introduction,
		*lapisv1.CallFrame_ConfigurationRequest, *lapisv1.CallFrame_Configuration, *lapisv1.CallFrame_DeflatedConfiguration,
		*lapisv1.CallFrame_Orders, *lapisv1.CallFrame_Suspects:
		if s.control.Frame != nil {
			s.control.Frame(frame)
		}
		return nil
	case *lapisv1.CallFrame_Open, *lapisv1.CallFrame_Fence:
		if accept == nil {
			return result.Errorf(result.ProtocolUnexpected, "frame %T on the calling side", body)
		}
		return accept(frame)
	}
	stream := s.find(frame.GetCall())
	if stream == nil {
		// A late frame of a call that is over.
		return nil
	}
	switch body := frame.GetBody().(type) {
	case *lapisv1.CallFrame_Data:
		return stream.receive(body.Data)
	case *lapisv1.CallFrame_Credit:
		stream.addCredit(body.Credit.GetBytes())
	case *lapisv1.CallFrame_Reset_:
		stream.fail(errorOf(body.Reset_))
	case *lapisv1.CallFrame_Head:
		select {
		case stream.head <- body.Head:
		default:
			return result.Errorf(result.ProtocolUnexpected, "a second answer to call %d", frame.GetCall())
		}
	}
	return nil
}

func (s *session) fenced(answer *lapisv1.CallFenced) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if waiting, ok := s.fences[answer.GetAttemptId()]; ok {
		delete(s.fences, answer.GetAttemptId())
		waiting <- answer
	}
}

// fence asks the peer to make sure that an attempt does not start any more.
func (s *session) fence(ctx context.Context, attempt string) (*lapisv1.CallFenced, error) {
	waiting := make(chan *lapisv1.CallFenced, 1)
	s.mutex.Lock()
	s.fences[attempt] = waiting
	s.mutex.Unlock()
	if err := s.send(&lapisv1.CallFrame{Body: &lapisv1.CallFrame_Fence{Fence: &lapisv1.CallFence{AttemptId: attempt}}}); err != nil {
		return nil, err
	}
	select {
	case answer := <-waiting:
		return answer, nil
	case <-s.closed:
		return nil, result.Errorf(result.CallUnknownOutcome, "the connection was lost again")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// noteHeard notes that a frame came.
func (s *session) noteHeard() { s.heard.Store(int64(time.Since(s.began))) }

// errorOf converts a reset into an error.
func errorOf(reset *lapisv1.CallReset) error {
	code := result.Code(reset.GetCode())
	if code.NotRun() && !reset.GetNotRun() {
		code = result.CallUnknownOutcome
	}
	converted := result.Errorf(code, "%s", reset.GetReason())
	converted.RetryAfter = time.Duration(reset.GetRetryAfterMillis()) * time.Millisecond
	converted.Crashes = int(reset.GetCrashes())
	return converted
}

// resetOf converts an error into a reset.
func resetOf(id uint64, err error) *lapisv1.CallFrame {
	code, ok := result.CodeOf(err)
	if !ok {
		code = result.CallUnknownOutcome
	}
	reset := &lapisv1.CallReset{Code: uint32(code), Reason: err.Error(), NotRun: code.NotRun()}
	if coded, ok := err.(*result.Error); ok {
		reset.Reason = coded.Detail
		reset.RetryAfterMillis = uint32(coded.RetryAfter.Milliseconds())
		reset.Crashes = uint32(coded.Crashes)
	}
	return &lapisv1.CallFrame{Call: id, Body: &lapisv1.CallFrame_Reset_{Reset_: reset}}
}
