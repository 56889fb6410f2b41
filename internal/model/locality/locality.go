// Package locality ranks the distance between instances and daemons by zone and region.
// It owns no state; its values are safe for concurrent use.
//
// Invariant: an unknown region never counts as another region, so that a fleet with one region, or
// without regions, behaves as if there were no regions.
package locality

// Tier is a class of distance; a lower tier is nearer.
type Tier int

// Tiers, nearest first.
const (
	OwnZone Tier = iota
	OwnRegion
	OtherRegion
)

// Place is the zone and region of a daemon or an instance; an empty region is unknown.
type Place struct {
	Zone, Region string
}

// TierOf returns the tier of other as seen from p. An unknown region counts as the region of p.
func (p Place) TierOf(other Place) Tier {
	switch {
	case other.Zone == p.Zone:
		return OwnZone
	case other.Region == "" || p.Region == "" || other.Region == p.Region:
		return OwnRegion
	default:
		return OtherRegion
	}
}
