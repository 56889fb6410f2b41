package callmux

import (
	"context"
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/containment"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// stream is one call on a session. Its methods are safe for concurrent use.
type stream struct {
	id      uint64
	session *session
	// head receives the head of the answer on the calling side.
	head chan *lapisv1.CallHead
	// openingSent is closed on the calling side once the opening frame was written or its write
	// failed.
	openingSent chan struct{}
	// done is closed when the stream fails; failure is the cause.
	done chan struct{}

	// mutex protects the fields below. changed is closed and replaced on each change that a reader or
	// writer may wait for.
	mutex    sync.Mutex
	changed  chan struct{}
	inbound  [][]byte
	buffered int
	// receiveCredit is the number of bytes that the peer may still send. consumed is the number of
	// bytes read since the last grant.
	receiveCredit int
	consumed      int
	ended         bool
	trailers      []*lapisv1.HeaderField
	failure       error
	// credit is the number of bytes that this side may still send. unacknowledged is the number of
	// sent bytes that no grant of the peer has acknowledged. The first grant acknowledges nothing;
	// granted is true once it was received.
	credit         int
	unacknowledged int
	granted        bool
	// grantOnRead is true if the window is granted by the first read and that has not happened yet.
	grantOnRead bool
}

func newStream(id uint64, session *session) *stream {
	return &stream{
		id: id, session: session,
		head: make(chan *lapisv1.CallHead, 1), openingSent: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
	}
}

// notify wakes waiting readers and writers. The caller holds mutex.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail ends the stream with cause. Later calls have no effect.
func (s *stream) fail(cause error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failure != nil {
		return
	}
	s.failure = cause
	close(s.done)
	s.notify()
}

// cause returns the error that ended the stream, or nil if it has not failed.
func (s *stream) cause() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

// receive appends received body data. It returns ProtocolFlowControl if the peer exceeded its credit
// or sent data after the end.
func (s *stream) receive(data *lapisv1.CallData) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size := len(data.GetData())
	if size > s.receiveCredit || s.ended {
		return result.Errorf(result.ProtocolFlowControl, "received %d bytes with a credit of %d", size, s.receiveCredit)
	}
	s.receiveCredit -= size
	if size > 0 {
		s.inbound = append(s.inbound, data.GetData())
		s.buffered += size
	}
	if data.GetEnd() {
		s.ended = true
		s.trailers = data.GetTrailers()
	}
	s.notify()
	return nil
}

// Read reads the peer's body. It returns io.EOF only after the frame that ends the body, so a
// truncated body is never taken for a complete one.
func (s *stream) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	for {
		count, grant, wait, err := s.readBuffered(buffer)
		if grant > 0 {
			s.session.notify(&lapisv1.CallFrame{Call: s.id, Body: &lapisv1.CallFrame_Credit{Credit: &lapisv1.CallCredit{Bytes: uint32(grant)}}})
		}
		if wait == nil {
			return count, err
		}
		<-wait
	}
}

// readBuffered copies received data to buffer and returns the credit to grant. If no data is
// buffered and the body has not ended, wait is closed on the next change.
func (s *stream) readBuffered(buffer []byte) (count, grant int, wait <-chan struct{}, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.buffered > 0 {
		count = copy(buffer, s.inbound[0])
		s.inbound[0] = s.inbound[0][count:]
		if len(s.inbound[0]) == 0 {
			s.inbound = s.inbound[1:]
		}
		s.buffered -= count
		s.consumed += count
		return count, s.grant(), nil, nil
	}
	switch {
	case s.ended:
		return 0, 0, nil, io.EOF
	case s.failure != nil:
		return 0, 0, nil, s.failure
	default:
		return 0, s.grant(), s.changed, nil
	}
}

// sendBody sends a body in chunks as credit allows.
func (s *stream) sendBody(ctx context.Context, body io.Reader, trailers func() []*lapisv1.HeaderField) (err error) {
	defer containment.Recover("sending a body", func(cause error) { err = cause })
	buffer := make([]byte, s.session.chunkBytes())
	for {
		allowed, err := s.waitCredit(ctx, len(buffer))
		if err != nil {
			return err
		}
		count, err := body.Read(buffer[:allowed])
		s.returnCredit(allowed - count)
		if err != nil && err != io.EOF {
			return err
		}
		data := &lapisv1.CallData{Data: buffer[:count], End: err == io.EOF}
		if data.End && trailers != nil {
			data.Trailers = packFields(trailers())
		}
		if count > 0 || data.End {
			if sendErr := s.session.send(&lapisv1.CallFrame{Call: s.id, Body: &lapisv1.CallFrame_Data{Data: data}}); sendErr != nil {
				return sendErr
			}
		}
		if data.End {
			return nil
		}
	}
}

// endTrailers returns the trailers of the peer's body, which arrive with its last frame.
func (s *stream) endTrailers() []*lapisv1.HeaderField {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trailers
}
