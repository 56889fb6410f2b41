package callmux

import (
	"context"
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// stream is one call on a session. Its methods may be called from several
// goroutines.
type stream struct {
	id      uint64
	session *session
	// head delivers the answer's head on the calling side.
	head chan *lapisv1.CallHead
	// openingSent is closed on the calling side once the opening was written, or never will be.
	openingSent chan struct{}
	// done is closed when the stream failed, with failure as the cause.
	done chan struct{}

	// mutex protects everything below; changed is closed and replaced when
	// something changed that a reader or writer may wait for.
	mutex    sync.Mutex
	changed  chan struct{}
	inbound  [][]byte
	buffered int
	// allowance is what the peer may still send; consumed was read since the
	// last grant.
	allowance int
	consumed  int
	ended     bool
	trailers  []*lapisv1.HeaderField
	failure   error
	// credit is what this side may still send; unacknowledged is what it sent and the
	// peer has not acknowledged by a grant. The peer's first grant acknowledges nothing:
	// granted is true once it came.
	credit         int
	unacknowledged int
	granted        bool
	// lazyGrant is true until the first read grants the window.
	lazyGrant bool
}

func newStream(id uint64, session *session) *stream {
	return &stream{
		id: id, session: session,
		head: make(chan *lapisv1.CallHead, 1), openingSent: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
	}
}

// notify wakes waiting readers and writers; the caller holds mutex.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// fail ends the stream with cause; the first cause stands.
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

// cause returns why the stream ended, nil while it has not.
func (s *stream) cause() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}

// receive adds a piece of the body. It reports ProtocolFlowControl when the
// peer sent more than it may.
func (s *stream) receive(data *lapisv1.CallData) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	size := len(data.GetData())
	if size > s.allowance || s.ended {
		return result.Errorf(result.ProtocolFlowControl, "%d bytes with %d allowed", size, s.allowance)
	}
	s.allowance -= size
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

// Read reads the peer's body. It returns io.EOF only after the frame that ends
// the body, so a body that broke off is never taken as whole.
func (s *stream) Read(buffer []byte) (int, error) {
	if len(buffer) == 0 {
		return 0, nil
	}
	for {
		count, grant, wait, err := s.take(buffer)
		if grant > 0 {
			s.session.notify(&lapisv1.CallFrame{Call: s.id, Body: &lapisv1.CallFrame_Credit{Credit: &lapisv1.CallCredit{Bytes: uint32(grant)}}})
		}
		if wait == nil {
			return count, err
		}
		<-wait
	}
}

// take copies what was received, and returns the credit to grant and, when nothing was, a channel to
// wait on.
func (s *stream) take(buffer []byte) (count, grant int, wait <-chan struct{}, err error) {
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

// sendBody sends a body piece by piece as credit allows.
func (s *stream) sendBody(ctx context.Context, body io.Reader, trailers func() []*lapisv1.HeaderField) error {
	buffer := make([]byte, s.session.pieceBytes())
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
			data.Trailers = trailers()
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

// endTrailers returns the trailers that came with the end of the peer's body.
func (s *stream) endTrailers() []*lapisv1.HeaderField {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.trailers
}
