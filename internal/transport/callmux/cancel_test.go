package callmux

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// clientOfUnreadPeer returns a client with a session to "peer", whose end far reads nothing by itself.
func clientOfUnreadPeer(t *testing.T) (client *Client, opened *session, far net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	timing := Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Minute}
	opened = newSession(wire.NewConn(near, nil), 1, timing)
	go func() { _ = opened.receive(nil) }()
	return &Client{Maintained: true, peers: map[string]*peerLink{"peer": {session: opened}}}, opened, far
}

// The failure: a stop ended with 12 requests read and unanswered, 0.3 s after their calls were cut.
// The order of events: another daemon stood still and read nothing; calls to it outlasted the stop
// limit and were cut; each told that daemon of its end before it returned, which waits for the
// write's time-out of a second; the process ended after 0.3 s. The evidence: seed 36 of
// TestFaultsBreakNoPromise, daemon.calls_cut calls=12 and then daemon.stopped open=12.
func TestEndOfACallDoesNotWaitForAPeerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, session, far := clientOfUnreadPeer(t)
		ctx, cut := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := client.Handle(ctx, "peer", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a"}})
			ended <- err
		}()
		// The peer reads the opening and nothing behind it.
		assert.NilError(t, wire.NewConn(far, nil).Receive(&lapisv1.CallFrame{}))
		synctest.Wait()
		began := time.Now()
		cut()
		assert.Assert(t, result.Is(<-ended, result.CallCancelled))
		assert.Equal(t, time.Since(began), time.Duration(0))
		session.close(net.ErrClosed)
	})
}

// The failure: a call whose opening could not be written, since the peer stood still with full buffers,
// was held up until the write was given up, past its own deadline and without another attempt.
func TestCallDoesNotWaitForItsOpening(t *testing.T) {
	for name, end := range map[string]func(session *session, cut context.CancelFunc){
		"the caller gives up": func(_ *session, cut context.CancelFunc) { cut() },
		"the peer stalls":     func(session *session, _ context.CancelFunc) { session.setStalled(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, session, far := clientOfUnreadPeer(t)
				ctx, cut := context.WithCancel(t.Context())
				defer cut()
				ended := make(chan error, 1)
				go func() {
					_, err := client.Handle(ctx, "peer", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a", Repeatable: true}})
					ended <- err
				}()
				synctest.Wait()
				began := time.Now()
				end(session, cut)
				assert.Assert(t, <-ended != nil)
				assert.Equal(t, time.Since(began), time.Duration(0))
				cut()

				// The peer hears of the call and of its end, in this order.
				peer := wire.NewConn(far, nil)
				opening, reset := &lapisv1.CallFrame{}, &lapisv1.CallFrame{}
				assert.NilError(t, peer.Receive(opening))
				assert.Equal(t, opening.GetOpen().GetAttemptId(), "a")
				assert.NilError(t, peer.Receive(reset))
				assert.Equal(t, reset.GetReset_().GetCode(), uint32(result.CallCancelled))
				session.close(net.ErrClosed)
			})
		})
	}
}
