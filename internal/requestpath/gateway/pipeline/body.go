package pipeline

import (
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Body reads a caller's long body once. Its reader may outlive the request; once stopped, it no
// longer touches the connection.
type Body struct {
	conn *connection
	// released is closed when nobody reads the body any more.
	released chan struct{}

	// reading is held during a read of the connection.
	reading sync.Mutex
	stream  io.Reader
	// remaining is the number of bytes that belong to the body; the library's
	// reader does not stop there by itself.
	remaining int64

	// mutex protects everything below.
	mutex sync.Mutex
	// atEnd is called once, when the body has been read to its end and before the
	// request can be used for another one; nil for nothing.
	atEnd   func()
	started bool
	ended   bool
	stopped bool
}

// lengthUnknown stands for the remaining bytes of a body in chunks, whose length nobody states.
// What remains of it stays above chunkedLeast, and what remains of a stated length below.
const (
	lengthUnknown = int64(1) << 62
	chunkedLeast  = lengthUnknown / 2
)

func newBody(conn *connection, stream io.Reader, length int64) *Body {
	return &Body{conn: conn, stream: stream, remaining: length, released: make(chan struct{})}
}

// Read implements io.Reader. Errors: CallCancelled after the request's end.
func (b *Body) Read(buffer []byte) (int, error) {
	b.reading.Lock()
	defer b.reading.Unlock()
	if err := b.begin(); err != nil {
		return 0, err
	}
	if int64(len(buffer)) > b.remaining {
		buffer = buffer[:b.remaining]
	}
	count, err := b.stream.Read(buffer)
	// The library's release of its buffer always returns nil.
	_ = b.conn.conn.Release()
	b.remaining -= int64(count)
	switch {
	case b.remaining == 0 && err == nil:
		err = io.EOF
	case err == io.EOF && b.remaining > 0 && b.remaining < chunkedLeast:
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.conn.setBehind(b.conn.holdsBytes())
		b.finish()
	} else if err != nil && isDisconnect(err) {
		// Bytes that are no body are answered; only a caller that disconnected is not.
		b.conn.disconnect()
	}
	return count, err
}

// begin checks that a read may happen and bounds it. The bound is set under
// mutex, so that an interrupt by stop always comes after it.
func (b *Body) begin() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.started = true
	if b.stopped {
		return result.Errorf(result.CallCancelled, "the request is over")
	}
	if b.ended {
		return io.EOF
	}
	b.conn.caller.bound(b.conn.server.config.BodyIdle)
	return nil
}

// AtEnd sets a function that is called when the body has been read to its end, to copy what comes
// with the end, such as trailers: the request may be used for another one as soon as Read has
// returned. It must be set before the first Read.
func (b *Body) AtEnd(copyRest func()) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.atEnd = copyRest
}

// finish notes the end of the body.
func (b *Body) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	if b.stopped {
		return
	}
	if b.atEnd != nil {
		b.atEnd()
	}
	close(b.released)
}

// Touched reports whether a read was begun, so that the body cannot be sent again.
func (b *Body) Touched() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.started
}

// bodyRest is what becomes of the part of a body that nobody read.
type bodyRest int

const (
	// restNone: the body was read to its end.
	restNone bodyRest = iota
	// restDiscarded: the connection's reader discards it, and goes on behind it.
	restDiscarded
	// restLeft: it stays unread; the connection is sealed, since what comes next is no request.
	restLeft
)

// maxDiscardBytes bounds what is read and dropped of a body whose request is answered already, so
// that requests behind it are served; a caller with more to send is told to stop by the end of its
// connection. It is above the uploads of the sites that are known, 360 kB.
const maxDiscardBytes = 1 << 20

// stop ends the use of the body and returns what becomes of its rest.
func (b *Body) stop() bodyRest {
	b.mutex.Lock()
	if b.ended {
		b.mutex.Unlock()
		return restNone
	}
	b.stopped = true
	started := b.started
	b.mutex.Unlock()
	b.conn.caller.interrupt()
	b.reading.Lock()
	defer b.reading.Unlock()
	if b.hasEnded() {
		// Its end was read meanwhile.
		close(b.released)
		return restNone
	}
	// A read that is interrupted within a chunk cannot be resumed.
	chunked := b.remaining > chunkedLeast
	if chunked && started || !chunked && b.remaining > maxDiscardBytes {
		b.conn.seal()
		close(b.released)
		return restLeft
	}
	b.conn.setBehind(true)
	close(b.released)
	return restDiscarded
}

func (b *Body) hasEnded() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended
}

// discardRest reads and drops the rest of a stopped body. It reports whether the next request can
// be read behind it. Only the goroutine that reads the connection may call it.
func (b *Body) discardRest() bool {
	if b.hasEnded() {
		return true
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	buffer := make([]byte, discardBuffer)
	for left := int64(maxDiscardBytes); b.remaining > 0 && left > 0; {
		b.conn.caller.bound(b.conn.server.config.BodyIdle)
		count, err := b.stream.Read(buffer[:min(int64(len(buffer)), b.remaining)])
		// The library's release of its buffer always returns nil.
		_ = b.conn.conn.Release()
		b.remaining -= int64(count)
		left -= int64(count)
		switch {
		case err == io.EOF && b.remaining > chunkedLeast:
			return true
		case err != nil && isDisconnect(err):
			b.conn.disconnect()
			return false
		case err != nil:
			return false
		}
	}
	return b.remaining == 0
}

// discardBuffer is how much of a rest is read at once, in bytes.
const discardBuffer = 16 << 10
