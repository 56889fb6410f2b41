// Package wire carries the Protocol Buffers frames that daemons exchange over
// TCP or TLS. A connection starts with a fixed preface. Every frame is
// length-prefixed and limited in size, so that invalid input from a peer uses
// at most one bounded buffer.
//
// The package owns the buffers of a connection and counts its traffic; it starts no goroutines. It
// relies on a Network for connections, which tests replace.
//
// Invariants: the frames of one SendAll are not interleaved with others; a frame is at most
// MaxFrameBytes large, both compressed and decompressed.
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

// ProtocolVersion is the protocol version that Hello states.
const ProtocolVersion = 1

// MaxFrameBytes is the maximum size of one frame in either direction.
const MaxFrameBytes = 8 << 20

// preface is the first data on every connection, so that a peer with another protocol is detected
// before any frame is read.
var preface = []byte("LPSV1\n")

// Counters counts the bytes received and sent on a set of connections. It is safe for concurrent use;
// the zero value is ready to use.
type Counters struct{ BytesIn, BytesOut atomic.Int64 }

// Conn is a connection that carries frames. The send methods are safe for concurrent use, Receive is
// not.
type Conn struct {
	raw     net.Conn
	reader  *bufio.Reader
	counted *countingConn

	// writeMutex protects writer.
	writeMutex sync.Mutex
	writer     *bufio.Writer
	closeOnce  sync.Once
}

// bufferBytes is the size of the read buffer and of the write buffer of a connection. It is small
// since a daemon may hold hundreds of connections.
const bufferBytes = 4 << 10

// NewConn returns a Conn on top of raw. counters may be shared by several connections, or nil.
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

// UseCounters replaces the counters, once the greeting has stated the purpose of the connection. It
// must not be called concurrently with other methods.
func (c *Conn) UseCounters(counters *Counters) {
	c.counted.counters = counters
}

// WritePreface writes the preface to the send buffer. The dialing side calls it first.
func (c *Conn) WritePreface() error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if _, err := c.writer.Write(preface); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "writing the preface")
	}
	return nil
}

// ReadPreface reads and checks the preface. The accepting side calls it first. Errors:
// ProtocolBadVersion, ProtocolBadFrame.
func (c *Conn) ReadPreface() error {
	received := make([]byte, len(preface))
	if _, err := io.ReadFull(c.reader, received); err != nil {
		return result.Wrap(result.ProtocolBadFrame, err, "reading the preface")
	}
	if !bytes.Equal(received, preface) {
		return result.Errorf(result.ProtocolBadVersion, "the connection starts with %q, expected the preface", received)
	}
	return nil
}

// Send writes one frame and flushes it. Errors: those of SendAll.
func (c *Conn) Send(frame proto.Message) error {
	return c.SendAll(frame)
}

// SendAll writes several frames with one flush. Errors: ProtocolTimeout for every failure; the
// connection is unusable after an error.
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

// Encode encodes frames for SendEncoded, for senders whose frames may be modified before they are
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

// SendEncoded writes frames encoded by Encode. Errors: those of SendAll.
func (c *Conn) SendEncoded(encoded []byte) error {
	c.writeMutex.Lock()
	defer c.writeMutex.Unlock()
	if _, err := c.writer.Write(encoded); err != nil {
		return result.Wrap(result.ProtocolTimeout, err, "writing frames")
	}
	return result.Wrap(result.ProtocolTimeout, c.writer.Flush(), "flushing")
}

// Receive reads the next frame. It returns io.EOF unwrapped if the peer closed the connection between
// frames. Errors: ProtocolTooLarge, ProtocolBadFrame, ProtocolTimeout.
func (c *Conn) Receive(frame proto.Message) error {
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(c.reader, frame)
	if err == nil {
		return nil
	}
	return classify(err)
}

// classify wraps a read error with its result code. It is a separate function because the targets of
// errors.As escape to the heap, an allocation that the error-free path of Receive avoids.
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

// Unacknowledged returns the number of sent bytes that the peer's kernel has not acknowledged, or 0 if
// unknown.
func (c *Conn) Unacknowledged() int { return socket.Unacknowledged(c.raw) }

// RemoteAddr returns the peer's address.
func (c *Conn) RemoteAddr() net.Addr { return c.raw.RemoteAddr() }

// Close closes the connection; it may be called several times.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.raw.Close() })
	return err
}

// countingConn is a net.Conn that counts the bytes received and sent.
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
