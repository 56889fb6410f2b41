package tree_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

// readers returns the members that hold a seat.
func (c *cluster) readers() []string {
	var names []string
	for name, m := range c.members {
		if m.node.Info().Role == tree.RoleReader {
			names = append(names, name)
		}
	}
	return names
}

// readersOf returns the members of a zone that hold a seat.
func (c *cluster) readersOf(zone string) []string {
	var names []string
	for _, name := range c.readers() {
		if c.members[name].zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// killForGood ends members that do not come back.
func (c *cluster) killForGood(names ...string) {
	for _, name := range names {
		c.members[name].kill()
		c.stub.RemoveMachine(name)
		c.retired = append(c.retired, c.members[name])
		delete(c.members, name)
	}
}

// TestFaultCases disturbs a cluster of real nodes in each way and checks that
// every node left comes to the newest version, that none ever went back, and
// that the source never bore more readers than there are seats.
func TestFaultCases(t *testing.T) {
	cases := []struct {
		name    string
		inflict func(c *cluster)
		// lingering is the number of watches that stay open at the source
		// because their holder is paused, while others have its seat.
		lingering int64
	}{
		{name: "reader killed", inflict: func(c *cluster) { c.killForGood(c.readers()[0]) }},
		{name: "all readers killed", inflict: func(c *cluster) { c.killForGood(c.readers()...) }},
		{name: "all readers of a zone killed", inflict: func(c *cluster) {
			c.killForGood(c.readersOf(c.zoneOf(0))...)
		}},
		{name: "all readers of a zone replaced at once", inflict: func(c *cluster) {
			zone := c.zoneOf(0)
			for _, name := range c.readersOf(zone) {
				c.members[name].kill()
				c.retired = append(c.retired, c.members[name])
				c.start(name, zone, "a", "b")
			}
		}},
		{name: "zone cut off past its leases", inflict: func(c *cluster) {
			var zone []*member
			for index := 0; index < 10; index += 2 {
				zone = append(zone, c.members[fmt.Sprintf("n%02d", index)])
			}
			for _, m := range zone {
				m.network.pause(true)
			}
			c.accept("while-cut", service("a", 25)...)
			time.Sleep(c.tunables.SeatLease.Get() * 2)
			for _, m := range zone {
				m.network.pause(false)
			}
		}, lingering: 2},
		{name: "relays killed", inflict: func(c *cluster) {
			for name, m := range c.members {
				if m.node.Info().Role == tree.RoleRelay {
					c.killForGood(name)
				}
			}
		}},
		{name: "a third restarted at once", inflict: func(c *cluster) {
			for index := 0; index < 10; index += 3 {
				name := fmt.Sprintf("n%02d", index)
				c.members[name].kill()
				c.retired = append(c.retired, c.members[name])
				c.start(name, c.zoneOf(index), "a", "b")
			}
		}},
		{name: "reader paused past its lease", inflict: func(c *cluster) {
			paused := c.members[c.readers()[0]]
			paused.network.pause(true)
			c.accept("while-paused", service("a", 20)...)
			time.Sleep(c.tunables.SeatLease.Get() * 2)
			paused.network.pause(false)
		}, lingering: 1},
		{name: "source down over a lease", inflict: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{Down: true})
			time.Sleep(c.tunables.SeatLease.Get() * 2)
			c.stub.SetFaults(objectapistub.Faults{})
		}},
		{name: "source slow and losing answers", inflict: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{DelayMillis: 300, LoseAnswerPercent: 50, EventDelayMillis: 200})
			time.Sleep(c.tunables.SeatLease.Get())
			c.stub.SetFaults(objectapistub.Faults{})
		}},
		{name: "updates crossed", inflict: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{CrossEvents: true, EventDelayMillis: 200})
			for index := range 5 {
				c.accept(fmt.Sprintf("crossed-%d", index), service("a", uint32(30+index))...)
			}
		}},
		{name: "frames corrupted", inflict: func(c *cluster) {
			for _, m := range c.members {
				m.network.corruptNext.Store(3)
			}
			c.accept("corrupted", service("b", 40)...)
		}},
		{name: "watch compacted", inflict: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{Down: true})
			c.stub.SetFaults(objectapistub.Faults{})
			c.accept("compacted", service("a", 50)...)
			c.stub.Compact()
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			for index := range 10 {
				c.start(fmt.Sprintf("n%02d", index), c.zoneOf(index), "a", "b")
			}
			c.waitInForce(c.accept("first", append(service("a", 6), service("b", 6)...)...))
			test.inflict(c)
			c.waitInForce(c.accept("last", service("b", 9)...))
			c.checkHistories()
			assert.Assert(t, c.stub.Load().PeakWatchers <= 4+test.lingering, "2 zones with 2 seats")
			assert.Equal(t, c.stub.Load().RefusedWatches, int64(0))
		})
	}
}

func TestRestartDuringOutageIsServedByPeers(t *testing.T) {
	c := newCluster(t)
	for index := range 6 {
		c.start(fmt.Sprintf("n%02d", index), "z", "a")
	}
	last := c.accept("first", service("a", 6)...)
	c.waitInForce(last)
	c.stub.SetFaults(objectapistub.Faults{Down: true})
	var leaf string
	for name, m := range c.members {
		if m.node.Info().Role == tree.RoleLeaf {
			leaf = name
		}
	}
	c.members[leaf].kill()
	c.retired = append(c.retired, c.members[leaf])
	c.seeds = []string{c.members[c.readers()[0]].address}
	c.start(leaf, "z", "a")
	c.waitInForce(last)
	c.checkHistories()
}

