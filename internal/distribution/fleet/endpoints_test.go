package fleet

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// The region that a daemon announces replaces that of a directory entry without a region.
func TestAnnouncedRegionIsRecorded(t *testing.T) {
	announcing := peerIn("announcing", "c", 0)
	fleet := newTestFleet(5, announcing)
	endpoint := &lapisv1.Endpoint{Service: "desk", Instance: "desk-1", State: lapisv1.Endpoint_STATE_READY}
	fleet.recordAnnouncement(announcing, 0, &lapisv1.Announcement{Node: "announcing", Region: "r2", Endpoints: []*lapisv1.Endpoint{endpoint}})
	assert.Equal(t, announcing.Region, "r2")
	assert.Equal(t, endpoint.GetRegion(), "r2")
	assert.Equal(t, announcing.withReachability(endpoint).GetRegion(), "r2")
	announcing.connected = false
	assert.Equal(t, announcing.withReachability(endpoint).GetRegion(), "r2")
}
