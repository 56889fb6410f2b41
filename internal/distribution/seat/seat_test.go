package seat_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
)

const leaseDuration = 6 * time.Second

var start = time.Unix(1000, 0)

func TestLeaseLifecycle(t *testing.T) {
	cases := []struct {
		name     string
		steps    func(l *seat.Lease)
		at       time.Duration
		want     seat.State
		mayWrite bool
	}{
		{"never acquired", func(*seat.Lease) {}, 0, seat.StateIdle, false},
		{"acquired", func(l *seat.Lease) { l.Acquired(start, 1) }, leaseDuration - 1, seat.StateHolding, true},
		{"not renewed in time", func(l *seat.Lease) { l.Acquired(start, 1) }, leaseDuration, seat.StateSuspended, false},
		{"resumed after a pause longer than the lease", func(l *seat.Lease) { l.Acquired(start, 1) }, time.Hour, seat.StateSuspended, false},
		{"renewed", func(l *seat.Lease) { l.Acquired(start, 1); l.Renewed(start.Add(4*time.Second), 2) }, 9 * time.Second, seat.StateHolding, true},
		{"renewed after an outage", func(l *seat.Lease) {
			l.Acquired(start, 1)
			_ = l.State(start.Add(time.Minute))
			l.Renewed(start.Add(time.Minute), 2)
		}, time.Minute + time.Second, seat.StateHolding, true},
		{"taken over while suspended", func(l *seat.Lease) {
			l.Acquired(start, 1)
			_ = l.State(start.Add(time.Minute))
			l.Lost()
		}, time.Minute, seat.StateLost, false},
		{"a late renewal does not revive a lost seat", func(l *seat.Lease) {
			l.Acquired(start, 1)
			l.Lost()
			l.Renewed(start.Add(time.Second), 2)
		}, time.Second, seat.StateLost, false},
		{"released", func(l *seat.Lease) { l.Acquired(start, 1); l.Released() }, time.Second, seat.StateIdle, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lease := seat.NewLease(leaseDuration)
			test.steps(lease)
			now := start.Add(test.at)
			assert.Equal(t, lease.State(now), test.want)
			_, mayWrite := lease.MayWrite(now)
			assert.Equal(t, mayWrite, test.mayWrite)
		})
	}
}

func object(key, holder string, version int64) objectapi.Object {
	value, _ := proto.Marshal(&lapisv1.SeatLease{Holder: holder, Address: holder, Zone: "z", Epoch: uint64(version)})
	return objectapi.Object{Key: key, Version: version, Value: value}
}

func TestVacancyIsSilenceOnTheObserversClock(t *testing.T) {
	table := seat.NewTable(leaseDuration)
	key := seat.Key("z", 0)
	vacant := func(at time.Duration) int { return len(table.Vacancies("z", "", 1, start.Add(at))) }
	assert.Equal(t, vacant(0), 1, "a seat that was never written is not vacant")
	assert.NilError(t, table.Observe(object(key, "a", 5), start))
	assert.Equal(t, vacant(leaseDuration), 0)
	assert.Equal(t, vacant(leaseDuration+1), 1)
	assert.NilError(t, table.Observe(object(key, "a", 5), start.Add(leaseDuration)))
	assert.Equal(t, vacant(leaseDuration+1), 1, "the same version counts as a renewal")
	assert.NilError(t, table.Observe(object(key, "a", 6), start.Add(leaseDuration)))
	assert.Equal(t, vacant(leaseDuration+1), 0)
	assert.NilError(t, table.Observe(object(key, "b", 4), start.Add(leaseDuration)))
	assert.Equal(t, table.LastKnownHolders(key)[0].Peer.GetNode(), "a", "an older version is not ignored")
	table.RestartLeases(start.Add(time.Hour))
	assert.Equal(t, vacant(time.Hour+leaseDuration), 0, "a seat not renewed during an outage counts as vacant")
	assert.Equal(t, len(table.Vacancies("z", "a", 1, start.Add(time.Hour))), 1, "a restarted holder may not take its own seat")
	assert.NilError(t, table.Observe(object(key, "", 9), start.Add(time.Hour)))
	assert.Equal(t, vacant(time.Hour), 1, "a released seat is not vacant at once")
}
