package day_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/platform"
)

// Guards against a killed daemon of the emulator that continues to serve its persistent connections. It
// answered 502 while the next daemon was already running, which a killed process cannot do.
func TestKilledDaemonServesNobody(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	stop()
	machine := site.Machines[0]
	addresses := machine.Daemon().Addresses()
	connections := map[string]*persistentConn{
		"callers":   openPersistent(t, addresses.Caller, "GET", "/look/a", ""),
		"readiness": openPersistent(t, addresses.Readiness, "GET", platform.PathReadiness, ""),
		"instances": openPersistent(t, addresses.Instances, "PUT", platform.PathInstances+"i-kept", "{}"),
		"metrics":   openPersistent(t, addresses.Metrics, "GET", "/metrics", ""),
	}
	for name, connection := range connections {
		_, err := connection.send()
		assert.NilError(t, err, name)
	}
	assert.NilError(t, machine.Kill(0))
	for name, connection := range connections {
		status, err := connection.send()
		assert.Check(t, err != nil, "%s: a killed daemon answered %d", name, status)
	}
}

// persistentConn sends the same request repeatedly on one connection.
type persistentConn struct {
	conn    net.Conn
	reader  *bufio.Reader
	request string
}

// openPersistent opens a connection for a request.
func openPersistent(t *testing.T, address, method, path, body string) *persistentConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitTimeout)))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, routes[0].Host, len(body), body)
	return &persistentConn{conn: conn, reader: bufio.NewReader(conn), request: request}
}

// send sends the request and returns the status of the answer, or an error if there is no answer.
func (k *persistentConn) send() (status int, err error) {
	if _, err := io.WriteString(k.conn, k.request); err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
