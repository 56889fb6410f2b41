package origin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A heartbeat of a service that the configuration does not name may be another writer's. It took the
// address of the present instance, which got no calls any more.
func TestHeartbeatOfAnUnknownServiceTakesNothing(t *testing.T) {
	origin := newFixture(t, 4).Origin
	present := Registration{Service: "desk", Instance: "i-1", Address: "127.0.0.1:9", Slots: 2, Sequence: 1}
	origin.Register(present)
	foreign := Registration{Service: "nobody", Instance: "i-2", Address: present.Address, Slots: 2, Sequence: 1}
	origin.Register(foreign)
	instances := origin.Instances()
	assert.Equal(t, len(instances), 1)
	assert.Equal(t, instances[0].Name, "i-1")
	assert.Assert(t, !origin.isWithdrawn("i-1"))
	// One that leaves is told so all the same.
	foreign.Draining = true
	origin.Register(foreign)
	assert.Assert(t, origin.isWithdrawn("i-2"))
}
