package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// The configuration is requested from the own zone first, and there from the daemon with the
// newest. Daemons that are not ahead, disconnected, stalled or asked before are left out.
func TestWhoIsAskedForTheConfiguration(t *testing.T) {
	lost := peerIn("lost", "a", 9)
	lost.connected = false
	stalled := peerIn("stalled", "a", 9)
	stalled.stalled = true
	fleet := newTestFleet(5, lost, stalled, peerIn("same", "a", 5), peerIn("near", "a", 6), peerIn("newer", "a", 7), peerIn("far", "b", 8))
	asked := map[string]bool{}
	for _, want := range []string{"newer", "near", "far"} {
		member, _ := fleet.nextHolder(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
	member, _ := fleet.nextHolder(asked)
	assert.Assert(t, member == nil)
}

// A daemon of the own region is asked before one of another region with a newer configuration.
func TestOwnRegionIsAskedFirst(t *testing.T) {
	foreign, unknown, home := peerIn("foreign", "c", 9), peerIn("unknown", "d", 6), peerIn("home", "b", 7)
	foreign.Region, home.Region = "r2", "r1"
	fleet := newTestFleet(5, foreign, unknown, home, peerIn("near", "a", 6))
	fleet.config.Self.Region = "r1"
	asked := map[string]bool{}
	for _, want := range []string{"near", "home", "unknown", "foreign"} {
		member, _ := fleet.nextHolder(asked)
		assert.Assert(t, member != nil, "expected %s", want)
		assert.Equal(t, member.Node, want)
		asked[member.Node] = true
	}
}

// A configuration is encoded once for all requests, and decodes to the original.
func TestOutgoingConfigurationIsMadeOnce(t *testing.T) {
	sent := &encodedConfiguration{}
	configuration := &lapisv1.Configuration{Revision: 3, Bundles: []*lapisv1.EncodedBundle{{Service: "desk", Content: []byte("routes")}}}
	first, err := sent.encodedFrame(configuration)
	assert.NilError(t, err)
	second, err := sent.encodedFrame(configuration)
	assert.NilError(t, err)
	assert.Assert(t, first == second)

	var offered *lapisv1.Configuration
	receiver := newTestFleet(1)
	receiver.config.Observer = offerFunc(func(received *lapisv1.Configuration) { offered = received })
	receiver.receiveDeflatedConfiguration(peerIn("sender", "a", 3), first.GetDeflatedConfiguration())
	assert.Equal(t, offered.GetRevision(), uint64(3))
	assert.Equal(t, string(offered.GetBundles()[0].GetContent()), "routes")

	offered = nil
	receiver.receiveDeflatedConfiguration(peerIn("sender", "a", 3), []byte("no deflate stream"))
	assert.Assert(t, offered == nil)
}

// The announcement arrives before its link is recorded as open.
func TestRevisionAnnouncedBeforeTheLinkIsRecordedIsRequested(t *testing.T) {
	ahead := newPeer("ahead", time.Now())
	ahead.Member = Member{Node: "ahead", Zone: "a"}
	fleet := newTestFleet(6, ahead)
	fleet.recordAnnouncement(ahead, 0, &lapisv1.Announcement{Node: "ahead", Incarnation: 5, Revision: 7})
	<-fleet.catchUpDue
	asked, _ := fleet.nextHolder(map[string]bool{})
	assert.Assert(t, asked == nil)
	fleet.recordConnected(ahead, callmux.Link{}, 5)
	assert.Equal(t, len(fleet.catchUpDue), 1)
	asked, _ = fleet.nextHolder(map[string]bool{})
	assert.Equal(t, asked, ahead)
}
