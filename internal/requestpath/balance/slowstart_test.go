package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
)

// Checks that slow start is assumed only for an instance that appears after the daemon's start, has
// no previous incarnation and does not report its slots.
func TestWhoIsInASlowStart(t *testing.T) {
	created := time.Unix(1000, 0)
	later := created.Add(slowStartWindow)
	started := later.Add(-time.Second)
	for name, row := range map[string]struct {
		previous *Target
		slots    uint32
		now      time.Time
		startsAt time.Time
	}{
		"new":                         {now: later, startsAt: later},
		"there when the daemon began": {now: later.Add(-1), startsAt: later.Add(-1 - slowStartWindow)},
		"reports its slots":           {slots: 6, now: later, startsAt: later.Add(-slowStartWindow)},
		"an earlier incarnation": {
			previous: &Target{observations: &observations{slowStartAt: started}}, slots: 6, now: later, startsAt: started,
		},
	} {
		t.Run(name, func(t *testing.T) {
			startsAt := slowStartTime(row.previous, &lapisv1.Endpoint{Slots: row.slots}, created, row.now)
			assert.Equal(t, startsAt, row.startsAt)
		})
	}
}

// Checks that the share of a new instance starts at slowStartMinShare, never decreases and is 1
// after the slow start.
func TestSlowStartShareGrows(t *testing.T) {
	assert.Equal(t, slowStartShare(0), slowStartMinShare)
	assert.Equal(t, slowStartShare(slowStartWindow), 1.0)
	before := 0.0
	for age := time.Duration(0); age <= 2*slowStartWindow; age += slowStartWindow / 50 {
		share := slowStartShare(age)
		assert.Assert(t, share >= before && share <= 1)
		before = share
	}
}
