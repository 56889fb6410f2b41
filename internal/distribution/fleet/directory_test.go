package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// visit lets a daemon follow directory until test returns.
func visit(t *testing.T, directory *scriptedDirectory, test func(self Member, visitor *Fleet)) {
	synctest.Test(t, func(t *testing.T) {
		self := Member{Node: "self", Address: "10.0.0.1:1", Zone: "a", Service: "desk"}
		ctx, cancel := context.WithCancel(context.Background())
		visitor := New(Config{Self: self, Directory: directory, Random: func() float64 { return 0 }, Logger: logr.Discard()})
		var running sync.WaitGroup
		running.Go(func() { visitor.followDirectory(ctx) })
		test(self, visitor)
		cancel()
		running.Wait()
	})
}

// A daemon that starts again under its name and address costs one list.
func TestStartOfAKnownDaemonCostsOneList(t *testing.T) {
	self := Member{Node: "self", Address: "10.0.0.1:1", Zone: "a", Service: "desk"}
	directory := &scriptedDirectory{published: map[Member]time.Time{self: {}, {Node: "other", Address: "10.0.0.2:1"}: {}}}
	visit(t, directory, func(_ Member, visitor *Fleet) {
		time.Sleep(10 * time.Second)
		lists, writes := directory.calls()
		assert.Equal(t, lists, 1)
		assert.Equal(t, writes, 0)
		assert.Equal(t, visitor.Known(), 1)
	})
}

// One that is not known, or known at another address, is written once, and lists
// again soon: who started at the same time is missing from old answers.
func TestNewDaemonIsPublishedAndListsAgain(t *testing.T) {
	for name, before := range map[string]Member{
		"unknown":         {Node: "other", Address: "10.0.0.2:1"},
		"another address": {Node: "self", Address: "10.0.0.9:1", Zone: "a", Service: "desk"},
	} {
		t.Run(name, func(t *testing.T) {
			directory := &scriptedDirectory{lag: 2 * time.Second, published: map[Member]time.Time{before: {}}}
			visit(t, directory, func(self Member, visitor *Fleet) {
				twin := Member{Node: "twin", Address: "10.0.0.3:1"}
				assert.NilError(t, directory.Publish(t.Context(), twin))
				time.Sleep(6 * time.Second)
				lists, writes := directory.calls()
				assert.Equal(t, writes, 2, "the twin's and the daemon's own")
				assert.Equal(t, lists, 5, "at once, after 0.25, 0.75, 1.75 and 3.75 s")
				visitor.mutex.Lock()
				defer visitor.mutex.Unlock()
				assert.Assert(t, visitor.peers["twin"] != nil)
				assert.Assert(t, visitor.peers[self.Node] == nil)
			})
		})
	}
}

// Through an outage the directory is asked in growing intervals.
func TestDirectoryIsAskedWithoutHasteThroughAnOutage(t *testing.T) {
	directory := &scriptedDirectory{down: true, published: map[Member]time.Time{}}
	visit(t, directory, func(self Member, _ *Fleet) {
		time.Sleep(10 * time.Second)
		lists, writes := directory.calls()
		assert.Assert(t, lists >= 6 && lists <= 10, "%d lists", lists)
		assert.Equal(t, writes, 0)
		directory.mutex.Lock()
		directory.down = false
		directory.mutex.Unlock()
		time.Sleep(directoryRetryMax)
		directory.mutex.Lock()
		defer directory.mutex.Unlock()
		_, published := directory.published[self]
		assert.Assert(t, published)
		assert.Assert(t, slices.IsSortedFunc(directory.lists, time.Time.Compare))
	})
}

// The wait between two lists stays at its longest however long the daemon runs. It grew
// until the number that holds it overflowed: the daemon then listed the
// directory without any wait, 10 minutes after its start.
func TestDirectoryIsListedSeldomByALongRunningDaemon(t *testing.T) {
	for name, schedule := range map[string]*listSchedule{"listed at its start": newListSchedule(), "published": {relist: relistMin}} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				schedule.afterSuccess(12)
			}
			for range 500 {
				assert.Equal(t, schedule.afterSuccess(12), directoryInterval)
			}
		})
	}
}
