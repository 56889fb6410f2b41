package tree_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/transport/wire"
)

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
	c.killed = append(c.killed, c.members[leaf])
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

// laggingParent sends an old version to each child and answers each floor request with floor.
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

// restartUnderLaggingParent replaces a node that had revision 2 in force by a new process whose
// only parent is still at revision 1, and returns the revisions that both processes put in force,
// in order.
func restartUnderLaggingParent(t *testing.T, skipFloor bool) []uint64 {
	t.Helper()
	c := newCluster(t)
	m := c.start("machine", "z", "a")
	c.accept("one", service("a", 6)...)
	c.waitInForce(1)
	old := m.recorder.history()[len(m.recorder.history())-1]
	c.waitInForce(c.accept("two", service("a", 7)...))
	m.kill()
	c.killed = append(c.killed, m)

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
		return poll.Continue("the old version has not been received")
	}, poll.WithTimeout(convergenceTimeout))
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
	assert.Assert(t, !neverDecreases(restartUnderLaggingParent(t, true)), "the history check did not detect the missing floor")
}
