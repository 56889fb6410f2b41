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

// Guards against a burst on a connection with the rest of an answer that an earlier burst gave up.
func TestBurstGivesUpWithinAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		sender := &burstSender{load: &Load{Ledger: promise.NewLedger(promise.Bounds{}), Tally: NewTally()}, idle: map[string][]*pipelinedConn{}}
		target := Target{Service: func() string { return "desk" }}
		class := Class{Name: "look", Path: "/look/a", Host: "h", Deadline: time.Second, AnswerBytes: 1000}
		go func() {
			_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nthe first part")
		}()
		assert.NilError(t, near.SetReadDeadline(time.Now().Add(class.Deadline)))
		conn := &pipelinedConn{Conn: near, reader: bufio.NewReader(near)}
		sender.receive(target, conn, "address", []*burstRequest{sender.prepare(class, target, "address")})
		assert.Equal(t, len(sender.idle["address"]), 0)
		_, err := near.Write([]byte("GET"))
		assert.ErrorIs(t, err, io.ErrClosedPipe)
		assert.NilError(t, far.Close())
	})
}
