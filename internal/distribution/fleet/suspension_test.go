package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// The timeouts for an unreachable daemon also run while this machine is suspended, because the
// daemon's instances may come and go meanwhile.
func TestLapsesGoOnWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		lost := peerIn("lost", "a", 5)
		lost.connected, lost.lostAt, lost.stopMaintaining = false, boottime.Now(), func() {}
		lost.announcement = &lapisv1.Announcement{Endpoints: []*lapisv1.Endpoint{{Service: "desk", Instance: "i-1"}}}
		fleet := newTestFleet(5, lost)
		time.Sleep(time.Second)
		assert.Equal(t, len(fleet.Endpoints("desk")), 1)
		gap = endpointTTL
		time.Sleep(time.Second)
		assert.Equal(t, len(fleet.Endpoints("desk")), 0)
		assert.Assert(t, lost.unreachable(boottime.Now()))
	})
}
