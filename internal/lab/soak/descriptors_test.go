package soak_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against a daemon that stops accepting after it ran out of file descriptors: it must accept
// callers again as soon as descriptors are free.
func TestDaemonTakesCallersAfterItRanOutOfDescriptors(t *testing.T) {
	const limit = 80
	processes := newLauncher(t)
	running := launchSingle(t, processes)
	awaitListening(t, running.addresses.Caller)
	assert.NilError(t, unix.Prlimit(running.command.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: limit}, nil))
	var connections []net.Conn
	for range 2 * limit {
		conn, err := net.Dial("tcp", running.addresses.Caller)
		assert.NilError(t, err)
		connections = append(connections, conn)
	}
	time.Sleep(200 * time.Millisecond)
	for _, conn := range connections {
		assert.NilError(t, conn.Close())
	}
	conn, err := net.Dial("tcp", running.addresses.Caller)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout/4)))
	_, err = io.WriteString(conn, "GET /nowhere HTTP/1.1\r\nHost: shop.example\r\n\r\n")
	assert.NilError(t, err)
	answer := make([]byte, 1<<10)
	count, err := conn.Read(answer)
	assert.NilError(t, err, "%s", running.output)
	assert.Assert(t, strings.HasPrefix(string(answer[:count]), "HTTP/1.1 404"), "%s", answer[:count])
	running.signal(syscall.SIGTERM)
	assert.Equal(t, running.exitStatus(t), "exit status 0")
}
