package client

import (
	"bufio"
	"io"
	"net"
	"slices"
	"sync"
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

// Guards against requests that count as lost because their own caller closed the connection: it gave up an
// answer that it read slower than it had planned. An answer of which nothing arrives any more is given up, and
// the forwarded requests behind it count.
func TestCallerReadsAnAnswerThatGoesOnArriving(t *testing.T) {
	for name, row := range map[string]struct {
		pause time.Duration
		lost  bool
	}{"slowly": {answerTimeoutSlack / 2, false}, "it stalls": {time.Minute, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				ledger := promise.NewLedger(promise.Bounds{LossSlack: 200 * time.Millisecond})
				conn := &persistentConn{
					load: &Load{Ledger: ledger, Tally: NewTally()}, conn: near, target: Target{Service: func() string { return "desk" }},
					inFlight: make(chan struct{}, 2), pending: make(chan *pipelinedRequest, 2),
				}
				class := Class{Name: "look", Path: "/look/a", Host: "h", Safe: true, Services: []string{"desk"}, Deadline: 3 * time.Second}
				for number := range cap(conn.pending) {
					time.Sleep(time.Duration(number) * class.Deadline)
					next := conn.prepare(class)
					next.sentAt.Store(time.Now().UnixNano())
					ledger.Ran(promise.Run{Request: next.id, Service: "desk", Caller: "desk", Timeout: time.Second})
					conn.inFlight <- struct{}{}
					conn.pending <- next
				}
				close(conn.pending)
				var answering sync.WaitGroup
				answering.Go(func() { answerInPieces(far, 2, row.pause) })
				stopped := false
				conn.receive(func() { stopped = true })
				assert.NilError(t, near.Close())
				answering.Wait()
				assert.Check(t, stopped == row.lost)
				lost := slices.ContainsFunc(ledger.Breaches(), func(breach promise.Breach) bool { return breach.Kind == promise.Lost })
				assert.Check(t, lost == row.lost, "%+v", ledger.Breaches())
			})
		})
	}
}

// answerInPieces sends answers of ten bytes, with a pause before each byte, until the caller has closed the
// connection.
func answerInPieces(conn net.Conn, answers int, pause time.Duration) {
	for range answers {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
		for piece := 0; piece < 10 && err == nil; piece++ {
			time.Sleep(pause)
			_, err = io.WriteString(conn, "x")
		}
	}
}
