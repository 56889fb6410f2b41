package soak_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/lab/emulator/day"
)

// When the store comes back from a copy, every daemon writes its entry again, but not all at once: they
// stay within the store's rates, and within the time of two lists of the directory all are back.
func TestStoresReturnCostsFewCalls(t *testing.T) {
	const members = "lapisvane-members"
	started := newLauncher(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*patience)
	defer cancel()
	sized := options(started.launch, 1, *machines)
	site, err := day.Start(ctx, sized, day.StandardRoutes())
	if site != nil {
		defer site.Close()
	}
	assert.NilError(t, err)
	for _, member := range site.Store.Objects(members) {
		site.Store.Remove(members, member.Metadata.Name)
	}
	began := time.Now()
	assert.NilError(t, site.ReturnStore(site.Store.KeepCopy()))
	for len(site.Store.Objects(members)) < *machines {
		assert.Assert(t, ctx.Err() == nil, "%d of %d entries are back", len(site.Store.Objects(members)), *machines)
		time.Sleep(50 * time.Millisecond)
	}
	busiest := site.Store.Busiest(began)
	t.Logf("%d daemons: all entries back after %s; at most %d reads and %d writes in a second", *machines, time.Since(began), busiest.Reads, busiest.Writes)
	assert.Assert(t, float64(busiest.Reads) <= sized.ReadsPerSecond)
	assert.Assert(t, float64(busiest.Writes) <= sized.WritesPerSecond)
}
