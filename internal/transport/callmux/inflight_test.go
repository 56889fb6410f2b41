package callmux

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// Guards against a long body that blocks a slow link: sent without a limit, a body of 60 kB occupies a
// link of 5 Mbit/s for 0.1 s and delays everything behind it, including nested calls of 50 ms.
func TestBodyLeavesRoomOnNarrowLinks(t *testing.T) {
	const bodyBytes = 60_000
	for name, row := range map[string]struct {
		sender, receiver float64
		sendsLimit       bool
		maxBytes         int
	}{
		"both slow":                        {5, 5, true, 16 << 10},
		"slow receiver":                    {1000, 5, true, 16 << 10},
		"slow sender":                      {5, 1000, true, 16 << 10},
		"fast":                             {1000, 1000, true, bodyBytes},
		"unknown rates":                    {0, 0, true, bodyBytes},
		"a receiver of an earlier release": {5, 0, false, bodyBytes},
		"very slow, minimum applies":       {0.1, 5, true, 8 << 10},
		"10 Mbit/s, twice as much":         {10, 10, true, 32 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				sender := newSession(wire.NewConn(near, nil), 1, Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Hour, LinkMegabits: row.sender})
				receiver := newSession(wire.NewConn(far, nil), 1, Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Hour, LinkMegabits: row.receiver})
				if row.sendsLimit {
					sender.boundInFlight(receiver.timing.InFlightBytes())
					receiver.boundInFlight(sender.timing.InFlightBytes())
				}
				outgoing, incoming := newStream(1, sender), newStream(1, receiver)
				incoming.receiveCredit, incoming.grantOnRead = MaxBufferedBodyBytes, true
				assert.NilError(t, sender.add(outgoing))
				assert.NilError(t, receiver.add(incoming))
				refuse := func(*lapisv1.CallFrame) error { return nil }
				go func() { _ = sender.receive(refuse) }()
				go func() { _ = receiver.receive(refuse) }()

				body := bytes.Repeat([]byte("lapis"), bodyBytes/5)
				go func() { _ = outgoing.sendBody(t.Context(), bytes.NewReader(body), nil) }()
				first := make([]byte, 1)
				_, err := incoming.Read(first)
				assert.NilError(t, err)
				time.Sleep(time.Minute)
				incoming.mutex.Lock()
				unread := incoming.buffered
				incoming.mutex.Unlock()
				assert.Assert(t, unread <= row.maxBytes, "%d unread bytes were received", unread)
				assert.Assert(t, unread >= row.maxBytes/2, "only %d unread bytes were received", unread)

				rest, err := io.ReadAll(incoming)
				assert.NilError(t, err)
				assert.Assert(t, bytes.Equal(append(first, rest...), body))
				sender.close(net.ErrClosed)
				receiver.close(net.ErrClosed)
				time.Sleep(time.Hour)
			})
		})
	}
}

// eofRecorder records whether it was read to its end.
type eofRecorder struct {
	io.Reader
	ended atomic.Bool
}

func (e *eofRecorder) Read(buffer []byte) (int, error) {
	count, err := e.Reader.Read(buffer)
	if err == io.EOF {
		e.ended.Store(true)
	}
	return count, err
}

func (e *eofRecorder) Close() error { return nil }

// An answer of up to MaxBufferedBodyBytes is read to its end, which frees the instance, before a slow
// link has carried it.
func TestAnswerFreesItsInstanceBeforeItIsSent(t *testing.T) {
	for length, readToEnd := range map[int64]bool{2000: true, 40_000: true, 300_000: false} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			timing := Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Hour, LinkMegabits: 5}
			session := newSession(wire.NewConn(near, nil), 1, timing)
			session.boundInFlight(timing.InFlightBytes())
			answering := newStream(1, session)
			answering.credit, answering.granted = windowBytes, true
			body := &eofRecorder{Reader: bytes.NewReader(make([]byte, length))}
			answer := &callapi.Answer{
				Head: &lapisv1.CallHead{Status: 200, ContentLength: length}, Body: body,
				Trailers: func() []*lapisv1.HeaderField { return nil },
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = sendAnswer(ctx, session, answering, answer) }()
			time.Sleep(time.Second)
			assert.Equal(t, body.ended.Load(), readToEnd, "%d bytes", length)
			cancel()
			session.close(net.ErrClosed)
			_ = far.Close()
			time.Sleep(time.Second)
		})
	}
}
