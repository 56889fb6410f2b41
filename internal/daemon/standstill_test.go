package daemon

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// freezingNetwork is a network with one daemon, which freezes after it has read the first call, then
// answers that call and continues to read.
type freezingNetwork struct {
	wire.Network
	freezeTime time.Duration
	// firstRead is closed when the daemon has read the first call.
	firstRead chan struct{}
}

// Dial implements wire.Network. It fails after the first call was read.
func (s freezingNetwork) Dial(context.Context, string) (net.Conn, error) {
	select {
	case <-s.firstRead:
		return nil, net.ErrClosed
	default:
	}
	near, far := net.Pipe()
	go s.serve(wire.NewConn(far, nil))
	return near, nil
}

func (s freezingNetwork) serve(conn *wire.Conn) {
	welcome := &lapisv1.Welcome{Node: "other", Incarnation: 1}
	if conn.ReadPreface() != nil || conn.Receive(&lapisv1.ControlFrame{}) != nil ||
		conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: welcome}}) != nil {
		return
	}
	first := &lapisv1.CallFrame{}
	if conn.Receive(first) != nil {
		return
	}
	close(s.firstRead)
	time.Sleep(s.freezeTime)
	answers := []*lapisv1.CallFrame{
		{Call: first.GetCall(), Body: &lapisv1.CallFrame_Head{Head: &lapisv1.CallHead{Status: 200}}},
		{Call: first.GetCall(), Body: &lapisv1.CallFrame_Data{Data: &lapisv1.CallData{End: true}}},
	}
	for _, answer := range answers {
		if conn.Send(answer) != nil {
			return
		}
	}
	for conn.Receive(&lapisv1.CallFrame{}) == nil {
	}
}

// Guards against a call that is answered 502 although its daemon recovers within the silence timeout.
// That happens if the write timeout is too short: while the daemon is frozen, the blocked write of
// another call times out and closes the connection with all its calls.
func TestBlockedWriteLosesNoOtherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := freezingNetwork{freezeTime: 1400 * time.Millisecond, firstRead: make(chan struct{})}
		timing := platformPeerTiming
		// No heartbeats: one would block on a mutex, and synctest's clock does not advance meanwhile.
		timing.HeartbeatInterval = time.Hour
		calls := &callmux.Client{Network: network, Hello: &lapisv1.Hello{Purpose: lapisv1.Hello_PURPOSE_CALLS}, Timing: timing}
		defer calls.Close()
		first := make(chan error, 1)
		go func() {
			answer, err := calls.Handle(t.Context(), "other", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "first"}})
			if err == nil {
				err = answer.Body.Close()
			}
			first <- err
		}()
		<-network.firstRead
		go func() {
			// This call is never answered.
			_, _ = calls.Handle(t.Context(), "other", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "second"}})
		}()
		assert.NilError(t, <-first)
	})
}
