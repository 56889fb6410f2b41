package soak_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/instance"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
	"github.com/lapisvane/lapisvane/platform"
)

// Guards against truncated answers of a stopping daemon. If the process ends 0.1 s after it has written
// its last answer, a caller on a slow link has read only a part of it, and the next bytes that the
// caller sends reach no process. The kernel then resets the connection and drops the rest of the answer,
// and the caller reads "connection reset by peer" within the body. A stop must therefore wait until
// callers have read their answers, not only until the daemon has written them.
func TestAnswersAreReadBeforeTheProcessEnds(t *testing.T) {
	const answerBytes = 400_000
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	site, err := day.Start(ctx, options(processes.launch, 1, 3), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	machine := site.Machines[0]
	running := processOf(t, machine)
	conn := dialSmallWindow(t, running.addresses.Caller)
	running.signal(syscall.SIGTERM)
	// With this delay the daemon writes the answer just before it could otherwise end.
	time.Sleep(1800 * time.Millisecond)
	_, err = io.WriteString(conn, pipelinedRequest(site, machine, "first", answerBytes))
	assert.NilError(t, err)
	reader := bufio.NewReaderSize(conn, 1<<10)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	time.Sleep(700 * time.Millisecond)
	_, err = io.WriteString(conn, pipelinedRequest(site, machine, "second", answerBytes))
	assert.NilError(t, err)
	time.Sleep(100 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err, "%d of %d bytes\n%s", len(body), answerBytes, running.output)
	assert.Equal(t, len(body), answerBytes)
	// The second request is answered as well, with a refusal if it arrived late.
	response, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	assert.Equal(t, running.exitStatus(t), "exit status 0")
}

// pipelinedRequest returns a request for an answer of answerBytes, and records it in the ledger.
func pipelinedRequest(site *day.Site, machine *day.Machine, id string, answerBytes int) string {
	site.Ledger.Sent(promise.Request{ID: id, Safe: true, Services: map[string]bool{"desk": true}, Caller: machine.Service, SentAt: time.Now()})
	return fmt.Sprintf("GET /look/a HTTP/1.1\r\nHost: shop.example\r\n%s: %s\r\n%s: 3000\r\n%s: %d\r\n\r\n",
		platform.HeaderRequestID, id, platform.HeaderDeadline, instance.HeaderAnswerBytes, answerBytes)
}

// dialSmallWindow opens a connection with a small receive buffer, so that the kernel accepts only a few
// bytes that the caller has not read.
func dialSmallWindow(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	conn, err := dialer.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}
