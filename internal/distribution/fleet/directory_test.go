package fleet

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// scriptedDirectory is a directory whose answers are old by lag.
type scriptedDirectory struct {
	lag time.Duration

	// mutex protects the rest.
	mutex     sync.Mutex
	down      bool
	published map[Member]time.Time
	lists     []time.Time
	writes    int
}

var errDirectoryDown = errors.New("the directory is down")

func (d *scriptedDirectory) Publish(_ context.Context, member Member) error {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.writes++
	if d.down {
		return errDirectoryDown
	}
	d.published[member] = time.Now()
	return nil
}

func (d *scriptedDirectory) Members(context.Context) ([]Member, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.lists = append(d.lists, time.Now())
	if d.down {
		return nil, errDirectoryDown
	}
	var members []Member
	for member, at := range d.published {
		if time.Since(at) >= d.lag {
			members = append(members, member)
		}
	}
	return members, nil
}

// calls returns the numbers of lists and of writes.
func (d *scriptedDirectory) calls() (lists, writes int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.lists), d.writes
}

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

// One that is not known, or known at another address, is written once, and looks
// again soon: who started at the same time is missing from old answers.
func TestNewDaemonIsPublishedAndLooksAgain(t *testing.T) {
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
				assert.Assert(t, visitor.members["twin"] != nil)
				assert.Assert(t, visitor.members[self.Node] == nil)
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
