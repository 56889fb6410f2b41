package fleet

// locality is how far another daemon is.
type locality int

// Localities, furthest first.
const (
	otherRegion locality = iota
	ownRegion
	ownZone
)

// localityOf tells how far a zone of a region is from the member. A region that is not
// known counts as the own one.
func (m Member) localityOf(zone, region string) locality {
	switch {
	case zone == m.Zone:
		return ownZone
	case region == "" || m.Region == "" || region == m.Region:
		return ownRegion
	default:
		return otherRegion
	}
}
