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

// clientOfNonReadingPeer returns a client with a session to the address "peer". Nothing reads from far,
// the peer's end of the connection, unless the test does.
func clientOfNonReadingPeer(t *testing.T) (client *Client, opened *session, far net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	timing := Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Minute}
	opened = newSession(wire.NewConn(near, nil), 1, timing)
	go func() { _ = opened.receive(nil) }()
	return &Client{Maintained: true, peers: map[string]*peerLink{"peer": {session: opened}}}, opened, far
}

// Guards against requests that are read but never answered at the end of a stop. A frozen peer reads
// nothing, and calls to it are cut at the stop limit. If each call first writes its reset, it waits
// for the write timeout of 1 s, while the process ends 0.3 s after the cut. Seen with seed 36 of
// TestFaultsBreakNoPromise as daemon.calls_cut calls=12 followed by daemon.stopped open=12.
func TestEndOfACallDoesNotWaitForAPeerThatReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, session, far := clientOfNonReadingPeer(t)
		ctx, cut := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := client.Handle(ctx, "peer", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a"}})
			ended <- err
		}()
		// The peer reads the opening frame and nothing after it.
		assert.NilError(t, wire.NewConn(far, nil).Receive(&lapisv1.CallFrame{}))
		synctest.Wait()
		began := time.Now()
		cut()
		assert.Assert(t, result.Is(<-ended, result.CallCancelled))
		assert.Equal(t, time.Since(began), time.Duration(0))
		session.close(net.ErrClosed)
	})
}

// Guards against a call that blocks on the write of its opening frame. If the peer is frozen with
// full buffers, the call would wait for the write timeout, past its own deadline and without a retry.
func TestCallDoesNotWaitForItsOpening(t *testing.T) {
	for name, end := range map[string]func(session *session, cut context.CancelFunc){
		"the caller gives up": func(_ *session, cut context.CancelFunc) { cut() },
		"the peer stalls":     func(session *session, _ context.CancelFunc) { session.setStalled(true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, session, far := clientOfNonReadingPeer(t)
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

				// The peer receives the opening and the reset, in this order.
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
