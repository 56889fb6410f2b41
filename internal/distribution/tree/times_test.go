package tree

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// TestTimesOfTheTreeFitTogether holds the relations between the tree's own times, those
// of a profile and those of the object API's client. Each case says what breaks when the
// first time is no longer below the second.
func TestTimesOfTheTreeFitTogether(t *testing.T) {
	profiles := map[string]tunables.Distribution{"convergence": tunables.Convergence(), "bytes": tunables.Bytes()}
	for name, profile := range profiles {
		lease := profile.SeatLease.Get()
		renewal := seat.RenewAfter(lease, 1)
		relations := []struct {
			breaks string
			small  time.Duration
			large  time.Duration
		}{
			{"one renewal that fails suspends the reader", 2 * renewal, lease},
			{"a renewal that hangs outlasts a whole lease", objectapi.RequestTimeout, lease},
			{"a reader opens its watch again only after its seat was free", watchBackoffMax, lease},
			{"the waits before a watch shrink", watchBackoffMin, watchBackoffMax},
			{"a floor read ends by the client's time-out and not by its own", floorReadTimeout, objectapi.RequestTimeout},
			{"a floor read is repeated before it can end", floorSpacing, floorReadTimeout},
			{"a refusing reader is dialed again by the next comparison", meshReconcileInterval, meshRedialPause},
			{"a drain by the machine list is undone between two readings of it", 2 * profile.MachinesInterval.Get(), listDrainHold},
			{"ended endpoints outlive their time by more than a tenth", housekeepInterval, profile.GoneAfter.Get() / 10},
			{"a greeting that hangs takes longer than a silent link", greetingTimeout, profile.LinkSilence.Get() + 1},
			{"a daemon without a parent polls less often than it may ask", candidatePoll, profile.JoinBackoffMin.Get() + 1},
			{"a daemon of a zone with one reader is offered the free seat late", offerInterval, lease},
			{"a bookmark that is late ends the watch", 2 * time.Second, objectapi.WatchSilence},
		}
		for _, relation := range relations {
			assert.Check(t, relation.small < relation.large, "profile %s: %s (%s, %s)", name, relation.breaks, relation.small, relation.large)
		}
	}
}
