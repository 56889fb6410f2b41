package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/requestpath/balance"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// newRegions returns a pool with an instance in each of the places, which are written
// zone/region; the balancer stands in zone a of region r1.
func newRegions(places ...string) *pool {
	made := newPool()
	made.Balancer = balance.New("node", "a", "r1", made.clock.read)
	var endpoints []*lapisv1.Endpoint
	for index, place := range places {
		endpoints = append(endpoints, &lapisv1.Endpoint{
			Service: "desk", Instance: fmt.Sprint("desk-", index), Zone: place[:1], Region: place[2:], Slots: 6,
			State: lapisv1.Endpoint_STATE_READY, Incarnation: 1,
		})
	}
	made.Update("desk", endpoints)
	return made
}

func evacuated(zones string) balance.Constraint {
	return balance.NotEvacuated(func(zone string) bool { return zones == zone })
}

// No instance gets a call that a constraint does not allow: not the only one that is
// well, nor one that is to be tried because no other is left, nor that of a key.
func TestConstraintsAreHard(t *testing.T) {
	for name, row := range map[string]struct {
		places      []string
		constraints []balance.Constraint
		ejected     int
		// chosen is the only instance that may be, empty for none; then named is the
		// constraint that took the last.
		chosen, named string
	}{
		"an ejected one before an evacuated one": {places: []string{"a/r1", "b/r1"}, constraints: []balance.Constraint{evacuated("a")}, ejected: 1, chosen: "desk-1"},
		"an evacuated one, ejected":              {places: []string{"a/r1", "a/r1"}, constraints: []balance.Constraint{evacuated("a")}, ejected: 1, named: "evacuated"},
		"one region only":                        {places: []string{"a/r1", "c/r2"}, constraints: []balance.Constraint{balance.InRegions([]string{"r2"})}, chosen: "desk-1"},
		"no instance there":                      {places: []string{"a/r1", "b/r1"}, constraints: []balance.Constraint{balance.InRegions([]string{"r2"})}, named: "region"},
		"an unknown region":                      {places: []string{"a/", "c/r2"}, constraints: []balance.Constraint{balance.InRegions([]string{"r1", ""})}, named: "region"},
		"the region evacuated":                   {places: []string{"a/r1", "c/r2"}, constraints: []balance.Constraint{evacuated("c"), balance.InRegions([]string{"r2"})}, named: "region"},
		"no regions":                             {places: []string{"b/r1"}, constraints: []balance.Constraint{balance.InRegions(nil)}, chosen: "desk-0"},
	} {
		for _, key := range []string{"", "key-1", "key-2"} {
			t.Run(name+" "+key, func(t *testing.T) {
				p := newRegions(row.places...)
				for _, target := range p.Targets("desk")[:row.ejected] {
					for range 5 {
						target.Failed(p.clock.now)
					}
				}
				for range 50 {
					chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: target, Key: key, Constraints: row.constraints})
					if row.chosen != "" {
						assert.NilError(t, err)
						assert.Equal(t, chosen.Endpoint.GetInstance(), row.chosen)
						continue
					}
					var constrained *balance.ConstraintError
					assert.Assert(t, errors.As(err, &constrained), "%v", err)
					assert.Equal(t, constrained.Constraint, row.named)
					assert.Assert(t, result.Is(err, result.CallNoEndpoint))
					assert.Assert(t, err.(*result.Error).RetryAfter > time.Second)
				}
			})
		}
	}
}

// Without instances at all, or with all of them tried, no constraint is to blame.
func TestEmptyPoolNamesNoConstraint(t *testing.T) {
	p := newRegions("a/r1")
	var constrained *balance.ConstraintError
	_, err := p.Pick(p.service, balance.Choice{Exclude: p.Targets("desk"), Constraints: []balance.Constraint{evacuated("b")}})
	assert.Assert(t, result.Is(err, result.CallNoEndpoint) && !errors.As(err, &constrained), "%v", err)
}

// The own zone goes before the own region and that before others; work goes further once
// what is nearer has more than its fill.
func TestNearerInstancesGoFirst(t *testing.T) {
	for name, row := range map[string]struct {
		places []string
		loaded int
		chosen string
	}{
		"own zone":                     {[]string{"a/r1", "b/r1", "c/r2"}, 0, "a"},
		"own region":                   {[]string{"c/r2", "b/r1"}, 0, "b"},
		"unknown counts as own region": {[]string{"c/r2", "b/"}, 0, "b"},
		"another region":               {[]string{"c/r2"}, 0, "c"},
		"own zone full":                {[]string{"a/r1", "b/r1", "c/r2"}, 1, "b"},
		"own region full":              {[]string{"a/r1", "b/r1", "c/r2"}, 2, "c"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newRegions(row.places...)
			for index, loaded := range p.Targets("desk") {
				loaded.Answered(route, 300*time.Millisecond, p.clock.now)
				for range 40 * min(max(row.loaded-index, 0), 1) {
					loaded.Begin()
				}
			}
			for range 50 {
				chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: time.Second, Bytes: 500})
				assert.NilError(t, err)
				assert.Equal(t, chosen.Endpoint.GetZone(), row.chosen)
			}
		})
	}
}

// The way to another region takes its time out of the target: what would be late from
// there goes to a nearer instance that is slower.
func TestRoundTripToAnotherRegionCounts(t *testing.T) {
	p := newRegions("b/r1", "c/r2")
	for _, seen := range p.Targets("desk") {
		took := 60 * time.Millisecond
		if seen.Endpoint.GetZone() == "b" {
			took = 70 * time.Millisecond
		}
		seen.Answered(route, took, p.clock.now)
	}
	for range 50 {
		chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: 150 * time.Millisecond})
		assert.NilError(t, err)
		assert.Equal(t, chosen.Endpoint.GetZone(), "b")
	}
}

// Bytes between regions cost more than those between zones: what would go to a faster
// instance of another zone does not go to one of another region.
func TestBytesToAnotherRegionCostMore(t *testing.T) {
	for fast, chosen := range map[string]string{"c/r1": "c", "c/r2": "b"} {
		p := newRegions("b/r1", fast)
		p.Targets("desk")[0].Answered(route, 3*time.Second, p.clock.now)
		p.Targets("desk")[1].Answered(route, time.Second, p.clock.now)
		for range 50 {
			picked, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: 10 * time.Second, Bytes: 30_000})
			assert.NilError(t, err)
			assert.Equal(t, picked.Endpoint.GetZone(), chosen)
		}
	}
}

// Without a target latency, a nearer instance is taken as long as it is not much more
// loaded: what is much grows with the distance.
func TestLoadThatNearnessOutweighs(t *testing.T) {
	for chosen, rows := range map[string][][]int{"a": {{3, 0, 0}, {12, 12, 0}}, "b": {{6, 0, 0}, {40, 12, 0}}, "c": {{40, 20, 0}}} {
		for _, inFlight := range rows {
			p := newRegions("a/r1", "b/r1", "c/r2")
			for index, loaded := range p.Targets("desk") {
				for range inFlight[index] {
					loaded.Begin()
				}
			}
			picked, err := p.Pick(p.service, balance.Choice{Route: route})
			assert.NilError(t, err)
			assert.Equal(t, picked.Endpoint.GetZone(), chosen, "%v", inFlight)
		}
	}
}
