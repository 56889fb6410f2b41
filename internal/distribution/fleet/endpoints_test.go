package fleet

import (
	"testing"
	"time"

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

// An instance starts again under its ID. Of two incarnations, the page of another daemon has those only that the
// daemon beside them announced last, and none of an earlier process or link.
func TestAnnouncementWithALaterStartEndsThatOfTheEarlierOne(t *testing.T) {
	ready := func(instances ...string) (announcement *lapisv1.Announcement) {
		announcement = &lapisv1.Announcement{Node: "announcing", Incarnation: 1}
		for _, instance := range instances {
			announcement.Endpoints = append(announcement.Endpoints, &lapisv1.Endpoint{Service: "desk", Instance: instance, State: lapisv1.Endpoint_STATE_READY})
		}
		return announcement
	}
	left := ready()
	left.Withdrawn = []string{"i-1@2000"}
	for name, row := range map[string]struct {
		change func(*Fleet, *peer)
		page   []string
	}{
		"the later one is ready": {func(f *Fleet, p *peer) { f.recordAnnouncement(p, 1, ready("i-1@2000")) }, []string{"i-1@2000"}},
		"the later one has left": {func(f *Fleet, p *peer) { f.recordAnnouncement(p, 1, left) }, nil},
		"an announcement of the earlier link is late": {func(f *Fleet, p *peer) {
			f.recordAnnouncement(p, 1, ready("i-1@2000"))
			f.recordAnnouncement(p, 0, ready("i-1@1000"))
		}, []string{"i-1@2000"}},
		"another process of the daemon": {func(_ *Fleet, p *peer) { p.recordOpen(p.link, 2) }, nil},
	} {
		t.Run(name, func(t *testing.T) {
			announcing := peerIn("announcing", "c", 0)
			announcing.generation, announcing.stopMaintaining, announcing.withdrawn = 1, func() {}, map[string]time.Time{}
			fleet := newTestFleet(5, announcing)
			fleet.recordAnnouncement(announcing, 1, ready("i-1@1000"))
			assert.Equal(t, fleet.Endpoints("desk")[0].GetInstance(), "i-1@1000")
			row.change(fleet, announcing)
			var page []string
			for _, endpoint := range fleet.Endpoints("desk") {
				page = append(page, endpoint.GetInstance())
			}
			assert.DeepEqual(t, page, row.page)
		})
	}
}
