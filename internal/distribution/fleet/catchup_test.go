package fleet

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/model/orders"
	"github.com/lapisvane/lapisvane/internal/model/quarantine"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// behindAt returns a daemon in zone a that has a revision in force, and what it
// knows of others.
func behindAt(revision uint64, members ...*peer) *Fleet {
	behind := New(Config{
		Self: Member{Node: "self", Zone: "a"}, Random: func() float64 { return 0.5 }, Logger: logr.Discard(),
		InForce:   func() *lapisv1.Configuration { return &lapisv1.Configuration{Revision: revision} },
		Freshness: &configsource.Freshness{},
	})
	for _, member := range members {
		behind.members[member.Node] = member
	}
	return behind
}

func at(node, zone string, revision uint64) *peer {
	return &peer{Member: Member{Node: node, Zone: zone}, connected: true, revision: revision}
}

// The configuration is asked of the own zone first, there of the newest, and never of
// one that is not ahead, out of reach, silent, or was asked before.
func TestWhoIsAskedForTheConfiguration(t *testing.T) {
	lost := at("lost", "a", 9)
	lost.connected = false
	stalled := at("stalled", "a", 9)
	stalled.stalled = true
	behind := behindAt(5, lost, stalled, at("same", "a", 5), at("near", "a", 6), at("newer", "a", 7), at("far", "b", 8))
	asked := map[string]bool{}
	for _, want := range []string{"newer", "near", "far"} {
		member, _ := behind.nextToAsk(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
	member, _ := behind.nextToAsk(asked)
	assert.Assert(t, member == nil)
}

// A heartbeat with a newer version wakes the catching up; its confirmation does not
// make the older version here look fresh.
func TestHeartbeatOfANewerVersion(t *testing.T) {
	ahead := at("ahead", "a", 0)
	behind := behindAt(5, ahead)
	behind.config.Freshness.Advance(5)
	behind.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 6, Confirmed: ahead.lostAt.AddDate(2000, 0, 0)})
	assert.Equal(t, ahead.revision, uint64(6))
	assert.Equal(t, len(behind.behind), 1)
	assert.Assert(t, behind.config.Freshness.Confirmed().IsZero())
	behind.config.Freshness.Advance(6)
	assert.Assert(t, !behind.config.Freshness.Confirmed().IsZero())
}

// A heartbeat that tells of newer orders, whose frame has not come, does not make what
// is in force here look fresh.
func TestHeartbeatOfNewerOrders(t *testing.T) {
	ahead := at("ahead", "a", 0)
	behind := behindAt(5, ahead)
	behind.config.Freshness.WithOrders = true
	behind.config.Freshness.Advance(5)
	behind.config.Freshness.AdvanceOrders(7)
	behind.recordHeartbeat(ahead, callmux.Heartbeat{Revision: 5, Orders: 9, Confirmed: time.Now()})
	assert.Assert(t, behind.config.Freshness.Confirmed().IsZero())
	behind.config.Freshness.AdvanceOrders(9)
	assert.Assert(t, !behind.config.Freshness.Confirmed().IsZero())
}

// Within a zone a confirmation is told at once; over its border it waits for the
// regular heartbeats, and over that of a region for longer.
func TestConfirmationsCrossZonesSeldom(t *testing.T) {
	teller := behindAt(5)
	teller.config.Self.Region = "r1"
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "a", Region: "r1"}) < time.Second)
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}) > time.Second)
	assert.Equal(t, teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: ""}), teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}))
	assert.Assert(t, teller.earlyHeartbeatGain(locality.Place{Zone: "c", Region: "r2"}) > teller.earlyHeartbeatGain(locality.Place{Zone: "b", Region: "r1"}))
}

// A daemon of the own region is asked before one of another, whatever that has.
func TestOwnRegionIsAskedFirst(t *testing.T) {
	foreign, unknown, home := at("foreign", "c", 9), at("unknown", "d", 6), at("home", "b", 7)
	foreign.Region, home.Region = "r2", "r1"
	behind := behindAt(5, foreign, unknown, home, at("near", "a", 6))
	behind.config.Self.Region = "r1"
	asked := map[string]bool{}
	for _, want := range []string{"near", "home", "unknown", "foreign"} {
		member, _ := behind.nextToAsk(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
}

// What a daemon says of its region counts before an entry that lacks it.
func TestAnnouncedRegionIsTakenIn(t *testing.T) {
	told := at("told", "c", 0)
	listening := behindAt(5, told)
	endpoint := &lapisv1.Endpoint{Service: "desk", Instance: "desk-1", State: lapisv1.Endpoint_STATE_READY}
	listening.recordAnnouncement(told, 0, &lapisv1.Announcement{Node: "told", Region: "r2", Endpoints: []*lapisv1.Endpoint{endpoint}})
	assert.Equal(t, told.Region, "r2")
	assert.Equal(t, endpoint.GetRegion(), "r2")
	assert.Equal(t, told.withReachability(endpoint).GetRegion(), "r2")
	told.connected = false
	assert.Equal(t, told.withReachability(endpoint).GetRegion(), "r2")
}

// A version is made ready once for all that ask for it, and reads back as it was.
func TestOutgoingConfigurationIsMadeOnce(t *testing.T) {
	sent := &outgoing{}
	configuration := &lapisv1.Configuration{Revision: 3, Bundles: []*lapisv1.EncodedBundle{{Service: "desk", Content: []byte("routes")}}}
	first, err := sent.of(configuration)
	assert.NilError(t, err)
	second, err := sent.of(configuration)
	assert.NilError(t, err)
	assert.Assert(t, first == second)

	var offered *lapisv1.Configuration
	receiver := behindAt(1)
	receiver.config.Observer = offerFunc(func(received *lapisv1.Configuration) { offered = received })
	receiver.receiveDeflatedConfiguration(at("sender", "a", 3), first.GetDeflatedConfiguration())
	assert.Equal(t, offered.GetRevision(), uint64(3))
	assert.Equal(t, string(offered.GetBundles()[0].GetContent()), "routes")

	offered = nil
	receiver.receiveDeflatedConfiguration(at("sender", "a", 3), []byte("no deflate stream"))
	assert.Assert(t, offered == nil)
}

// offerFunc is an observer that only takes configurations.
type offerFunc func(*lapisv1.Configuration)

func (f offerFunc) Offer(configuration *lapisv1.Configuration) { f(configuration) }
func (offerFunc) Endpoints(string, []*lapisv1.Endpoint)        {}
func (offerFunc) Members(int)                                  {}
func (offerFunc) Withdraw(string)                              {}
func (offerFunc) Suspected([]quarantine.Record, string)        {}
func (offerFunc) Ordered(*orders.Set, string)                  {}
