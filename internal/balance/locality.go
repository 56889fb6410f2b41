package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// locality is how far an instance is from this daemon.
type locality int

// Localities, nearest first.
const (
	ownZone locality = iota
	ownRegion
	otherRegion
)

// What lies between two regions.
const (
	// regionRoundTrip is the time that a call to another region takes on the way; the
	// requirements sheet of the deployment with several regions states 20 ms one way.
	regionRoundTrip = 40 * time.Millisecond
	// regionPriceRatio is the price of a byte between regions in that of one between
	// zones; the sheets price a GB at 56,000 and 15,000.
	regionPriceRatio = 56_000.0 / 15_000.0
	// regionPenalty is to zonePenalty as the prices are.
	regionPenalty = zonePenalty * regionPriceRatio
	// otherRegionPart is the number of instances of other regions in a subset, as far
	// as there are any.
	otherRegionPart = SubsetSize / 4
)

// localityOf tells how far an instance is. One whose region is not known counts as one
// of the own region.
func (b *Balancer) localityOf(endpoint *lapisv1.Endpoint) locality {
	switch {
	case endpoint.GetZone() == b.zone:
		return ownZone
	case b.region == "" || endpoint.GetRegion() == "" || endpoint.GetRegion() == b.region:
		return ownRegion
	default:
		return otherRegion
	}
}

// penalty is how much more loaded per slot a nearer instance may be.
func (l locality) penalty() float64 {
	switch l {
	case ownZone:
		return 0
	case ownRegion:
		return zonePenalty
	default:
		return regionPenalty
	}
}

// roundTrip is the time on the way that counts, in seconds.
func (l locality) roundTrip() float64 {
	if l == otherRegion {
		return regionRoundTrip.Seconds()
	}
	return 0
}

// crossing is what the bytes of a call cost on the way, in parts of the target latency.
func (l locality) crossing(bytes float64) float64 {
	price := min(bytes/1024*crossingPerKilobyte, crossingMax)
	switch l {
	case ownZone:
		return 0
	case ownRegion:
		return price + crossingBase
	default:
		return price*regionPriceRatio + crossingBase
	}
}
