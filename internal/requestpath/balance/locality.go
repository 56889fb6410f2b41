package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// What lies between two regions.
const (
	// regionRoundTrip is the time that a call to another region takes on the way; the
	// requirements sheet of the deployment with several regions states 20 ms one way.
	regionRoundTrip = 40 * time.Millisecond
	// regionPriceRatio is the price of a byte between regions in that of one between
	// zones; the sheets price a GB at 56,000 and 15,000.
	regionPriceRatio = 56_000.0 / 15_000.0
	// regionBytesRatio is what a byte between regions weighs in what one between zones
	// does. That is already more than its price, so that the ratio of the prices would
	// keep calls in a region that is full; docs/design/0020 has the figures.
	regionBytesRatio = 1.1
	// regionBase is what a call to another region costs more than one to another zone, in
	// parts of the target latency: with the round trip enough for the own region to go
	// first, in spite of the noise.
	regionBase = 0.02
	// regionPenalty is to zonePenalty as the prices are.
	regionPenalty = zonePenalty * regionPriceRatio
	// otherRegionPart is the number of instances of other regions in a subset, as far
	// as there are any, beside those of the own region.
	otherRegionPart = SubsetSize / 2
)

// tierOf tells how far an instance is from this daemon.
func (b *Balancer) tierOf(endpoint *lapisv1.Endpoint) locality.Tier {
	return b.place.TierOf(locality.Place{Zone: endpoint.GetZone(), Region: endpoint.GetRegion()})
}

// penaltyOf is how much more loaded per slot an instance of the own zone may be.
func penaltyOf(tier locality.Tier) float64 {
	switch tier {
	case locality.OwnZone:
		return 0
	case locality.OwnRegion:
		return zonePenalty
	default:
		return regionPenalty
	}
}

// roundTripOf is the time on the way that counts, in seconds.
func roundTripOf(tier locality.Tier) float64 {
	if tier == locality.OtherRegion {
		return regionRoundTrip.Seconds()
	}
	return 0
}

// crossingOf is what the bytes of a call cost on the way, in parts of the target latency.
func crossingOf(tier locality.Tier, bytes float64) float64 {
	price := min(bytes/1024*crossingPerKilobyte, crossingMax)
	switch tier {
	case locality.OwnZone:
		return 0
	case locality.OwnRegion:
		return price + crossingBase
	default:
		return price*regionBytesRatio + crossingBase + regionBase
	}
}
