// Package wire carries the Protocol Buffers frames that daemons exchange over
// TCP or TLS. A connection starts with a fixed preface; every frame is
// length-prefixed and bounded in size, so that a peer that sends garbage costs
// no more than one bounded buffer.
//
// The package owns the buffers of a connection and counts its traffic; it has no goroutines. It
// relies on Network for connections, which tests replace.
//
// What must hold: the frames of one SendAll are not mixed with others; a frame, compressed or not,
// holds at most MaxFrameBytes.
package wire

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

// ProtocolVersion is the version that Hello carries.
const ProtocolVersion = 1

// MaxFrameBytes bounds one frame in either direction.
const MaxFrameBytes = 8 << 20

// preface starts every connection, so that another protocol is recognised
// before any frame is read.
var preface = []byte("LPSV1\n")

// Counters counts the bytes of one daemon. It is safe for concurrent use; the zero value is ready.
type Counters struct{ BytesIn, BytesOut atomic.Int64 }

// Conn is a connection that carries frames. Send may be called from several
// goroutines, Receive from one.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	counted *countingConn

	// writeMutex protects writer.
	writeMutex sync.Mutex
	writer     *bufio.Writer
	closeOnce  sync.Once
}

// bufferBytes is the size of each of the two buffers of a connection. Small, since a daemon may
// hold hundreds of connections.
const bufferBytes = 4 << 10

// NewConn wraps raw; counters may be shared by all connections of a daemon, or nil.
func NewConn(raw net.Conn, counters *Counters) *Conn {
	if counters == nil {
		counters = &Counters{}
	}
	counted := &countingConn{Conn: raw, counters: counters}
	return &Conn{
		raw:     raw,
		counted: counted,
		reader:  bufio.NewReaderSize(counted, bufferBytes),
		writer:  bufio.NewWriterSize(counted, bufferBytes),
	}
}

// UseCounters replaces the counters, once the greeting has said what the connection carries. No
// other method may run at the same time.
func (c *Conn) UseCounters(counters *Counters) {
	c.counted.counters = counters
}

// WritePreface sends the fixed start of a connection; the dialer calls it.
func (c *Conn) WritePreface() error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if _, err := c.writer.Write(preface); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "writing the preface")
	}
	return nil
}

// ReadPreface checks the fixed start of a connection; the accepting side calls
// it. Errors: ProtocolBadVersion, ProtocolBadFrame.
func (c *Conn) ReadPreface() error {
	received := make([]byte, len(preface))
	if _, err := io.ReadFull(c.reader, received); err != nil {
		return result.Wrap(result.ProtocolBadFrame, err, "reading the preface")
	}
	if !bytes.Equal(received, preface) {
		return result.Errorf(result.ProtocolBadVersion, "the connection starts with %q", received)
	}
	return nil
}

// Send writes one frame and flushes it. Errors: those of SendAll.
func (c *Conn) Send(frame proto.Message) error {
	return c.SendAll(frame)
}

// SendAll writes several frames with one flush. Errors: ProtocolTimeout for every failure; the
// connection cannot be used any more then.
func (c *Conn) SendAll(frames ...proto.Message) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	for _, frame := range frames {
		if _, err := protodelim.MarshalTo(c.writer, frame); err != nil {
			return result.Wrap(result.ProtocolTimeout, err, "writing a frame")
		}
	}
	return result.Wrap(result.ProtocolTimeout, c.writer.Flush(), "flushing")
}

// Encode returns frames as SendEncoded sends them, for a sender whose frames change before they are
// written. Errors: ProtocolBadFrame.
func Encode(frames ...proto.Message) ([]byte, error) {
	var encoded []byte
	var err error
	for _, frame := range frames {
		encoded = protowire.AppendVarint(encoded, uint64(proto.Size(frame)))
		if encoded, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(encoded, frame); err != nil {
			return nil, result.Wrap(result.ProtocolBadFrame, err, "encoding a frame")
		}
	}
	return encoded, nil
}

// SendEncoded writes what Encode returned. Errors: those of SendAll.
func (c *Conn) SendEncoded(encoded []byte) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if _, err := c.writer.Write(encoded); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "writing frames")
	}
	return result.Wrap(result.ProtocolTimeout, c.writer.Flush(), "flushing")
}

// Receive reads the next frame. io.EOF is returned unwrapped when the peer
// closed between frames. Errors: ProtocolTooLarge, ProtocolBadFrame,
// ProtocolTimeout.
func (c *Conn) Receive(frame proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(c.reader, frame)
	if err == nil {
		return nil
	}
	return classify(err)
}

// classify gives an error of reading its result code. It is a function of its own because the targets
// of errors.As are allocated, which a frame without an error does not need.
func classify(err error) error {
	var tooLarge *protodelim.SizeTooLargeError
	var network net.Error
	switch {
	case errors.Is(err, io.EOF):
		return io.EOF
	case errors.As(err, &tooLarge):
		return result.Wrap(result.ProtocolTooLarge, err, "receiving a frame")
	case errors.As(err, &network) && network.Timeout():
		return result.Wrap(result.ProtocolTimeout, err, "receiving a frame")
	default:
		return result.Wrap(result.ProtocolBadFrame, err, "receiving a frame")
	}
}

// SetReadDeadline bounds the next Receive.
func (c *Conn) SetReadDeadline(deadline time.Time) error { return c.raw.SetReadDeadline(deadline) }

// SetWriteDeadline bounds the next Send.
func (c *Conn) SetWriteDeadline(deadline time.Time) error { return c.raw.SetWriteDeadline(deadline) }

// Unacknowledged returns the bytes sent that the peer's system has not acknowledged; 0 where that
// is not known.
func (c *Conn) Unacknowledged() int { return socket.Unacknowledged(c.raw) }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// Close closes the connection; it may be called several times.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.raw.Close() })
	return err
}

// countingConn counts the bytes that pass.
type countingConn struct {
	net.Conn
	counters *Counters
}

func (c *countingConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counters.BytesIn.Add(int64(count))
	return count, err
}

func (c *countingConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.counters.BytesOut.Add(int64(count))
	return count, err
}
