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

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// The failure: a daemon of the emulator that was killed went on serving the connections that its
// callers kept, and answered 502, while the next daemon ran. No killed process does.
func TestKilledDaemonServesNobody(t *testing.T) {
	site, tally, stop := start(t)
	awaitServed(t, tally, 50)
	stop()
	machine := site.Machines[0]
	conn, err := net.Dial("tcp", machine.Caller())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(patience)))
	kept := bufio.NewReader(conn)
	request := fmt.Sprintf("GET /look/a HTTP/1.1\r\nHost: %s\r\n\r\n", day.StandardRoutes()[0].Host)
	_, err = io.WriteString(conn, request)
	assert.NilError(t, err)
	answer, err := http.ReadResponse(kept, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, answer.Body)
	assert.NilError(t, err)
	assert.Assert(t, !answer.Close)

	assert.NilError(t, machine.Kill(0))
	if _, err = io.WriteString(conn, request); err == nil {
		answer, err = http.ReadResponse(kept, nil)
	}
	assert.Assert(t, err != nil, "a killed daemon answered %v", answer)
}
