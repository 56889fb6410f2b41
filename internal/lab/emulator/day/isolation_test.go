package day_test

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// A connection through an isolation carries data until it begins, and then neither side hears the other.
func TestIsolationIsSilent(t *testing.T) {
	isolation := day.NewIsolation()
	listener, err := isolation.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		assert.Check(t, err)
		accepted <- conn
	}()
	outside, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = outside.Close() }()
	inside := <-accepted
	buffer := make([]byte, 1)
	_, err = outside.Write([]byte("a"))
	assert.NilError(t, err)
	_, err = io.ReadFull(inside, buffer)
	assert.NilError(t, err)

	isolation.Begin()
	_, err = outside.Write([]byte("b"))
	assert.NilError(t, err)
	_, err = inside.Write([]byte("c"))
	assert.NilError(t, err)
	for _, conn := range []net.Conn{inside, outside} {
		assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
		_, err = conn.Read(buffer)
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	}
	assert.NilError(t, inside.Close())
	isolation.End()
	assert.NilError(t, outside.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = outside.Read(buffer)
	assert.Assert(t, err != nil)
}
