package tree

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/distribution/tunables"
)

// TestTimesOfTheTreeFitTogether checks the relations between the tree's own times, those of the
// profiles and those of the object API client. Each case names the failure that occurs when the
// first time is not below the second.
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
			{"a single failed renewal suspends the reader", 2 * renewal, lease},
			{"a renewal that hangs lasts longer than the lease", objectapi.RequestTimeout, lease},
			{"a reader reopens its watch only after its seat became vacant", watchBackoffMax, lease},
			{"the watch backoff decreases", watchBackoffMin, watchBackoffMax},
			{"a floor read ends at the client's timeout instead of its own", floorReadTimeout, objectapi.RequestTimeout},
			{"a floor read is delayed for longer than it may take", floorBatchDelay, floorReadTimeout},
			{"a reader that refused a link is redialed by the next reconciliation", meshReconcileInterval, meshRedialDelay},
			{"a drain by the machine list is undone between two reads of the list", 2 * profile.MachinesInterval.Get(), machineListDrainTTL},
			{"ended endpoints are kept for more than a tenth longer than GoneAfter", housekeepInterval, profile.GoneRetention.Get() / 10},
			{"a greeting that hangs is detected later than a silent link", greetingTimeout, profile.LinkIdleTimeout.Get() + 1},
			{"a daemon without a parent checks its candidates less often than it may query the object API", candidatePollInterval, profile.JoinBackoffMin.Get() + 1},
			{"a vacant seat in a zone with one reader is offered too late", offerInterval, lease},
			{"a single late bookmark ends the watch", 2 * time.Second, objectapi.WatchIdleTimeout},
		}
		for _, relation := range relations {
			assert.Check(t, relation.small < relation.large, "profile %s: %s (%s, %s)", name, relation.breaks, relation.small, relation.large)
		}
	}
}
