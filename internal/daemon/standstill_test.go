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

// standstill is a network with one daemon, which stands still for a while after it has read the first
// call, answers that one then, and reads on.
type standstill struct {
	wire.Network
	lasting time.Duration
	// reads is closed when it has read the first call.
	reads chan struct{}
}

// Dial implements wire.Network; it connects once.
func (s standstill) Dial(context.Context, string) (net.Conn, error) {
	select {
	case <-s.reads:
		return nil, net.ErrClosed
	default:
	}
	near, far := net.Pipe()
	go s.serve(wire.NewConn(far, nil))
	return near, nil
}

func (s standstill) serve(conn *wire.Conn) {
	welcome := &lapisv1.Welcome{Node: "other", Incarnation: 1}
	if conn.ReadPreface() != nil || conn.Receive(&lapisv1.ControlFrame{}) != nil ||
		conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: welcome}}) != nil {
		return
	}
	first := &lapisv1.CallFrame{}
	if conn.Receive(first) != nil {
		return
	}
	close(s.reads)
	time.Sleep(s.lasting)
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

// The failure: a call was answered 502 although its instance worked on it and its daemon was back within
// the time after which a silent one counts as lost: another call could not be written to that daemon for
// a second, which ended the connection with all its calls.
func TestBlockedWriteLosesNoOtherCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := standstill{lasting: 1400 * time.Millisecond, reads: make(chan struct{})}
		timing := platformPeerTiming
		// A heartbeat would wait for a mutex, in which virtual time stands still.
		timing.KeepAlive = time.Hour
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
		<-network.reads
		go func() {
			// It is not answered.
			_, _ = calls.Handle(t.Context(), "other", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "second"}})
		}()
		assert.NilError(t, <-first)
	})
}
