package origin

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A heartbeat of an unconfigured service may come from another sender. The failure: it took over
// the address of the present instance, which then got no calls.
func TestHeartbeatOfAnUnconfiguredServiceIsIgnored(t *testing.T) {
	origin := newFixture(t, 4).Origin
	present := Registration{Service: "desk", Instance: "i-1", Address: "127.0.0.1:9", Slots: 2, Sequence: 1}
	origin.Register(present)
	foreign := Registration{Service: "nobody", Instance: "i-2", Address: present.Address, Slots: 2, Sequence: 1}
	origin.Register(foreign)
	instances := origin.Instances()
	assert.Equal(t, len(instances), 1)
	assert.Equal(t, instances[0].Name, "i-1")
	assert.Assert(t, !origin.isWithdrawn("i-1"))
	// A draining heartbeat is recorded as a withdrawal all the same.
	foreign.Draining = true
	origin.Register(foreign)
	assert.Assert(t, origin.isWithdrawn("i-2"))
}
