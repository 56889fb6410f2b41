package fleet

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
	accept "github.com/lapisvane/lapisvane/internal/transport/peer"
)

// Guards against an end of the process by a request that a daemon sends before the dialing side has
// recorded the link, as one does that starts while the directory does not answer.
func TestIntroductionIsAnsweredBeforeItsLinkIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		network := newMemoryNetwork()
		answers := make(chan *lapisv1.CallFrame, 1)
		server := &callmux.Server{Node: "starting", Origin: noInstances{}, Accepted: func(*lapisv1.Hello, callmux.Link) callmux.Control {
			return callmux.Control{Frame: func(frame *lapisv1.CallFrame) { answers <- frame }}
		}}
		listener, err := network.Listen("starting:1")
		assert.NilError(t, err)
		accepting := &accept.Server{Logger: logr.Discard(), Handlers: map[lapisv1.Hello_Purpose]accept.Handler{lapisv1.Hello_PURPOSE_CALLS: server.Serve}}
		var running sync.WaitGroup
		running.Go(func() { accepting.Serve(ctx, listener) })
		dialing := newTestFleet(1)
		dialing.fleetKnown.Store(true)
		known := newPeer("starting", time.Now())
		calls := &callmux.Client{Network: network, Maintained: true, Hello: helloOf(memberAt("dialing", "dialing:1"))}
		_, err = calls.Connect(ctx, "starting", "starting:1", func(link callmux.Link) callmux.Control {
			dialing.receiveOutbound(known, known.generation, link, introductionFrame(&lapisv1.Introduction{Wanted: true}))
			return callmux.Control{}
		})
		assert.NilError(t, err)
		assert.Assert(t, (<-answers).GetIntroduction().GetComplete())
		calls.Close()
		cancel()
		running.Wait()
	})
}
