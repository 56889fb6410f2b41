package fleet

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// playAddresses runs the members given, each following a directory with entries for a
// time, and returns the number of dials of the last half. check gets the daemons by name.
func playAddresses(t *testing.T, members, entries []Member, lasts time.Duration, check func(daemons map[string]*Fleet)) (lateDials int) {
	playDaemons(t, entries, func(network *memoryNetwork, start func(Member, ...func(*Config)) *Fleet) {
		daemons := map[string]*Fleet{}
		for _, member := range members {
			daemons[member.Node] = start(member)
		}
		time.Sleep(lasts / 2)
		before := network.dialed()
		time.Sleep(lasts / 2)
		lateDials = network.dialed() - before
		check(daemons)
	})
	return lateDials
}

// A machine was replaced at an address that another one had before, whose entry is
// still in the directory: both names led to the new daemon, and each dial took the
// place of the other's connection, 8,000 times a second in a fleet of 14.
func TestMachineReplacedAtAUsedAddress(t *testing.T) {
	members := []Member{memberAt("asker", "x:1"), memberAt("newcomer", "x:2"), memberAt("third", "x:3")}
	entries := append([]Member{memberAt("former", "x:2")}, members...)
	dials := playAddresses(t, members, entries, 40*time.Second, func(daemons map[string]*Fleet) {
		assert.DeepEqual(t, connectedTo(daemons["asker"]), map[string]string{"newcomer": "x:2", "third": "x:3"})
		assert.DeepEqual(t, connectedTo(daemons["newcomer"]), map[string]string{"asker": "x:1", "third": "x:3"})
		for _, named := range daemons["asker"].introduction().GetMembers() {
			assert.Assert(t, named.GetNode() != "former", "a displaced daemon is not named to others")
		}
	})
	assert.Assert(t, dials <= 3, "%d dials in calm times", dials)
}

// Two daemons have each other's former address.
func TestSwappedAddresses(t *testing.T) {
	members := []Member{memberAt("asker", "x:1"), memberAt("first", "x:2"), memberAt("second", "x:3")}
	entries := []Member{memberAt("asker", "x:1"), memberAt("first", "x:3"), memberAt("second", "x:2")}
	dials := playAddresses(t, members, entries, 40*time.Second, func(daemons map[string]*Fleet) {
		assert.DeepEqual(t, connectedTo(daemons["asker"]), map[string]string{"first": "x:2", "second": "x:3"})
	})
	assert.Assert(t, dials <= 3, "%d dials in calm times", dials)
}

// Whatever the directory says of who was where, everybody ends up connected to all
// daemons at their addresses, and dials stay seldom.
func TestDialsAreSeldomWhateverTheDirectorySays(t *testing.T) {
	rapid.Check(t, func(random *rapid.T) {
		count := rapid.IntRange(2, 5).Draw(random, "daemons")
		var members, entries []Member
		for index := range count {
			member := memberAt(fmt.Sprint("node-", index), fmt.Sprint("x:", index))
			members = append(members, member)
			entries = append(entries, member)
		}
		for index := range rapid.IntRange(0, 6).Draw(random, "former") {
			address := fmt.Sprint("x:", rapid.IntRange(0, count-1).Draw(random, "address"))
			entries = append(entries, memberAt(fmt.Sprint("former-", index), address))
		}
		dials := playAddresses(t, members, entries, 60*time.Second, func(daemons map[string]*Fleet) {
			for node, daemon := range daemons {
				assert.Equal(t, len(connectedTo(daemon)), count-1, "%s", node)
			}
		})
		assert.Assert(t, dials <= len(entries)*count, "%d dials in 30 s", dials)
	})
}

