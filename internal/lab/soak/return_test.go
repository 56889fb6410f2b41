package soak_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// Guards against a burst of writes after the store is restored from a backup without the daemons'
// entries. Every daemon writes its entry again, spread over time, so that reads and writes stay within
// the store's rates; all entries are back within the time of two lists of the directory.
func TestStoreRestoreStaysWithinRates(t *testing.T) {
	const members = "lapisvane-members"
	processes := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	siteOptions := options(processes.launch, 1, *machines)
	site, err := day.Start(ctx, siteOptions, day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	for _, member := range site.Store.Objects(members) {
		site.Store.Remove(members, member.Metadata.Name)
	}
	returnedAt := time.Now()
	assert.NilError(t, site.RestoreStore(site.Store.TakeBackup()))
	for len(site.Store.Objects(members)) < *machines {
		assert.Assert(t, ctx.Err() == nil, "%d of %d entries are back", len(site.Store.Objects(members)), *machines)
		time.Sleep(50 * time.Millisecond)
	}
	busiest := site.Store.PeakRates(returnedAt)
	t.Logf("%d daemons: all entries back after %s; at most %d reads and %d writes in a second", *machines, time.Since(returnedAt), busiest.Reads, busiest.Writes)
	assert.Assert(t, float64(busiest.Reads) <= siteOptions.ReadsPerSecond)
	assert.Assert(t, float64(busiest.Writes) <= siteOptions.WritesPerSecond)
}
