package fleet

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
)

// What is known of a daemon out of reach lapses also while this machine is suspended: its
// instances went on living and leaving.
func TestLapsesGoOnWhileSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gap := time.Duration(0)
		defer boottime.Use(func() time.Duration { return gap })()
		lost := peerIn("lost", "a", 5)
		lost.connected, lost.lostAt, lost.stopMaintaining = false, boottime.Now(), func() {}
		lost.announcement = &lapisv1.Announcement{Endpoints: []*lapisv1.Endpoint{{Service: "desk", Instance: "i-1"}}}
		known := newTestFleet(5, lost)
		time.Sleep(time.Second)
		assert.Equal(t, len(known.Endpoints("desk")), 1)
		gap = endpointsForgottenAfter
		time.Sleep(time.Second)
		assert.Equal(t, len(known.Endpoints("desk")), 0)
		assert.Assert(t, lost.unreachable(boottime.Now()))
	})
}
