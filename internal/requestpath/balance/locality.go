package balance

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/model/locality"
)

// Costs of calls to another zone or region, as fractions of the target latency unless stated
// otherwise.
const (
	// crossZoneBase is the fixed cost of a call to another zone, without the cost of its bytes. It
	// must not be below costJitter, or calls would leave their own zone at random.
	crossZoneBase = 0.05
	// crossZonePerKiB is the cost of each KiB sent to another zone. It does not depend on the price
	// of the link: where bytes are cheap and links are full, calls stay local more than needed.
	crossZonePerKiB = 0.25
	// maxTransferCost is the upper bound of the cost of the bytes, reached at 24 KiB. It is far
	// above failureCost, so calls with long bodies leave their own zone only if that zone refuses
	// them or has no instance.
	maxTransferCost = 6

	// crossRegionRTT is the network round trip of a call to another region. The requirements of the
	// multi-region deployment state 20 ms one way.
	crossRegionRTT = 40 * time.Millisecond
	// crossRegionPriceRatio is the traffic price between regions divided by the price between
	// zones. The price sheets state 56,000 and 15,000 per GB.
	crossRegionPriceRatio = 56_000.0 / 15_000.0
	// crossRegionBytesRatio is the cost of a byte between regions divided by the cost of a byte
	// between zones. It is far below crossRegionPriceRatio, which would keep calls in a region that
	// is full.
	crossRegionBytesRatio = 1.1
	// crossRegionExtra is the additional fixed cost of a call to another region compared with
	// another zone. Together with the round trip it makes calls prefer the own region despite
	// costJitter, up to a target latency of 1.3 s.
	crossRegionExtra = 0.02
)

// networkRTT returns the network round trip to a tier, in seconds; 0 within the region.
func networkRTT(tier locality.Tier) float64 {
	if tier == locality.OtherRegion {
		return crossRegionRTT.Seconds()
	}
	return 0
}

// localityCost returns the cost of sending a call of the given size to a tier, as a fraction of the
// target latency.
func localityCost(tier locality.Tier, bytes float64) float64 {
	transferCost := min(bytes/1024*crossZonePerKiB, maxTransferCost)
	switch tier {
	case locality.OwnZone:
		return 0
	case locality.OwnRegion:
		return transferCost + crossZoneBase
	default:
		return transferCost*crossRegionBytesRatio + crossZoneBase + crossRegionExtra
	}
}
