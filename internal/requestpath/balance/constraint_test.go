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

// newRegions returns a pool with one instance in each of the places, which have the form
// zone/region. The balancer is in zone a of region r1.
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

// Checks that an instance that a constraint excludes never receives a call, even if it is the only
// healthy one, the only untried one, or the one that ranks first for the key.
func TestConstraintsAreHard(t *testing.T) {
	for name, row := range map[string]struct {
		places      []string
		constraints []balance.Constraint
		ejected     int
		// chosen is the only instance that may be selected; if empty, constraint is the name of the
		// one that excluded the last instance.
		chosen, constraint string
	}{
		"an ejected one before an evacuated one": {places: []string{"a/r1", "b/r1"}, constraints: []balance.Constraint{evacuated("a")}, ejected: 1, chosen: "desk-1"},
		"an evacuated one, ejected":              {places: []string{"a/r1", "a/r1"}, constraints: []balance.Constraint{evacuated("a")}, ejected: 1, constraint: "evacuated"},
		"one region only":                        {places: []string{"a/r1", "c/r2"}, constraints: []balance.Constraint{balance.InRegions([]string{"r2"})}, chosen: "desk-1"},
		"no instance there":                      {places: []string{"a/r1", "b/r1"}, constraints: []balance.Constraint{balance.InRegions([]string{"r2"})}, constraint: "region"},
		"an unknown region":                      {places: []string{"a/", "c/r2"}, constraints: []balance.Constraint{balance.InRegions([]string{"r1", ""})}, constraint: "region"},
		"the region evacuated":                   {places: []string{"a/r1", "c/r2"}, constraints: []balance.Constraint{evacuated("c"), balance.InRegions([]string{"r2"})}, constraint: "region"},
		"no regions":                             {places: []string{"b/r1"}, constraints: []balance.Constraint{balance.InRegions(nil)}, chosen: "desk-0"},
	} {
		for _, key := range []string{"", "key-1", "key-2"} {
			t.Run(name+" "+key, func(t *testing.T) {
				p := newRegions(row.places...)
				for _, target := range p.Targets("desk")[:row.ejected] {
					for range 5 {
						target.RecordFailure(p.clock.now)
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
					assert.Equal(t, constrained.Constraint, row.constraint)
					assert.Assert(t, result.Is(err, result.CallNoEndpoint))
					assert.Assert(t, err.(*result.Error).RetryAfter > time.Second)
				}
			})
		}
	}
}

// Checks that the error names no constraint if the pool is empty or all instances were tried.
func TestEmptyPoolNamesNoConstraint(t *testing.T) {
	p := newRegions("a/r1")
	var constrained *balance.ConstraintError
	_, err := p.Pick(p.service, balance.Choice{Exclude: p.Targets("desk"), Constraints: []balance.Constraint{evacuated("b")}})
	assert.Assert(t, result.Is(err, result.CallNoEndpoint) && !errors.As(err, &constrained), "%v", err)
}

// Checks that the own zone is preferred to the own region and the own region to other regions, and
// that calls go to a farther tier if the nearer ones are overloaded.
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
				loaded.RecordAnswer(route, 300*time.Millisecond, p.clock.now)
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

// Checks that the round trip to another region counts against the target: a call that would be late
// from there goes to a nearer, slower instance.
func TestRoundTripToAnotherRegionCounts(t *testing.T) {
	p := newRegions("b/r1", "c/r2")
	for _, instance := range p.Targets("desk") {
		took := 60 * time.Millisecond
		if instance.Endpoint.GetZone() == "b" {
			took = 70 * time.Millisecond
		}
		instance.RecordAnswer(route, took, p.clock.now)
	}
	for range 50 {
		chosen, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: 150 * time.Millisecond})
		assert.NilError(t, err)
		assert.Equal(t, chosen.Endpoint.GetZone(), "b")
	}
}

// Checks that bytes between regions cost more than bytes between zones: a faster instance is
// preferred in another zone, but not in another region.
func TestBytesToAnotherRegionCostMore(t *testing.T) {
	for fast, chosen := range map[string]string{"c/r1": "c", "c/r2": "b"} {
		p := newRegions("b/r1", fast)
		p.Targets("desk")[0].RecordAnswer(route, 3*time.Second, p.clock.now)
		p.Targets("desk")[1].RecordAnswer(route, time.Second, p.clock.now)
		for range 50 {
			picked, err := p.Pick(p.service, balance.Choice{Route: route, TargetLatency: 10 * time.Second, Bytes: 30_000})
			assert.NilError(t, err)
			assert.Equal(t, picked.Endpoint.GetZone(), chosen)
		}
	}
}

// Checks that without a target latency a nearer instance is preferred unless its load is much
// higher, and that the tolerated difference grows with the distance.
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
