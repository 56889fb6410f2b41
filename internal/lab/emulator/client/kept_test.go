package client

import (
	"bufio"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/promise"
)

// Guards against a caller that goes on reading a connection after its timeout within an answer. It
// parsed the rest of that answer as the next one, so that a request was wrongly counted as lost.
func TestCallerGivesUpWithinAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		load := &Load{Ledger: promise.NewLedger(promise.Bounds{}), Tally: NewTally()}
		class := Class{Name: "look", Path: "/look/a", Host: "h", Safe: true, Deadline: time.Second, AnswerBytes: 1000}
		conn := &persistentConn{load: load, conn: near, target: Target{Service: func() string { return "desk" }}}
		go func() {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part")
		}()
		assert.NilError(t, near.SetReadDeadline(time.Now().Add(class.Deadline)))
		closeReason := conn.receiveOne(bufio.NewReader(near), conn.prepare(class))
		assert.Equal(t, closeReason, "the caller gave up within an answer")
		assert.NilError(t, far.Close())
	})
}
