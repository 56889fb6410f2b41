package balance

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/snapshot"
)

// referenceSubset is the subset algorithm without regions.
func referenceSubset(node, zone string, candidates []*Target) []*Target {
	if len(candidates) <= subsetSize {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(x, y *Target) int {
		return cmp.Compare(xxhash.Sum64String(node+"|"+x.Endpoint.GetInstance()), xxhash.Sum64String(node+"|"+y.Endpoint.GetInstance()))
	})
	var chosen, rest []*Target
	for _, target := range ranked {
		if target.Endpoint.GetZone() == zone && len(chosen) < subsetSize*3/4 {
			chosen = append(chosen, target)
			continue
		}
		rest = append(rest, target)
	}
	return append(chosen, rest[:subsetSize-len(chosen)]...)
}

// selectorAt returns a selector of the named daemon in the given zone and region, for a pool whose
// cold instances are admitted coldRate calls per second.
func selectorAt(daemon, zone, region string, now time.Time, coldRate float64) *selector {
	return &selector{
		daemon: daemon, place: locality.Place{Zone: zone, Region: region}, now: now, random: globalRandom{},
		service: &snapshot.Service{Bundle: &lapisv1.Bundle{Pool: &lapisv1.Pool{Name: "desk", Slots: 6, ColdCallsPerSecond: coldRate}}},
	}
}

func targetsIn(region string, count int) []*Target {
	var targets []*Target
	for index := range count {
		targets = append(targets, &Target{Endpoint: &lapisv1.Endpoint{
			Instance: fmt.Sprintf("%s-%d", region, index), Zone: fmt.Sprintf("%s-%d", region, index%3), Region: region,
		}})
	}
	return targets
}

// Checks that the subset equals that of the reference if all instances are in one region or their
// regions are unknown.
func TestSubsetOfOneRegionIsAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		region := rapid.SampledFrom([]string{"", "r1"}).Draw(t, "region")
		node := rapid.StringMatching("node-[0-9]{3}").Draw(t, "node")
		targets := targetsIn(region, rapid.IntRange(0, 40).Draw(t, "instances"))
		made := selectorAt(node, region+"-0", "r1", time.Now(), 0)
		assert.DeepEqual(t, instances(made.subset(targets)), instances(referenceSubset(node, region+"-0", targets)))
	})
}

func instances(targets []*Target) []string {
	names := []string{}
	for _, target := range targets {
		names = append(names, target.Endpoint.GetInstance())
	}
	return names
}

// Checks that a subset holds mostly instances of the own region, a few of other regions, and more
// of those if the own region has too few.
func TestSubsetAcrossRegions(t *testing.T) {
	for own, others := range map[int]int{0: 8, 3: 5, 6: 4, 30: 4} {
		made := selectorAt("node", "r1-0", "r1", time.Now(), 0)
		foreign := 0
		chosen := made.subset(append(targetsIn("r2", 30), targetsIn("r1", own)...))
		assert.Equal(t, len(chosen), min(own, subsetSize*3/4)+others)
		for _, target := range chosen {
			if target.Endpoint.GetRegion() != "r1" {
				foreign++
			}
		}
		assert.Equal(t, foreign, others, "%d instances in the own region", own)
	}
}
