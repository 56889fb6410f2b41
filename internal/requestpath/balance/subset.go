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
	// subsetSize is the number of instances of one service that a daemon uses, so that its
	// connections stay few. Not more than the links that a daemon keeps for each service (8 in
	// package fleet), since instances without a link cannot be reached.
	subsetSize = 8
	// otherRegionPart is the number of instances of other regions in a subset, as far as
	// there are any, for spill-over.
	otherRegionPart = subsetSize / 2
	// otherRegionTaken is how many of otherRegionPart take the place of one of the own region; the
	// others come on top. It is below otherRegionPart.
	otherRegionTaken = subsetSize / 4
	// leastWarm is the number of warm instances in a subset, if there are so many: as many as are
	// there for spill-over.
	leastWarm = subsetSize / 4
)

// subset returns at most subsetSize candidates, chosen by a hash of this daemon and the instance, so
// that daemons spread evenly and a change of one instance changes little. Instances of the own
// zone come first, up to three quarters, then those of the own region. Where there are other
// regions, otherRegionPart are from there, and the subset may be larger by otherRegionPart -
// otherRegionTaken. Where a pool limits the rate of cold instances, at least leastWarm are warm if
// there are so many.
func (s *selector) subset(candidates []*Target) []*Target {
	if len(candidates) <= subsetSize {
		return candidates
	}
	ranked := slices.Clone(candidates)
	slices.SortFunc(ranked, func(x, y *Target) int {
		return cmp.Compare(rendezvous.Score(s.daemon, x.Endpoint.GetInstance()), rendezvous.Score(s.daemon, y.Endpoint.GetInstance()))
	})
	near, far := s.byRegion(ranked)
	farPart := min(otherRegionPart, len(far))
	nearPart := min(subsetSize-min(farPart, otherRegionTaken), len(near))
	farPart = max(farPart, min(subsetSize-nearPart, len(far)))
	chosen := append(s.nearSubset(near, nearPart), far[:farPart]...)
	if s.coldRate() > 0 {
		replaceCold(chosen, without(ranked, chosen), s.now)
	}
	return chosen
}

// byRegion parts the targets into those of the own region and those of others.
func (s *selector) byRegion(targets []*Target) (near, far []*Target) {
	for _, target := range targets {
		if s.tierOf(target) == locality.OtherRegion {
			far = append(far, target)
		} else {
			near = append(near, target)
		}
	}
	return near, far
}

// nearSubset returns so many targets of the own region: up to three quarters are the first
// ones of the own zone, the others the first ones of what is left.
func (s *selector) nearSubset(near []*Target, count int) []*Target {
	localPart := count * 3 / 4
	chosen := make([]*Target, 0, subsetSize)
	var rest []*Target
	for _, target := range near {
		if target.Endpoint.GetZone() == s.place.Zone && len(chosen) < localPart {
			chosen = append(chosen, target)
			continue
		}
		rest = append(rest, target)
	}
	return append(chosen, rest[:count-len(chosen)]...)
}

// replaceCold puts warm instances of the rest in the place of the last cold ones, until
// leastWarm of those chosen are warm or no warm one is left.
func replaceCold(chosen, rest []*Target, now time.Time) {
	// Each is read once: a heartbeat may change the state meanwhile.
	var cold []int
	for place, target := range chosen {
		if target.cold(now) {
			cold = append(cold, place)
		}
	}
	missing := leastWarm - (len(chosen) - len(cold))
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
