// Package locality tells how far instances and daemons are from one another.
package locality

// Tier is how far something is.
type Tier int

// Tiers, nearest first.
const (
	OwnZone Tier = iota
	OwnRegion
	OtherRegion
)

// Place is where a daemon or an instance stands; an empty region is not known.
type Place struct {
	Zone, Region string
}

// TierOf tells how far other is from here. A region that is not known counts as the own
// one, so that where none is known nothing is far.
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
