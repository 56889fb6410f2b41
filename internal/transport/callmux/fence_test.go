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

// blockingOrigin is an Origin that blocks each call until its context ends. started is its reply to
// fences.
type blockingOrigin struct {
	started bool
	handled chan struct{}
}

func (f blockingOrigin) Fence(string) bool { return f.started }

func (f blockingOrigin) Handle(ctx context.Context, _ *callapi.Call) (*callapi.Answer, error) {
	f.handled <- struct{}{}
	<-ctx.Done()
	return nil, result.Errorf(result.CallCancelled, "the caller disconnected")
}

// A call whose connection was lost is reported as not run only if the same process of the peer fenced
// it before it started.
func TestLostCallIsNotRunOnlyIfFenced(t *testing.T) {
	for name, row := range map[string]struct {
		started, restarted bool
		code               result.Code
	}{
		"fenced before it started": {code: result.CallNotRunUnreachable},
		"had started":              {started: true, code: result.CallUnknownOutcome},
		"the peer has restarted":   {restarted: true, code: result.CallUnknownOutcome},
	} {
		t.Run(name, func(t *testing.T) {
			origin := blockingOrigin{started: row.started, handled: make(chan struct{}, 1)}
			client, address := serveOrigin(t, origin, &wire.Counters{})
			failed := make(chan error, 1)
			go func() {
				_, err := client.Handle(context.Background(), address, &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a1"}})
				failed <- err
			}()
			<-origin.handled
			lost, err := client.sessionTo(context.Background(), address)
			assert.NilError(t, err)
			if row.restarted {
				// The lost connection was to an earlier process of the peer.
				lost.incarnation++
			}
			lost.close(net.ErrClosed)
			assert.Assert(t, result.Is(<-failed, row.code))
		})
	}
}

// If nothing answers at the peer's address, a lost call ends with an unknown outcome after
// fenceTimeout.
func TestLostCallEndsWithinTheTimeOfAFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &Client{Network: unresponsiveNetwork{}, Maintained: true}
		lost := result.Errorf(result.CallUnknownOutcome, "the connection was lost")
		began := time.Now()
		err := client.fenceLost(t.Context(), "10.0.0.1:1", 1, "a1", lost)
		assert.Assert(t, err == error(lost))
		assert.Equal(t, time.Since(began), fenceTimeout)
	})
}

// A call that is cancelled during a fence ends immediately: this daemon may be about to exit and must
// answer the caller first.
func TestCutCallDoesNotWaitForAFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		session := newSession(wire.NewConn(near, nil), 1, Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Minute})
		go func() { _ = session.receive(nil) }()
		client := &Client{Maintained: true, peers: map[string]*peerLink{"peer": {session: session}}}
		ctx, cut := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := client.Handle(ctx, "peer", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a"}})
			ended <- err
		}()
		assert.NilError(t, wire.NewConn(far, nil).Receive(&lapisv1.CallFrame{}))
		assert.NilError(t, far.Close())
		time.Sleep(fenceTimeout / 2)
		began := time.Now()
		cut()
		assert.Assert(t, result.Is(<-ended, result.CallUnknownOutcome))
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
