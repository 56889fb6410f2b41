package day_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
	"github.com/lapisvane/lapisvane/internal/lab/emulator/objectstore"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

const (
	// changePause is the time between two configurations of a storm.
	changePause = 50 * time.Millisecond
	// thinLinkBytesPerSecond is the rate of a link that carries some thirty configurations of these tests in the time
	// within which one must be in force. The versions of a few seconds of a storm take longer.
	thinLinkBytesPerSecond = 60_000
)

// startProbed starts a site whose daemons are probed until the returned function is called, which checks the promises.
func startProbed(t *testing.T) (site *day.Site, finish func()) {
	t.Helper()
	site, _, stop := start(t)
	ctx, cancel := context.WithCancel(context.Background())
	var probing sync.WaitGroup
	probing.Go(func() { site.Probe(ctx, 1) })
	return site, func() {
		t.Helper()
		// The newest versions stay, so that the routes that they added are probed as well.
		time.Sleep(2 * site.ContactTime())
		cancel()
		probing.Wait()
		stop()
		added, _ := site.Versions.Finish()
		assert.Assert(t, added > 0, "no request on an added route")
		assertPromisesKept(t, site)
	}
}

// changeFor declares configurations in quick succession.
func changeFor(t *testing.T, site *day.Site, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	for sleep.For(ctx, changePause) {
		_, err := site.Declare(routes)
		assert.NilError(t, err)
	}
}

// While all other daemons are down, a daemon learns of versions from the store alone, over a thin link. The store was
// silent before for so long that two polls in a row were not answered.
func TestVersionsHoldWhereOnlyTheStoreTells(t *testing.T) {
	site, finish := startProbed(t)
	silence := site.ContactTime() * 5 / 4
	for round := range 4 {
		alone := site.Machines[round]
		site.Store.SetFaults(objectstore.Faults{Silent: true})
		var changing sync.WaitGroup
		changing.Go(func() { changeFor(t, site, silence) })
		var down sync.WaitGroup
		for _, machine := range site.Machines {
			if machine != alone {
				down.Go(func() { assert.Check(t, machine.Kill(silence+2*site.ContactTime())) })
			}
		}
		changing.Wait()
		site.Store.SetFaults(objectstore.Faults{BytesPerSecond: thinLinkBytesPerSecond})
		changeFor(t, site, 2*site.ContactTime())
		down.Wait()
	}
	finish()
}

// The store refuses half of the daemons and forgets its history, while daemons are killed and configurations change in
// quick succession.
func TestVersionsHoldUnderOverlappingDisruptions(t *testing.T) {
	site, finish := startProbed(t)
	for round := range 3 {
		site.SetStoreFaults(objectstore.Faults{Down: true}, site.Machines[round], site.Machines[round+1], site.Machines[round+2])
		var killed sync.WaitGroup
		killed.Go(func() { assert.Check(t, site.Machines[round+3].Kill(changePause)) })
		changeFor(t, site, site.ContactTime())
		site.Store.CompactHistory()
		changeFor(t, site, site.ContactTime())
		site.Store.SetFaults(objectstore.Faults{})
		changeFor(t, site, 2*site.ContactTime())
		killed.Wait()
	}
	finish()
}

// An invalid version changes nothing, and the next valid one comes into force.
func TestInvalidVersionChangesNothing(t *testing.T) {
	site, finish := startProbed(t)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for range 3 {
		assert.NilError(t, site.DeclareInvalid())
		time.Sleep(site.ContactTime())
		version, err := site.Declare(routes)
		assert.NilError(t, err)
		assert.NilError(t, site.AwaitInForce(ctx, version))
		changeFor(t, site, site.ContactTime())
	}
	finish()
}
