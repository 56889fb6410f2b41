package configsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
)

func TestConfirmationWaitsForItsRevision(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(3)
	assert.Assert(t, freshness.Confirm(configsource.Versions{Configuration: 3}, start))
	assert.Assert(t, !freshness.Confirm(configsource.Versions{Configuration: 5}, start.Add(time.Second)))
	assert.Assert(t, freshness.Confirmed().Equal(start))

	freshness.Advance(4)
	assert.Assert(t, freshness.Confirmed().Equal(start))
	freshness.Advance(5)
	assert.Assert(t, freshness.Confirmed().Equal(start.Add(time.Second)))
}

// A confirmation of an older revision holds for a newer one too; an older confirmation does not
// undo a newer one.
func TestConfirmationsOnlyAdvance(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(5)
	assert.Assert(t, freshness.Confirm(configsource.Versions{Configuration: 3}, start))
	assert.Assert(t, !freshness.Confirm(configsource.Versions{Configuration: 5}, start.Add(-time.Second)))
	versions, confirmed := freshness.InForce()
	assert.Equal(t, versions, configsource.Versions{Configuration: 5})
	assert.Assert(t, confirmed.Equal(start))
}

// A daemon that is always one or two versions behind while versions change quickly must still learn
// how fresh its version is.
func TestConfirmationsOfAStormAreKept(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{}
	freshness.Advance(1)
	for revision := uint64(3); revision < 40; revision++ {
		statedAt := start.Add(time.Duration(revision) * time.Second)
		assert.Assert(t, !freshness.Confirm(configsource.Versions{Configuration: revision}, statedAt.Add(-time.Second/2)))
		assert.Assert(t, !freshness.Confirm(configsource.Versions{Configuration: revision}, statedAt))
		freshness.Advance(revision - 2)
		if revision > 4 {
			want := statedAt.Add(-2 * time.Second)
			assert.Assert(t, freshness.Confirmed().Equal(want), "at revision %d: %s", revision-2, freshness.Confirmed().Sub(want))
		}
	}
}

// One confirmation covers the configuration and the orders: it counts once both revisions are in
// force, but not for earlier or later orders.
func TestConfirmationCoversOrders(t *testing.T) {
	start := time.Now()
	after := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	versions := func(configuration, orders uint64) configsource.Versions {
		return configsource.Versions{Configuration: configuration, Orders: orders}
	}
	freshness := &configsource.Freshness{WithOrders: true}
	assert.Assert(t, !freshness.Confirm(versions(3, 0), after(1)), "a confirmation of a daemon without orders was accepted")
	freshness.Advance(3)
	assert.Assert(t, freshness.Confirmed().IsZero())
	assert.Assert(t, !freshness.Confirm(versions(3, 10), after(2)))
	freshness.AdvanceOrders(10)
	assert.Assert(t, freshness.Confirmed().Equal(after(2)))

	assert.Assert(t, !freshness.Confirm(versions(4, 12), after(4)))
	freshness.AdvanceOrders(12)
	assert.Assert(t, freshness.Confirmed().Equal(after(2)), "the configuration is not in force")
	freshness.Advance(5)
	assert.Assert(t, freshness.Confirmed().Equal(after(4)))

	assert.Assert(t, !freshness.Confirm(versions(5, 10), after(6)), "a confirmation of older orders was accepted")
	assert.Assert(t, !freshness.Confirm(versions(5, 14), after(6)))
	freshness.AdvanceOrders(16)
	assert.Assert(t, freshness.Confirmed().Equal(after(4)), "a confirmation of skipped orders was applied")
	assert.Assert(t, freshness.Confirm(versions(4, 16), after(6)))
}

// On sites without orders, the order revisions of other daemons are ignored.
func TestConfirmationWithoutOrders(t *testing.T) {
	freshness := &configsource.Freshness{}
	freshness.Advance(3)
	assert.Assert(t, freshness.Confirm(configsource.Versions{Configuration: 3, Orders: 9}, time.Now()))
}

// Confirmations of other orders must neither replace a pending confirmation nor make it appear
// redundant.
func TestConfirmationWaitsBesideThoseOfOtherOrders(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{WithOrders: true}
	freshness.Advance(3)
	freshness.AdvanceOrders(10)
	freshness.Confirm(configsource.Versions{Configuration: 4, Orders: 11}, start.Add(time.Minute))
	freshness.Confirm(configsource.Versions{Configuration: 5, Orders: 12}, start)
	for revision := uint64(6); revision < 40; revision++ {
		freshness.Confirm(configsource.Versions{Configuration: revision, Orders: 9}, start.Add(time.Duration(revision)*time.Millisecond))
	}
	freshness.Advance(5)
	freshness.AdvanceOrders(12)
	assert.Assert(t, freshness.Confirmed().Equal(start))
}

// A daemon is behind from the time another one confirms a newer configuration until that
// configuration is in force here, even if the confirmation waits for orders or is older than the
// latest one.
func TestBehindUntilTheConfirmedRevisionIsInForce(t *testing.T) {
	start := time.Now()
	freshness := &configsource.Freshness{WithOrders: true}
	freshness.Advance(5)
	freshness.AdvanceOrders(1)
	assert.Assert(t, !freshness.Behind())
	freshness.Confirm(configsource.Versions{Configuration: 4, Orders: 1}, start)
	freshness.Confirm(configsource.Versions{Configuration: 5, Orders: 2}, start.Add(time.Second))
	assert.Assert(t, !freshness.Behind(), "only orders are newer")
	freshness.Confirm(configsource.Versions{Configuration: 7, Orders: 1}, start.Add(-time.Minute))
	assert.Assert(t, freshness.Behind())
	freshness.Advance(6)
	assert.Assert(t, freshness.Behind())
	freshness.Advance(7)
	assert.Assert(t, !freshness.Behind())
}
