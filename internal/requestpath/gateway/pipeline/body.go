package pipeline

import (
	"io"
	"sync"

	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Body is a long or chunked request body on its connection. It can be read once, by the BodyReader that reads
// first. A read after the request has ended fails without accessing the connection.
type Body struct {
	conn *connection
	// released is closed when the body was read to its end or its use has ended (stop).
	released chan struct{}
	// watched is closed when the connection's reader no longer reads ahead, which it does until the first read.
	watched chan struct{}

	// readMutex is held during a read from the connection. It protects stream and remaining.
	readMutex sync.Mutex
	stream    io.Reader
	// remaining is the number of unread bytes of the body. The library's reader does not stop at the
	// end of a body of known length.
	remaining int64

	// mutex protects everything below. owner is the reader that reads the body, nil before the first
	// read. ended is true once the body was read to its end, and stopped once the request no longer uses the
	// body (stop).
	mutex   sync.Mutex
	owner   *BodyReader
	ended   bool
	stopped bool
}

// BodyReader reads a Body for one attempt at a call. An attempt may outlast the start of the next one. If both
// read from the body, each would get a part of it, or the later one nothing, and could not tell that from the
// end of the body. Therefore only the reader that reads first gets the body, and all others get an error.
type BodyReader struct {
	body *Body
	// onEOF, if not nil, is called once when the body has been read to its end.
	onEOF func()
	// withdrawn is true if the reader may no longer become the owner. It is protected by body.mutex.
	withdrawn bool
}

// NewReader returns a reader of the body. onEOF, if not nil, is called when the reader has read the body to
// its end. It copies data that is complete only then, such as trailers, because the request may be reused for
// another one as soon as Read has returned.
func (b *Body) NewReader(onEOF func()) *BodyReader { return &BodyReader{body: b, onEOF: onEOF} }

// Read implements io.Reader. Errors: CallCancelled after the request has ended, if another reader has the
// body or the reader was withdrawn, and those of reading the connection.
func (r *BodyReader) Read(buffer []byte) (int, error) {
	if err := r.body.claim(r); err != nil {
		return 0, err
	}
	return r.body.read(buffer)
}

// Withdraw makes the reader fail unless it has already read from the body, so that another one can have it.
func (r *BodyReader) Withdraw() {
	r.body.mutex.Lock()
	defer r.body.mutex.Unlock()
	r.withdrawn = true
}

// lengthUnknown is the initial number of remaining bytes of a chunked body, whose length is not known
// in advance. A chunked body always has more than minChunkedRemaining bytes remaining, a body of known
// length always has fewer.
const (
	lengthUnknown       = int64(1) << 62
	minChunkedRemaining = lengthUnknown / 2
)

func newBody(conn *connection, stream io.Reader, length int64) *Body {
	return &Body{conn: conn, stream: stream, remaining: length, released: make(chan struct{}), watched: make(chan struct{})}
}

// read reads the next part of the body for its owner.
func (b *Body) read(buffer []byte) (int, error) {
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	if err := b.begin(); err != nil {
		return 0, err
	}
	buffer = b.limitRead(buffer)
	count, err := b.stream.Read(buffer)
	// The library's release of its buffer always returns nil.
	_ = b.conn.conn.Release()
	b.remaining -= int64(count)
	switch {
	case b.remaining == 0 && err == nil:
		err = io.EOF
	case err == io.EOF && b.remaining > 0 && b.remaining < minChunkedRemaining:
		err = io.ErrUnexpectedEOF
	}
	if err == io.EOF {
		b.conn.setPendingInput(b.conn.hasBufferedInput())
		b.finish()
	} else if err != nil && isDisconnect(err) {
		// Malformed body data still gets an answer; a disconnect does not.
		b.conn.disconnect()
	}
	return count, err
}

// limitRead shortens the buffer of a read to the rest of the body, or for a chunked body to what the
// library's decoder may hold: it reads a piece of a chunk as a whole before it returns it.
func (b *Body) limitRead(buffer []byte) []byte {
	if b.remaining > minChunkedRemaining {
		return buffer[:b.conn.conn.Room(len(buffer))]
	}
	return buffer[:min(int64(len(buffer)), b.remaining)]
}

// claim makes reader the owner of the body unless there is another one, and takes the input over from the
// connection's reader, which reads ahead until then. Errors: CallCancelled.
func (b *Body) claim(reader *BodyReader) error {
	b.mutex.Lock()
	isFirst := b.owner == nil && !reader.withdrawn && !b.stopped
	if isFirst {
		b.owner = reader
	}
	isOwner := b.owner == reader
	b.mutex.Unlock()
	if isFirst {
		b.conn.wake()
		<-b.watched
	}
	if !isOwner {
		return result.Errorf(result.CallCancelled, "the body belongs to another attempt, or the request has ended")
	}
	return nil
}

// isClaimed reports whether a reader has the body or the body is no longer used.
func (b *Body) isClaimed() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.owner != nil || b.stopped
}

