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

// The failure: a daemon of the emulator that was killed went on serving the connections that its
// callers kept, and answered 502, while the next daemon ran. No killed process does.
func TestKilledDaemonServesNobody(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	stop()
	machine := site.Machines[0]
	addresses := machine.Daemon().Addresses()
	connections := map[string]*keptConnection{
		"callers":   keep(t, addresses.Caller, "GET", "/look/a", ""),
		"readiness": keep(t, addresses.Readiness, "GET", platform.PathReadiness, ""),
		"instances": keep(t, addresses.Instances, "PUT", platform.PathInstances+"i-kept", "{}"),
		"metrics":   keep(t, addresses.Metrics, "GET", "/metrics", ""),
	}
	for name, kept := range connections {
		_, err := kept.ask()
		assert.NilError(t, err, name)
	}
	assert.NilError(t, machine.Kill(0))
	for name, kept := range connections {
		status, err := kept.ask()
		assert.Check(t, err != nil, "%s: a killed daemon answered %d", name, status)
	}
}

// keptConnection sends the same request again and again.
type keptConnection struct {
	conn    net.Conn
	reader  *bufio.Reader
	request string
}

// keep opens a connection for a request.
func keep(t *testing.T, address, method, path, body string) *keptConnection {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	request := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", method, path, routes[0].Host, len(body), body)
	return &keptConnection{conn: conn, reader: bufio.NewReader(conn), request: request}
}

// ask returns the status of the answer, an error where there is none.
func (k *keptConnection) ask() (status int, err error) {
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
