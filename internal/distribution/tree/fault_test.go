package tree_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/tree"
	"github.com/lapisvane/lapisvane/internal/lab/objectapistub"
)

// TestFaultCases injects each fault into a cluster of real nodes and checks that every remaining
// node reaches the newest version, that no node applies an older version after a newer one, and
// that the object API never has more watchers than there are seats.
func TestFaultCases(t *testing.T) {
	cases := []struct {
		name   string
		inject func(c *cluster)
		// staleWatches is the number of watches that stay open at the object API because their
		// holder is paused while another node holds its seat.
		staleWatches int64
	}{
		{name: "reader killed", inject: func(c *cluster) { c.killAndRemove(c.readers()[0]) }},
		{name: "all readers killed", inject: func(c *cluster) { c.killAndRemove(c.readers()...) }},
		{name: "all readers of a zone killed", inject: func(c *cluster) {
			c.killAndRemove(c.readersOf(c.zoneOf(0))...)
		}},
		{name: "all readers of a zone replaced at once", inject: func(c *cluster) {
			zone := c.zoneOf(0)
			for _, name := range c.readersOf(zone) {
				c.members[name].kill()
				c.killed = append(c.killed, c.members[name])
				c.start(name, zone, "a", "b")
			}
		}},
		{name: "zone cut off past its leases", inject: func(c *cluster) {
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
		}, staleWatches: 2},
		{name: "relays killed", inject: func(c *cluster) {
			for name, m := range c.members {
				if m.node.Info().Role == tree.RoleRelay {
					c.killAndRemove(name)
				}
			}
		}},
		{name: "a third restarted at once", inject: func(c *cluster) {
			for index := 0; index < 10; index += 3 {
				name := fmt.Sprintf("n%02d", index)
				c.members[name].kill()
				c.killed = append(c.killed, c.members[name])
				c.start(name, c.zoneOf(index), "a", "b")
			}
		}},
		{name: "reader paused past its lease", inject: func(c *cluster) {
			paused := c.members[c.readers()[0]]
			paused.network.pause(true)
			c.accept("while-paused", service("a", 20)...)
			time.Sleep(c.tunables.SeatLease.Get() * 2)
			paused.network.pause(false)
		}, staleWatches: 1},
		{name: "source down over a lease", inject: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{Down: true})
			time.Sleep(c.tunables.SeatLease.Get() * 2)
			c.stub.SetFaults(objectapistub.Faults{})
		}},
		{name: "source slow and losing answers", inject: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{DelayMillis: 300, LoseAnswerPercent: 50, EventDelayMillis: 200})
			time.Sleep(c.tunables.SeatLease.Get())
			c.stub.SetFaults(objectapistub.Faults{})
		}},
		{name: "updates crossed", inject: func(c *cluster) {
			c.stub.SetFaults(objectapistub.Faults{ReverseEvents: true, EventDelayMillis: 200})
			for index := range 5 {
				c.accept(fmt.Sprintf("crossed-%d", index), service("a", uint32(30+index))...)
			}
		}},
		{name: "frames corrupted", inject: func(c *cluster) {
			for _, m := range c.members {
				m.network.corruptNext.Store(3)
			}
			c.accept("corrupted", service("b", 40)...)
		}},
		{name: "watch compacted", inject: func(c *cluster) {
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
			test.inject(c)
			c.waitInForce(c.accept("last", service("b", 9)...))
			c.checkHistories()
			assert.Assert(t, c.stub.Load().PeakWatchers <= 4+test.staleWatches, "2 zones with 2 seats")
			assert.Equal(t, c.stub.Load().RefusedWatches, int64(0))
		})
	}
}
