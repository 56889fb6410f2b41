package callmux

import (
	"context"
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Windows and sizes in bytes.
const (
	// BufferedBodyBytes is the largest body that a caller's daemon reads whole, so
	// that the call can be sent again. Chosen, not measured.
	BufferedBodyBytes = 64 << 10
	// openingBodyBytes is the largest body that is sent along with the opening frame,
	// before the call is admitted. A longer one of a refused call would fill the
	// links of just those daemons that have too much to do: with 64 KiB the share of worth on an
	// overloaded day with links of 10 Mbit/s fell to 0.11 within 14 s, with 4 KiB to 0.53.
	openingBodyBytes = 4 << 10
	// windowBytes is what one direction of a stream may have in flight. Chosen, not measured: not
	// below BufferedBodyBytes, which earlier releases send at once.
	windowBytes = 256 << 10
	// grantAfterBytes is the amount read after which more is granted. Chosen, not measured: half
	// of the window, so that a body flows on while the grant is under way.
	grantAfterBytes = windowBytes / 2
	// chunkBytes is the largest piece of a body in one frame. Chosen, not measured: far below
	// windowBytes, so that frames of other calls come between.
	chunkBytes = 16 << 10
)

// stream is one call on a session. Its methods may be called from several
// goroutines.
type stream struct {
	id      uint64
	session *session
	// head delivers the answer's head on the calling side.
	head chan *lapisv1.CallHead
	// done is closed when the stream was reset; failure then says why.
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
	// peer has not said that it read. The peer's first grant acknowledges nothing:
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
		head: make(chan *lapisv1.CallHead, 1), done: make(chan struct{}), changed: make(chan struct{}),
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

// addCredit adds what the peer granted.
func (s *stream) addCredit(bytes uint32) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	granted := int(min(bytes, windowBytes))
	s.credit += granted
	if s.granted {
		s.unacknowledged = max(s.unacknowledged-granted, 0)
	}
	s.granted = true
	s.notify()
}

// returnCredit returns what was taken of the credit and not sent.
func (s *stream) returnCredit(bytes int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.credit += bytes
	s.unacknowledged -= bytes
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

// take copies what is at hand, and returns the credit to grant and a channel to
// wait on when nothing is.
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

// grant returns the credit that is due; the caller holds mutex.
func (s *stream) grant() int {
	due := 0
	if s.lazyGrant && !s.ended {
		due = windowBytes
	}
	s.lazyGrant = false
	if s.consumed >= s.session.acknowledgeAfter() {
		due += s.consumed
		s.consumed = 0
	}
	s.allowance += due
	return due
}

// waitCredit waits until bytes may be sent and takes up to want of them.
func (s *stream) waitCredit(ctx context.Context, want int) (int, error) {
	for {
		s.mutex.Lock()
		if s.failure != nil {
			s.mutex.Unlock()
			return 0, s.failure
		}
		if taken := s.spare(want); taken > 0 {
			s.credit -= taken
			s.unacknowledged += taken
			s.mutex.Unlock()
			return taken, nil
		}
		wait := s.changed
		s.mutex.Unlock()
		select {
		case <-wait:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
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
