package soak_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/transport/peer"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// newcomerLifetime is how long a newcomer accepts connections: longer than the first wait between two dials.
const newcomerLifetime = 60 * time.Millisecond

// newcomer is a daemon that asks for the members in the same write as its greeting.
type newcomer struct {
	node     string
	accepted *atomic.Int64
}

func (n newcomer) accept(ctx context.Context, conn *wire.Conn, _ *lapisv1.Hello) error {
	n.accepted.Add(1)
	welcome := &lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Welcome{Welcome: &lapisv1.Welcome{Node: n.node, Incarnation: 1}}}
	wanted := &lapisv1.CallFrame{Body: &lapisv1.CallFrame_Introduction{Introduction: &lapisv1.Introduction{Wanted: true}}}
	err := conn.SendAll(welcome, wanted)
	<-ctx.Done()
	return err
}

// greet makes the daemon at an address know the newcomer, so that it dials it.
func (n newcomer) greet(t *testing.T, address, own string) {
	t.Helper()
	raw, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	conn := wire.NewConn(raw, nil)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, raw.SetDeadline(time.Now().Add(waitTimeout)))
	hello := &lapisv1.Hello{ProtocolVersion: wire.ProtocolVersion, Purpose: lapisv1.Hello_PURPOSE_CALLS, Node: n.node, Incarnation: 1, Zone: "a", Service: "desk", Address: own}
	assert.NilError(t, conn.WritePreface())
	assert.NilError(t, conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Hello{Hello: hello}}))
	assert.NilError(t, conn.Receive(&lapisv1.ControlFrame{}))
}

// Guards against an end of the process by a request that arrives on the first link to a daemon, before the
// dialing side has recorded the link.
func TestRequestOnANewLinkEndsNoDaemon(t *testing.T) {
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout+*dayLength)
	defer cancel()
	site, err := day.Start(ctx, options(processes.launch, *firstSeed, *machines), day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	var accepted atomic.Int64
	end := time.Now().Add(*dayLength)
	for number := 0; time.Now().Before(end); number++ {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		added := newcomer{node: fmt.Sprint("newcomer-", number), accepted: &accepted}
		server := &peer.Server{Logger: logr.Discard(), Counters: &wire.Counters{}, Handlers: map[lapisv1.Hello_Purpose]peer.Handler{lapisv1.Hello_PURPOSE_CALLS: added.accept}}
		living, stop := context.WithCancel(ctx)
		go server.Serve(living, listener)
		for _, machine := range site.Machines {
			running := processOf(t, machine)
			assert.Assert(t, !running.hasExited(), "%s ended after %d links", machine.Name, accepted.Load())
			added.greet(t, running.addresses.Peer, listener.Addr().String())
		}
		time.Sleep(newcomerLifetime)
		stop()
	}
	t.Logf("%d links", accepted.Load())
	assert.Assert(t, accepted.Load() > 0)
}
