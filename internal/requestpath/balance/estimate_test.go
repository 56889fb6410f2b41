package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// The chance of lateness is a chance, rises with the work and falls with the time
// that is left.
func TestLatenessIsMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.Float64Range(0.001, 10).Draw(rt, "service")
		spread := rapid.Float64Range(0, 3).Draw(rt, "spread")
		left := rapid.Float64Range(-1, 10).Draw(rt, "left")
		chance := lateness(service, spread, left)
		assert.Assert(rt, chance >= 0 && chance <= 1, "%v", chance)
		assert.Assert(rt, lateness(1.5*service, spread, left) >= chance)
		assert.Assert(rt, lateness(service, spread, left+0.5) <= chance)
	})
	assert.Equal(t, lateness(1, 0.1, 0), 1.0)
	assert.Assert(t, lateness(0.1, 0.1, 10) < 0.001)
	assert.Assert(t, lateness(10, 0.1, 0.1) > 0.999)
}

// A cold instance works on what it is admitted in the time of a call, and what is above
// waits in the queue; without a rate its slots count.
func TestExpectedTimeOfAColdInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	known := mean{value: 0.25, at: now}
	for name, row := range map[string]struct {
		seen  costState
		total float64
	}{
		"first":             {costState{known: known, slots: 6, cold: true, coldRate: 4, load: 0}, 0.5},
		"within its rate":   {costState{known: known, slots: 6, cold: true, coldRate: 4, load: 1}, 0.5},
		"above its rate":    {costState{known: known, slots: 6, cold: true, coldRate: 4, load: 3}, 1},
		"admits one":        {costState{known: known, slots: 6, cold: true, coldRate: 1, load: 1}, 1.5},
		"fewer slots":       {costState{known: known, slots: 4, cold: true, coldRate: 100, load: 2}, 0.5},
		"refused one":       {costState{known: known, slots: 6, cold: true, coldRate: 4, refusedFor: 2}, 2.5},
		"without a rate":    {costState{known: known, slots: 6, cold: true, load: 3}, 0.5},
		"warm, with a rate": {costState{known: known, slots: 6, coldRate: 4, load: 3, refusedFor: 2}, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			total, _ := row.seen.expected(1, now)
			assert.Assert(t, total > row.total-0.001 && total < row.total+0.001, "%v", total)
		})
	}
}

// Among many cold instances a daemon uses some of the warm ones, if the cold ones are
// admitted little, and takes them; one that refused is left alone for the time that it named.
func TestWarmInstancesArePreferred(t *testing.T) {
	for name, row := range map[string]struct {
		rate float64
		warm int
		used int
	}{
		"few are warm":   {4, 3, 2},
		"one is warm":    {4, 1, 1},
		"none is warm":   {4, 0, 0},
		"without a rate": {0, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			balancer := New("node", "a", "", func() time.Time { return now })
			endpoints := make([]*lapisv1.Endpoint, 40)
			for index := range endpoints {
				endpoints[index] = &lapisv1.Endpoint{Instance: fmt.Sprint("desk-", index), Zone: "b", Slots: 6, ColdMillis: 3000}
			}
			balancer.Update("desk", endpoints)
			// Those are warm that the hash does not choose.
			ranked := selectorAt("node", "a", "", now, 0).subset(balancer.Targets("desk"))
			warmed := 0
			for _, target := range balancer.Targets("desk") {
				if warmed < row.warm && !slices.Contains(ranked, target) {
					target.warmAt = now
					warmed++
				}
			}
			warm := 0
			for _, target := range selectorAt("node", "a", "", now, row.rate).subset(balancer.Targets("desk")) {
				if !target.cold(now) {
					warm++
				}
			}
			assert.Equal(t, warm, row.used)
			if row.used == 0 {
				return
			}
			service := &snapshot.Service{Bundle: &lapisv1.Bundle{Pool: &lapisv1.Pool{Name: "desk", Slots: 6, ColdCallsPerSecond: row.rate}}}
			chosen, err := balancer.Pick(service, Choice{Route: "r", TargetLatency: time.Second})
			assert.NilError(t, err)
			assert.Assert(t, !chosen.cold(now))
		})
	}
}
