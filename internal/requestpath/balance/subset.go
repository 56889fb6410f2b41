package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/shared/rendezvous"
)

// Sizes of a subset, in instances.
const (
	// subsetSize is the number of instances of one service that a daemon uses, so that it keeps few
	// connections. It must not exceed the number of links that a daemon keeps for each service (8
	// in package fleet), because instances without a link cannot be reached.
	subsetSize = 8
	// otherRegionSize is the number of instances of other regions in a subset, if there are that
	// many. They receive calls that spill over from the own region.
	otherRegionSize = subsetSize / 2
	// otherRegionReserved is the number of instances of other regions that replace instances of the
	// own region; the rest of otherRegionSize is added to the subset. It is below otherRegionSize.
	otherRegionReserved = subsetSize / 4
	// minWarm is the number of warm instances in a subset, if there are that many. It equals
	// otherRegionReserved.
	minWarm = subsetSize / 4
)

// subset returns the candidates that this daemon uses, usually at most subsetSize. They are
// selected by a hash of the daemon and the instance, so that daemons spread evenly and a change of
// one instance changes little. Up to three quarters are of the own zone; the others are of the rest
// of the own region. If there are other regions, otherRegionSize instances are from there, and the
// subset may be larger by otherRegionSize - otherRegionReserved. If the pool limits the rate of
// cold instances, at least minWarm of the selected instances are warm, if there are that many.
func (s *selector) subset(candidates []*Target) []*Target {
	if len(candidates) <= subsetSize {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(x, y *Target) int {
		return cmp.Compare(rendezvous.Score(s.daemon, x.Endpoint.GetInstance()), rendezvous.Score(s.daemon, y.Endpoint.GetInstance()))
	})
	ownRegion, otherRegions := s.splitByRegion(ranked)
	otherCount := min(otherRegionSize, len(otherRegions))
	ownCount := min(subsetSize-min(otherCount, otherRegionReserved), len(ownRegion))
	otherCount = max(otherCount, min(subsetSize-ownCount, len(otherRegions)))
	chosen := append(s.ownRegionSubset(ownRegion, ownCount), otherRegions[:otherCount]...)
	if s.coldRate() > 0 {
		replaceCold(chosen, excluding(ranked, chosen), s.now)
	}
	return chosen
}

// splitByRegion splits the targets into those of the own region and those of other regions.
func (s *selector) splitByRegion(targets []*Target) (ownRegion, otherRegions []*Target) {
	for _, target := range targets {
		if s.tierOf(target) == locality.OtherRegion {
			otherRegions = append(otherRegions, target)
		} else {
			ownRegion = append(ownRegion, target)
		}
	}
	return ownRegion, otherRegions
}

// ownRegionSubset returns the given number of targets of the own region: up to three quarters are
// the first ones of the own zone, the others the first ones of the remaining targets.
func (s *selector) ownRegionSubset(ownRegion []*Target, count int) []*Target {
	ownZoneCount := count * 3 / 4
	chosen := make([]*Target, 0, subsetSize)
	var rest []*Target
	for _, target := range ownRegion {
		if target.Endpoint.GetZone() == s.place.Zone && len(chosen) < ownZoneCount {
			chosen = append(chosen, target)
			continue
		}
		rest = append(rest, target)
	}
	return append(chosen, rest[:count-len(chosen)]...)
}

// replaceCold replaces the last cold instances in chosen with warm instances of rest, until minWarm
// instances are warm or no warm one is left.
func replaceCold(chosen, rest []*Target, now time.Time) {
	// The state of each target is read only once, because a heartbeat may change it concurrently.
	var cold []int
	for index, target := range chosen {
		if target.cold(now) {
			cold = append(cold, index)
		}
	}
	missing := minWarm - (len(chosen) - len(cold))
	for _, target := range rest {
		if missing <= 0 || len(cold) == 0 {
			return
		}
		if target.cold(now) {
			continue
		}
		last := len(cold) - 1
		chosen[cold[last]] = target
		cold = cold[:last]
		missing--
	}
}
