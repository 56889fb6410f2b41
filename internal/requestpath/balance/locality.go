package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// What another zone or region costs a call, in parts of the target latency unless a comment says
// otherwise.
const (
	// crossingBase is what a call to another zone costs beside its bytes; not below choiceNoise,
	// or calls would leave the own zone by chance.
	crossingBase = 0.05
	// crossingPerKilobyte is what each kilobyte costs that goes to another zone. It does not
	// know a link's price: where bytes are cheap and links full, calls stay too near.
	crossingPerKilobyte = 0.25
	// crossingMax is the most that the bytes cost, reached at 24 KB. Far above failureCost: calls with long bodies
	// cross only where the own zone refuses them or has no instance.
	crossingMax = 6

	// regionRoundTrip is the time that a call to another region takes on the way; the
	// requirements sheet of the deployment with several regions states 20 ms one way.
	regionRoundTrip = 40 * time.Millisecond
	// regionPriceRatio is the price of a byte between regions in that of one between zones; the
	// sheets price a GB at 56,000 and 15,000.
	regionPriceRatio = 56_000.0 / 15_000.0
	// regionBytesRatio is what a byte between regions weighs in what one between zones does: far
	// below the ratio of the prices, which would keep calls in a region that is full.
	regionBytesRatio = 1.1
	// regionBase is what a call to another region costs more than one to another zone: with
	// the round trip enough for the own region to go first, in spite of the noise, up to a target
	// latency of 1.3 s.
	regionBase = 0.02
)

// roundTripOf returns the time on the network that counts, in seconds.
func roundTripOf(tier locality.Tier) float64 {
	if tier == locality.OtherRegion {
		return regionRoundTrip.Seconds()
	}
	return 0
}

// crossingOf returns what the distance of a call and its bytes cost, in parts of the target
// latency.
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
