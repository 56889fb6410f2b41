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

// nonReadingNetwork is a network with one daemon, which answers the greeting and reads nothing after it.
type nonReadingNetwork struct{ wire.Network }

func (nonReadingNetwork) Dial(context.Context, string) (net.Conn, error) {
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

// A call whose write blocks on a frozen daemon ends when it is cut, not when the write times out, so
// that its caller is answered before the process ends.
func TestCutCallDoesNotWaitForItsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := &callmux.Client{
			Network: nonReadingNetwork{}, Hello: &lapisv1.Hello{Purpose: lapisv1.Hello_PURPOSE_CALLS},
			Timing: callmux.Timing{HeartbeatInterval: time.Hour, SilenceTimeout: time.Hour, WriteTimeout: time.Minute},
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
		path.endCalls("test")
		assert.Assert(t, (<-ended).Sub(began) < cutAnswerTimeout)
	})
}
