package callmux

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// session is one connection that carries calls.
type session struct {
	conn    *wire.Conn
	timing  Timing
	control Control
	echoes  echoes
	// early receives the gain of each requested early heartbeat (Link.RequestHeartbeat).
	early chan time.Duration
	// incarnation identifies the process of the peer daemon.
	incarnation uint64
	// maxInFlight is the number of unacknowledged bytes that one body may have (inflight.go).
	maxInFlight int
	// welcome is the peer's greeting, nil on the accepting side.
	welcome *lapisv1.Welcome
	closed  chan struct{}

	// openedAt is the time at which the session was opened. receivedAfter is the time from openedAt to
	// the newest received frame, in nanoseconds. A relative time is immune to clock steps.
	openedAt      time.Time
	receivedAfter atomic.Int64

	// mutex protects everything below.
	mutex sync.Mutex
	// pingedAt is the time of the last unanswered ping, or zero if there is none. stalled is closed
	// when the answer is overdue (stall.go).
	pingedAt time.Time
	stalled  chan struct{}
	streams  map[uint64]*stream
	fences   map[string]chan *lapisv1.CallFenced
	// lastID is the correlation id of the newest call. err is the cause of the session's end, and writeErr
	// that of the end of its writes (writeFailed).
	lastID   uint64
	err      error
	writeErr error
}

func newSession(conn *wire.Conn, incarnation uint64, timing Timing) *session {
	return &session{
		conn: conn, timing: timing.orDefault(), incarnation: incarnation, closed: make(chan struct{}),
		streams: map[uint64]*stream{}, fences: map[string]chan *lapisv1.CallFenced{},
		stalled: make(chan struct{}), early: make(chan time.Duration, 1), maxInFlight: windowBytes,
		openedAt: time.Now(),
	}
}

// send writes frames contiguously. An error of the connection ends the session (writeFailed). Frames that cannot be
// encoded (ProtocolBadFrame) are not written at all, and the calls of other frames go on.
func (s *session) send(frames ...proto.Message) error {
	encoded, err := wire.Encode(frames...)
	if err != nil {
		return err
	}
	return s.sendEncoded(encoded)
}

// sendEncoded writes frames encoded by wire.Encode. An error ends the session (writeFailed).
func (s *session) sendEncoded(frames []byte) error {
	// This fails only on a closed connection, where the write fails as well.
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.timing.WriteTimeout))
	err := s.conn.SendEncoded(frames)
	if err != nil {
		s.writeFailed(err)
	}
	return err
}

// writeFailed ends the session after an error of a write. A peer that does not read is given up at once.
// One that has ended may have sent answers that are not read yet: no call is opened any more, and the
// goroutine that reads the session closes it behind them, or once nothing has arrived for Timing.SilenceTimeout.
func (s *session) writeFailed(cause error) {
	var network net.Error
	if errors.As(cause, &network) && network.Timeout() {
		s.close(cause)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeErr = cause
}

// canWrite reports whether no write of the session has failed.
func (s *session) canWrite() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writeErr == nil
}

// notify sends frames and ignores the error: one of the connection ends the session with all its
// streams, and the goroutine that reads the session reports it.
func (s *session) notify(frames ...proto.Message) { _ = s.send(frames...) }

// close ends the session and all its streams with cause. Later calls have no effect.
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
	_ = s.conn.Close() // There are no further writes, so the error carries no information.
	lost := result.Wrap(result.CallUnknownOutcome, cause, "the connection to the peer daemon was lost")
	for _, stream := range streams {
		stream.fail(lost)
	}
}

func (s *session) isClosed() bool { return isDone(s.closed) }

// add registers a stream under its id. It fails if the session is closed or cannot write.
func (s *session) add(stream *stream) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.err != nil {
		return s.err
	}
	if s.writeErr != nil {
		return s.writeErr
	}
	s.streams[stream.id] = stream
	return nil
}

func (s *session) nextID() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastID++
	return s.lastID
}

func (s *session) find(id uint64) *stream {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.streams[id]
}

// end ends a call's stream: later frames of it are dropped, and what still reads or writes its bodies
// gets an error. Without that, a body that has not come in would be awaited for good, because no frame
// and not even the end of the session reaches a stream that the session does not know.
func (s *session) end(ended *stream) {
	s.mutex.Lock()
	delete(s.streams, ended.id)
	s.mutex.Unlock()
	ended.fail(result.Errorf(result.CallCancelled, "the call has ended"))
}

func (s *session) active() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.streams)
}

// receive reads frames until the session ends. accept handles opening and fence frames; it is nil on
// the calling side.
func (s *session) receive(accept func(*lapisv1.CallFrame) error) error {
	for {
		// This fails only on a closed connection, where the read fails as well.
		_ = s.conn.SetReadDeadline(time.Now().Add(s.timing.SilenceTimeout))
		frame := &lapisv1.CallFrame{}
		err := s.conn.Receive(frame)
		if err == nil {
			s.noteReceived()
			unpackFields(frame)
			err = s.handle(frame, accept)
		}
		if err != nil {
			s.close(err)
			return err
		}
	}
}

// handle processes one received frame. An error ends the session.
func (s *session) handle(frame *lapisv1.CallFrame, accept func(*lapisv1.CallFrame) error) error {
	switch body := frame.GetBody().(type) {
	case nil:
		if frame.GetPing() {
			// In the background, so that a peer that does not read cannot block the reads of this
			// side.
			go func() { s.notify(s.heartbeat()) }()
		}
		s.receiveHeartbeat(frame)
		return nil
	case *lapisv1.CallFrame_Fenced:
		s.fenced(body.Fenced)
		return nil
	case *lapisv1.CallFrame_Announcement, *lapisv1.CallFrame_Introduction,
		*lapisv1.CallFrame_ConfigurationRequest, *lapisv1.CallFrame_Configuration, *lapisv1.CallFrame_DeflatedConfiguration,
		*lapisv1.CallFrame_Orders, *lapisv1.CallFrame_Suspects,
		*lapisv1.CallFrame_AllowanceAsk, *lapisv1.CallFrame_AllowanceGrant,
		*lapisv1.CallFrame_RolloutWord, *lapisv1.CallFrame_RolloutReport,
		*lapisv1.CallFrame_DeparturesRequest, *lapisv1.CallFrame_Departures:
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
		// A late frame of a call that has ended.
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

// noteReceived records the arrival time of the newest frame.
func (s *session) noteReceived() { s.receivedAfter.Store(int64(time.Since(s.openedAt))) }

// receivedAt returns the arrival time of the newest frame, or the time the session was opened.
func (s *session) receivedAt() time.Time {
	return s.openedAt.Add(time.Duration(s.receivedAfter.Load()))
}
