package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// A heartbeat with a newer revision starts a configuration request. Its confirmation does not apply
// to the older version in force here.
func TestHeartbeatOfANewerVersion(t *testing.T) {
	ahead := peerIn("ahead", "a", 0)
	fleet := newTestFleet(5, ahead)
	fleet.config.Freshness.Advance(5)
	fleet.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 6, Confirmed: ahead.lostAt.AddDate(2000, 0, 0)})
	assert.Equal(t, ahead.revision, uint64(6))
	assert.Equal(t, len(fleet.catchUpDue), 1)
	assert.Assert(t, fleet.config.Freshness.Confirmed().IsZero())
	fleet.config.Freshness.Advance(6)
	assert.Assert(t, !fleet.config.Freshness.Confirmed().IsZero())
}

// A heartbeat that states newer orders, before the orders themselves arrive, does not confirm the
// orders in force here.
func TestHeartbeatOfNewerOrders(t *testing.T) {
	ahead := peerIn("ahead", "a", 0)
	fleet := newTestFleet(5, ahead)
	fleet.config.Freshness.WithOrders = true
	fleet.config.Freshness.Advance(5)
	fleet.config.Freshness.AdvanceOrders(7)
	fleet.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 5, Orders: 9, Confirmed: time.Now()})
	assert.Assert(t, fleet.config.Freshness.Confirmed().IsZero())
	fleet.config.Freshness.AdvanceOrders(9)
	assert.Assert(t, !fleet.config.Freshness.Confirmed().IsZero())
}

// Within a zone a confirmation is sent at once. Across zones it waits for the regular heartbeats,
// and across regions for longer.
func TestConfirmationsCrossZonesSeldom(t *testing.T) {
	fleet := newTestFleet(5)
	fleet.config.Self.Region = "r1"
	assert.Assert(t, fleet.minConfirmationGain(locality.Place{Zone: "a", Region: "r1"}) < time.Second)
	assert.Assert(t, fleet.minConfirmationGain(locality.Place{Zone: "b", Region: "r1"}) > time.Second)
	assert.Equal(t, fleet.minConfirmationGain(locality.Place{Zone: "b", Region: ""}), fleet.minConfirmationGain(locality.Place{Zone: "b", Region: "r1"}))
	assert.Assert(t, fleet.minConfirmationGain(locality.Place{Zone: "c", Region: "r2"}) > fleet.minConfirmationGain(locality.Place{Zone: "b", Region: "r1"}))
}
