// Package locality ranks how far instances and daemons are from one another, by zone and region.
// It owns nothing; its values may be used by several goroutines.
//
// What must hold: where regions are not known nothing is far, so that a fleet of one region, or
// of none, behaves as if there were no regions.
package locality

// Tier is how far something is; a lower one is nearer.
type Tier int

// Tiers, nearest first.
const (
	OwnZone Tier = iota
	OwnRegion
	OtherRegion
)

// Place is where a daemon or an instance runs; an empty region is not known.
type Place struct {
	Zone, Region string
}

// TierOf returns how far other is from p. An unknown region counts as the own one.
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
