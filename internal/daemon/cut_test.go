package daemon

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/callapi"
	"github.com/lapisvane/lapisvane/internal/requestpath/gateway"
	"github.com/lapisvane/lapisvane/internal/requestpath/origin"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// greetingOnly is a network with one daemon, which greets and then reads nothing any more.
type greetingOnly struct{ wire.Network }

func (greetingOnly) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	peer := wire.NewConn(far, nil)
	go func() {
		greeted := peer.ReadPreface() == nil && peer.Receive(&lapisv1.ControlFrame{}) == nil
		if greeted {
			_ = peer.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: &lapisv1.Welcome{Node: "other", Incarnation: 1}}})
		}
	}()
	return near, nil
}

// A call that is being written to a daemon that stands still ends when it is cut, not when the write
// is given up: its caller must have an answer before the process ends.
func TestCutCallDoesNotWaitForItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &callmux.Client{
			Network: greetingOnly{}, Hello: &lapisv1.Hello{Purpose: lapisv1.Hello_PURPOSE_CALLS},
			Timing: callmux.Timing{KeepAlive: time.Hour, Silence: time.Hour, Write: time.Minute},
		}
		defer calls.Close()
		path := &requestPath{
			logger: logr.Discard(), calls: calls, origin: origin.New(origin.Config{Logger: logr.Discard()}),
			gateway: gateway.New(gateway.Config{Registry: prometheus.NewRegistry()}),
		}
		ctx, cut := context.WithCancel(t.Context())
		ended := make(chan time.Time, 1)
		go func() {
			_, err := calls.Handle(ctx, "other", &callapi.Call{Open: &lapisv1.CallOpen{AttemptId: "a"}})
			assert.Check(t, err != nil)
			ended <- time.Now()
		}()
		synctest.Wait()
		began := time.Now()
		cut()
		path.endCalls("the test's")
		assert.Assert(t, (<-ended).Sub(began) < cutAnswers)
	})
}
