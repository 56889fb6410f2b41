package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// A heartbeat with a newer version wakes the catching up; its confirmation does not
// make the older version here look fresh.
func TestHeartbeatOfANewerVersion(t *testing.T) {
	ahead := peerIn("ahead", "a", 0)
	behind := newTestFleet(5, ahead)
	behind.config.Freshness.Advance(5)
	behind.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 6, Confirmed: ahead.lostAt.AddDate(2000, 0, 0)})
	assert.Equal(t, ahead.revision, uint64(6))
	assert.Equal(t, len(behind.catchUpDue), 1)
	assert.Assert(t, behind.config.Freshness.Confirmed().IsZero())
	behind.config.Freshness.Advance(6)
	assert.Assert(t, !behind.config.Freshness.Confirmed().IsZero())
}

// A heartbeat that states newer orders, whose frame has not come, does not make what
// is in force here look fresh.
func TestHeartbeatOfNewerOrders(t *testing.T) {
	ahead := peerIn("ahead", "a", 0)
	behind := newTestFleet(5, ahead)
	behind.config.Freshness.WithOrders = true
	behind.config.Freshness.Advance(5)
	behind.config.Freshness.AdvanceOrders(7)
	behind.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 5, Orders: 9, Confirmed: time.Now()})
	assert.Assert(t, behind.config.Freshness.Confirmed().IsZero())
	behind.config.Freshness.AdvanceOrders(9)
	assert.Assert(t, !behind.config.Freshness.Confirmed().IsZero())
}

// Within a zone a confirmation is sent at once; over its border it waits for the
// regular heartbeats, and over that of a region for longer.
func TestConfirmationsCrossZonesSeldom(t *testing.T) {
	teller := newTestFleet(5)
	teller.config.Self.Region = "r1"
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "a", Region: "r1"}) < time.Second)
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}) > time.Second)
	assert.Equal(t, teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: ""}), teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}))
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "c", Region: "r2"}) > teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}))
}
