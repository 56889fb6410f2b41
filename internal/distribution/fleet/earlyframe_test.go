package fleet

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
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

// Guards against an announcement that cannot be encoded, and is missing at other daemons without a trace.
func TestFrameThatCannotBeEncodedIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := newMemoryNetwork()
		server := &callmux.Server{Node: "other", Origin: noInstances{}}
		listener, err := network.Listen("other:1")
		assert.NilError(t, err)
		accepting := &accept.Server{Logger: logr.Discard(), Handlers: map[lapisv1.Hello_Purpose]accept.Handler{lapisv1.Hello_PURPOSE_CALLS: server.Serve}}
		var running sync.WaitGroup
		running.Go(func() { accepting.Serve(ctx, listener) })
		calls := &callmux.Client{Network: network, Maintained: true, Hello: helloOf(memberAt("self", "self:1"))}
		link, err := calls.Connect(ctx, "other", "other:1", nil)
		assert.NilError(t, err)
		var lines []string
		sending := newTestFleet(1)
		sending.config.Logger = funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})
		sending.send(link, introductionFrame(&lapisv1.Introduction{Withdrawn: []string{"caf\xe9"}}))
		assert.Assert(t, len(lines) == 1 && strings.Contains(lines[0], "Introduction"), "%q", lines)
		sending.send(link, introductionFrame(&lapisv1.Introduction{Withdrawn: []string{"cafe"}}))
		calls.Close()
		sending.send(link, introductionFrame(&lapisv1.Introduction{Withdrawn: []string{"cafe"}}))
		assert.Equal(t, len(lines), 1, "a link that has ended is no such fault")
		cancel()
		running.Wait()
	})
}