// begin checks that a read is allowed and sets its timeout. The timeout is set under mutex, so that
// it cannot override the interrupt of a later stop.
func (b *Body) begin() error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.stopped {
		return result.Errorf(result.CallCancelled, "the request has ended")
	}
	if b.ended {
		return io.EOF
	}
	b.conn.caller.setReadTimeout(b.conn.server.config.BodyIdleTimeout)
	return nil
}

// finish records that the body was read to its end.
func (b *Body) finish() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.ended = true
	if b.stopped {
		return
	}
	if b.owner.onEOF != nil {
		b.owner.onEOF()
	}
	close(b.released)
}

// ReadStarted reports whether a reader has the body. The body cannot be sent by another attempt after that.
func (b *Body) ReadStarted() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.owner != nil
}

// unreadBody describes the treatment of the unread part of a body.
type unreadBody int

const (
	// unreadNone: the body was read to its end.
	unreadNone unreadBody = iota
	// unreadDiscarded: the connection's reader discards the unread part and then reads the next
	// request.
	unreadDiscarded
	// unreadLeft: the unread part stays on the connection, which is sealed because the next input is
	// not a request.
	unreadLeft
)

// maxDiscardBytes is the maximum number of bytes that are discarded of a body whose request is
// already answered, so that requests behind it are served, and behind the last answer of a connection.
// With more bytes left, the connection is closed, so that the caller stops sending. The limit exceeds
// the largest known uploads, 360 kB.
const maxDiscardBytes = 1 << 20

// stop ends the use of the body and returns how its unread part is treated.
func (b *Body) stop() unreadBody {
	b.mutex.Lock()
	if b.ended {
		b.mutex.Unlock()
		return unreadNone
	}
	b.stopped = true
	started := b.owner != nil
	b.mutex.Unlock()
	// Ends the reading ahead, or a read in progress.
	b.conn.wake()
	b.conn.caller.interruptRead()
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	if b.hasEnded() {
		// A concurrent Read reached the end of the body.
		close(b.released)
		return unreadNone
	}
	// An interrupted read of a chunked body cannot be resumed.
	chunked := b.remaining > minChunkedRemaining
	if chunked && started || !chunked && b.remaining > maxDiscardBytes {
		b.conn.seal()
		close(b.released)
		return unreadLeft
	}
	b.conn.setPendingInput(true)
	close(b.released)
	return unreadDiscarded
}

func (b *Body) hasEnded() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ended
}

// discardUnread reads and discards the unread part of a stopped body. It reports whether the next
// request can be read behind it. Only the goroutine that reads the connection may call it.
func (b *Body) discardUnread() bool {
	if b.hasEnded() {
		return true
	}
	b.readMutex.Lock()
	defer b.readMutex.Unlock()
	for left := int64(maxDiscardBytes); b.remaining > 0 && left > 0; {
		b.conn.caller.setReadTimeout(b.conn.server.config.BodyIdleTimeout)
		count, err := b.discardOnce()
		b.remaining -= count
		left -= count
		switch {
		case err == io.EOF && b.remaining > minChunkedRemaining:
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

// discardOnce reads and discards some bytes of the body and returns their number.
func (b *Body) discardOnce() (int64, error) {
	if b.remaining < minChunkedRemaining {
		return b.conn.conn.SkipInput(b.remaining)
	}
	// The decoder of chunks needs a buffer to read into.
	var buffer [discardBufferBytes]byte
	count, err := b.stream.Read(b.limitRead(buffer[:]))
	// The library's release of its buffer always returns nil.
	_ = b.conn.conn.Release()
	return int64(count), err
}

// discardBufferBytes is the size of the buffer into which discarded input is read, in bytes. Many
// connections may wait for input to discard at the same time.
const discardBufferBytes = 512