// What is stated of a daemon's address is believed in the order greeting, directory, other
// daemons; the directory's statement about one that is connected waits for the connection's end.
func TestWhoseStatementOfAnAddressCounts(t *testing.T) {
	former, present := memberAt("moved", "x:1"), memberAt("moved", "x:2")
	for name, row := range map[string]struct {
		connected bool
		stated    func(f *Fleet)
		want      string
	}{
		"hearsay of one that is known":        {false, func(f *Fleet) { f.recordIntroduced(present) }, "x:1"},
		"directory":                           {false, func(f *Fleet) { f.recordDirectoryEntry(present) }, "x:2"},
		"directory, while connected":          {true, func(f *Fleet) { f.recordDirectoryEntry(present) }, "x:1"},
		"directory, and the connection ended": {true, func(f *Fleet) { f.recordDirectoryEntry(present); f.lost(f.peers["moved"], f.peers["moved"].link) }, "x:2"},
		"directory, taken back meanwhile": {true, func(f *Fleet) {
			f.recordDirectoryEntry(present)
			f.recordDirectoryEntry(former)
			f.lost(f.peers["moved"], f.peers["moved"].link)
		}, "x:1"},
		"greeting, while connected": {true, func(f *Fleet) { f.recordHello(present) }, "x:2"},
		"greeting after the directory": {true, func(f *Fleet) {
			f.recordDirectoryEntry(memberAt("moved", "x:3"))
			f.recordHello(present)
			f.lost(f.peers["moved"], f.peers["moved"].link)
		}, "x:2"},
	} {
		t.Run(name, func(t *testing.T) {
			knows := newTestFleet(0, &peer{Member: former, connected: row.connected, dialNow: make(chan struct{}, 1)})
			row.stated(knows)
			assert.Equal(t, knows.peers["moved"].Address, row.want)
		})
	}
}

// A displaced daemon is tried again when something newer is heard of it, and after a
// minute at the latest.
func TestDisplacedDaemonIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := memberAt("ended", "x:1")
		knows := newTestFleet(0, &peer{Member: ended, dialNow: make(chan struct{}, 1)})
		other := &callmux.OtherDaemonError{Address: "x:1", Expected: "ended", Found: "newcomer"}
		displaced := func() bool { return knows.peers["ended"].displaced(time.Now()) }

		knows.displace(knows.peers["ended"], other)
		assert.Assert(t, displaced())
		knows.recordDirectoryEntry(ended)
		knows.recordIntroduced(memberAt("ended", "x:2"))
		assert.Assert(t, displaced(), "nothing newer was heard")
		knows.recordDirectoryEntry(memberAt("ended", "x:2"))
		assert.Assert(t, !displaced())

		knows.displace(knows.peers["ended"], other)
		assert.Assert(t, !displaced(), "the answer came from where it was before")
		other.Address = "x:2"
		knows.displace(knows.peers["ended"], other)
		assert.Assert(t, displaced())
		time.Sleep(displacedRecheck)
		assert.Assert(t, !displaced())
		assert.Assert(t, knows.peers["ended"].unreachable(time.Now()), "another one is connected to beside it")
	})
}

// A peer that was given up and is wanted again has two connections for a moment: the end of
// the first says nothing of the second. The daemon was then taken as out of reach for good,
// although calls could be sent (12 of 32,000 plays of the test above).
func TestEndOfAnEarlierConnectionDoesNotCount(t *testing.T) {
	members := []Member{memberAt("asker", "x:1"), memberAt("peer", "x:2"), memberAt("third", "x:3")}
	playAddresses(t, members, members, 10*time.Second, func(daemons map[string]*Fleet) {
		asker := daemons["asker"]
		asker.mutex.Lock()
		peer, earlier, later := asker.peers["peer"], asker.peers["third"].link, asker.peers["peer"].link
		asker.mutex.Unlock()
		asker.lost(peer, earlier)
		assert.DeepEqual(t, connectedTo(asker), map[string]string{"peer": "x:2", "third": "x:3"})
		asker.lost(peer, later)
		assert.DeepEqual(t, connectedTo(asker), map[string]string{"third": "x:3"})
	})
}