func TestNobodyVouchesForAFloorWithoutSourceAndPeers(t *testing.T) {
	c := newCluster(t)
	c.stub.SetFaults(objectapistub.Faults{Down: true})
	m := c.start("alone", "z", "a")
	time.Sleep(500 * time.Millisecond)
	info := m.node.Info()
	assert.Equal(t, info.FloorKnown, false)
	assert.Equal(t, info.InForce, uint64(0))
}

// laggingParent serves one old version to whoever connects and answers floor
// questions only when told to.
type laggingParent struct {
	update *lapisv1.Update
	floor  uint64
}

func (l *laggingParent) serve(ctx context.Context, conn *wire.Conn, hello *lapisv1.Hello) error {
	frames := []*lapisv1.ControlFrame{
		{Body: &lapisv1.ControlFrame_Welcome{Welcome: &lapisv1.Welcome{Node: "lagging", Path: []string{"lagging"}}}},
		{Body: &lapisv1.ControlFrame_Update{Update: l.update}},
	}
	for _, frame := range frames {
		if err := conn.Send(frame); err != nil {
			return err
		}
	}
	for {
		frame := &lapisv1.ControlFrame{}
		if err := conn.Receive(frame); err != nil {
			return err
		}
		switch {
		case frame.GetFloorRequest() != nil:
			reply := &lapisv1.FloorReply{Revision: l.floor, Authority: lapisv1.FloorReply_AUTHORITY_SOURCE}
			if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_FloorReply{FloorReply: reply}}); err != nil {
				return err
			}
		case frame.GetSubscription() != nil:
			update := l.update
			update.SubscriptionVersion = frame.GetSubscription().GetVersion()
			if err := conn.Send(&lapisv1.ControlFrame{Body: &lapisv1.ControlFrame_Update{Update: update}}); err != nil {
				return err
			}
		}
	}
}

// restartUnderLaggingParent replaces a node that had revision 2 in force by a
// process whose only parent is still at revision 1, and returns what the
// machine put in force over both processes.
func restartUnderLaggingParent(t *testing.T, skipFloor bool) []uint64 {
	t.Helper()
	c := newCluster(t)
	m := c.start("machine", "z", "a")
	c.accept("one", service("a", 6)...)
	c.waitInForce(1)
	old := m.recorder.history()[len(m.recorder.history())-1]
	c.waitInForce(c.accept("two", service("a", 7)...))
	m.kill()
	c.retired = append(c.retired, m)

	set := meshconfig.DigestOf(old.Bundles)
	update := &lapisv1.Update{ToRevision: 1, Full: true, Digest: set.Bytes()}
	for _, bundle := range old.Bundles {
		update.Bundles = append(update.Bundles, bundle)
	}
	parent := &laggingParent{update: update, floor: 2}
	c.seeds = []string{c.serveFake(parent.serve)}
	c.stub.SetFaults(objectapistub.Faults{Down: true})
	replaced := c.startWith("machine", "z", skipFloor, "a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if replaced.node.Info().Revision == 1 {
			return poll.Success()
		}
		return poll.Continue("the old version has not arrived")
	}, poll.WithTimeout(settled))
	time.Sleep(200 * time.Millisecond)
	var revisions []uint64
	for _, applied := range append(m.recorder.history(), replaced.recorder.history()...) {
		revisions = append(revisions, applied.Revision)
	}
	return revisions
}

func neverDecreases(revisions []uint64) bool {
	for index := 1; index < len(revisions); index++ {
		if revisions[index] < revisions[index-1] {
			return false
		}
	}
	return true
}

func TestFloorKeepsAReplacedMachineFromGoingBack(t *testing.T) {
	assert.Assert(t, neverDecreases(restartUnderLaggingParent(t, false)))
}

func TestHistoryCheckCatchesAMissingFloor(t *testing.T) {
	assert.Assert(t, !neverDecreases(restartUnderLaggingParent(t, true)), "the check passed a build without a floor")
}

// faultyNetwork is TCP that can pause, and corrupt what is received.
type faultyNetwork struct {
	wire.TCP
	paused      *atomic.Bool
	corruptNext atomic.Int32
}

// dialPlatform opens connections to the platform that pause along.
func (f *faultyNetwork) dialPlatform(ctx context.Context, _, address string) (net.Conn, error) {
	return (&faultyNetwork{paused: f.paused}).Dial(ctx, address)
}

func (f *faultyNetwork) pause(on bool) { f.paused.Store(on) }

var errPaused = errors.New("paused")

func (f *faultyNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	if f.paused.Load() {
		return nil, errPaused
	}
	conn, err := f.TCP.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &faultyConn{Conn: conn, network: f}, nil
}

// faultyConn applies its network's faults.
type faultyConn struct {
	net.Conn
	network *faultyNetwork
}

func (f *faultyConn) Read(buffer []byte) (int, error) {
	count, err := f.Conn.Read(buffer)
	for f.network.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	if count > 8 && f.network.corruptNext.Add(-1) >= 0 {
		buffer[count/2] ^= 0x55
	}
	return count, err
}

func (f *faultyConn) Write(data []byte) (int, error) {
	for f.network.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	return f.Conn.Write(data)
}
