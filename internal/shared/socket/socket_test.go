package socket_test

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/shared/socket"
)

func TestUnacknowledgedBytesOfAPeerThatDoesNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	assert.Equal(t, socket.Unacknowledged(conn), 0)
	// More than the kernel buffers of both ends can hold.
	bytes := make([]byte, 64<<20)
	for written := 0; written == 0; {
		assert.NilError(t, conn.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
		written, err = conn.Write(bytes)
		assert.Assert(t, errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
	assert.Assert(t, socket.Unacknowledged(conn) > 0)
	assert.NilError(t, conn.Close())
	assert.Equal(t, socket.Unacknowledged(conn), 0)
}

func TestUnreadBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	far, err := listener.Accept()
	assert.NilError(t, err)
	assert.Equal(t, socket.Unread(far), 0)
	_, err = near.Write([]byte("abc"))
	assert.NilError(t, err)
	for range 1000 {
		if socket.Unread(far) == 3 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, socket.Unread(far), 3)
	assert.NilError(t, far.Close())
	assert.Equal(t, socket.Unread(far), 0)
}

func TestConnectionsThatWaitToBeAccepted(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener := socket.KeepAccepting(opened, logr.Discard())
	assert.Equal(t, socket.AcceptQueueLength(listener), 0)
	near, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	for range 1000 {
		if socket.AcceptQueueLength(listener) == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, socket.AcceptQueueLength(listener), 1)
	far, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = far.Close() }()
	assert.Equal(t, socket.AcceptQueueLength(listener), 0)
	assert.NilError(t, listener.Close())
	assert.Equal(t, socket.AcceptQueueLength(listener), 0)
}

func TestQueriesOfNonSocketsReturnZero(t *testing.T) {
	near, far := net.Pipe()
	assert.Equal(t, socket.Unacknowledged(near), 0)
	assert.Equal(t, socket.Unread(near), 0)
	assert.NilError(t, far.Close())
}

// All connections of a listener close when its context ends, including one that is not accepted yet.
func TestConnectionsCloseWithTheContext(t *testing.T) {
	opened, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, end := context.WithCancel(t.Context())
	listener, stop := socket.CloseWithContext(ctx, opened)
	defer stop()
	var callers []net.Conn
	for range 3 {
		caller, err := net.Dial("tcp", opened.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = caller.Close() }()
		assert.NilError(t, caller.SetDeadline(time.Now().Add(time.Minute)))
		callers = append(callers, caller)
	}
	kept, err := listener.Accept()
	assert.NilError(t, err)
	closed, err := listener.Accept()
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	end()
	for _, caller := range callers {
		_, err := caller.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
	_, err = kept.Write([]byte("a"))
	assert.Assert(t, errors.Is(err, net.ErrClosed))
	_, err = listener.Accept()
	assert.Assert(t, errors.Is(err, net.ErrClosed))
}
