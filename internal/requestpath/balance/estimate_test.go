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

// Checks that lateness is a probability, increases with the service time and decreases with the
// remaining time.
func TestLatenessIsMonotonic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		service := rapid.Float64Range(0.001, 10).Draw(rt, "service")
		scv := rapid.Float64Range(0, 3).Draw(rt, "spread")
		remaining := rapid.Float64Range(-1, 10).Draw(rt, "left")
		chance := lateness(service, scv, remaining)
		assert.Assert(rt, chance >= 0 && chance <= 1, "%v", chance)
		assert.Assert(rt, lateness(1.5*service, scv, remaining) >= chance)
		assert.Assert(rt, lateness(service, scv, remaining+0.5) <= chance)
	})
	assert.Equal(t, lateness(1, 0.1, 0), 1.0)
	assert.Assert(t, lateness(0.1, 0.1, 10) < 0.001)
	assert.Assert(t, lateness(10, 0.1, 0.1) > 0.999)
}

// Checks that a cold instance runs as many calls as are admitted during one service time while the
// others wait in the queue, and that without a rate the slots are the limit.
func TestExpectedTimeOfAColdInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	known := ewma{value: 0.25, at: now}
	for name, row := range map[string]struct {
		state costState
		total float64
	}{
		"first":             {costState{serviceTime: known, slots: 6, cold: true, coldRate: 4, load: 0}, 0.5},
		"within its rate":   {costState{serviceTime: known, slots: 6, cold: true, coldRate: 4, load: 1}, 0.5},
		"above its rate":    {costState{serviceTime: known, slots: 6, cold: true, coldRate: 4, load: 3}, 1},
		"admits one":        {costState{serviceTime: known, slots: 6, cold: true, coldRate: 1, load: 1}, 1.5},
		"fewer slots":       {costState{serviceTime: known, slots: 4, cold: true, coldRate: 100, load: 2}, 0.5},
		"refused one":       {costState{serviceTime: known, slots: 6, cold: true, coldRate: 4, coldRejectionSeconds: 2}, 2.5},
		"without a rate":    {costState{serviceTime: known, slots: 6, cold: true, load: 3}, 0.5},
		"warm, with a rate": {costState{serviceTime: known, slots: 6, coldRate: 4, load: 3, coldRejectionSeconds: 2}, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			total, _ := row.state.expected(1, now)
			assert.Assert(t, total > row.total-0.001 && total < row.total+0.001, "%v", total)
		})
	}
}

// Checks that a subset of mostly cold instances includes some warm ones if the pool limits the rate
// of cold instances, and that Pick prefers a warm one.
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
			// Only instances outside the hashed subset become warm.
			ranked := selectorAt("node", "a", "", now, 0).subset(balancer.Targets("desk"))
			warmed := 0
			for _, target := range balancer.Targets("desk") {
				if warmed < row.warm && !slices.Contains(ranked, target) {
					target.coldUntil = now
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
