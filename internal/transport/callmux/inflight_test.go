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

// A body of 60 kB was sent all at once: on a link of 5 Mbit/s it held up for 0.1 s
// whatever came behind it, nested calls of 50 ms among them.
func TestBodyLeavesRoomOnNarrowLinks(t *testing.T) {
	const bodyBytes = 60_000
	for name, row := range map[string]struct {
		sender, receiver float64
		stated           bool
		most             int
	}{
		"both narrow":                      {5, 5, true, 16 << 10},
		"narrow receiver":                  {1000, 5, true, 16 << 10},
		"narrow sender":                    {5, 1000, true, 16 << 10},
		"wide":                             {1000, 1000, true, bodyBytes},
		"rates not known":                  {0, 0, true, bodyBytes},
		"a receiver of an earlier release": {5, 0, false, bodyBytes},
		"very narrow keeps some a go":      {0.1, 5, true, 8 << 10},
		"ten Mbit/s carry twice as much":   {10, 10, true, 32 << 10},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				sender := newSession(wire.NewConn(near, nil), 1, Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Hour, LinkMegabits: row.sender})
				receiver := newSession(wire.NewConn(far, nil), 1, Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Hour, LinkMegabits: row.receiver})
				if row.stated {
					sender.boundInFlight(receiver.timing.InFlightBytes())
					receiver.boundInFlight(sender.timing.InFlightBytes())
				}
				outgoing, incoming := newStream(1, sender), newStream(1, receiver)
				incoming.allowance, incoming.lazyGrant = BufferedBodyBytes, true
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
				held := incoming.buffered
				incoming.mutex.Unlock()
				assert.Assert(t, held <= row.most, "%d bytes came unread", held)
				assert.Assert(t, held >= row.most/2, "only %d bytes came", held)

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

// endNoting records whether it was read to its end.
type endNoting struct {
	io.Reader
	ended atomic.Bool
}

func (e *endNoting) Read(buffer []byte) (int, error) {
	count, err := e.Reader.Read(buffer)
	if err == io.EOF {
		e.ended.Store(true)
	}
	return count, err
}

func (e *endNoting) Close() error { return nil }

// The instance is free for its next call before a narrow link has carried its answer.
func TestAnswerFreesItsInstanceBeforeItIsSent(t *testing.T) {
	for length, freed := range map[int64]bool{2000: true, 40_000: true, 300_000: false} {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			timing := Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Hour, LinkMegabits: 5}
			session := newSession(wire.NewConn(near, nil), 1, timing)
			session.boundInFlight(timing.InFlightBytes())
			answering := newStream(1, session)
			answering.credit, answering.granted = windowBytes, true
			body := &endNoting{Reader: bytes.NewReader(make([]byte, length))}
			answer := &callapi.Answer{
				Head: &lapisv1.CallHead{Status: 200, ContentLength: length}, Body: body,
				Trailers: func() []*lapisv1.HeaderField { return nil },
			}
			ctx, cancel := context.WithCancel(t.Context())
			go func() { _ = sendAnswer(ctx, session, answering, answer) }()
			time.Sleep(time.Second)
			assert.Equal(t, body.ended.Load(), freed, "%d bytes", length)
			cancel()
			session.close(net.ErrClosed)
			_ = far.Close()
			time.Sleep(time.Second)
		})
	}
}
