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

const length = 6 * time.Second

var start = time.Unix(1000, 0)

func TestLeaseLifecycle(t *testing.T) {
	cases := []struct {
		name   string
		steps  func(l *seat.Lease)
		at     time.Duration
		expect seat.State
		write  bool
	}{
		{"never taken", func(*seat.Lease) {}, 0, seat.StateIdle, false},
		{"taken", func(l *seat.Lease) { l.Acquired(start, 1) }, length - 1, seat.StateHolding, true},
		{"not renewed in time", func(l *seat.Lease) { l.Acquired(start, 1) }, length, seat.StateSuspended, false},
		{"paused past the lease and woken", func(l *seat.Lease) { l.Acquired(start, 1) }, time.Hour, seat.StateSuspended, false},
		{"renewed", func(l *seat.Lease) { l.Acquired(start, 1); l.Renewed(start.Add(4*time.Second), 2) }, 9 * time.Second, seat.StateHolding, true},
		{"renewed after an outage", func(l *seat.Lease) {
			l.Acquired(start, 1)
			_ = l.State(start.Add(time.Minute))
			l.Renewed(start.Add(time.Minute), 2)
		}, time.Minute + time.Second, seat.StateHolding, true},
		{"taken over while suspended", func(l *seat.Lease) {
			l.Acquired(start, 1)
			_ = l.State(start.Add(time.Minute))
			l.Taken()
		}, time.Minute, seat.StateLost, false},
		{"a late renewal does not revive a lost seat", func(l *seat.Lease) {
			l.Acquired(start, 1)
			l.Taken()
			l.Renewed(start.Add(time.Second), 2)
		}, time.Second, seat.StateLost, false},
		{"given back", func(l *seat.Lease) { l.Acquired(start, 1); l.Released() }, time.Second, seat.StateIdle, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			lease := seat.NewLease(length)
			test.steps(lease)
			now := start.Add(test.at)
			assert.Equal(t, lease.State(now), test.expect)
			_, write := lease.MayWrite(now)
			assert.Equal(t, write, test.write)
		})
	}
}

func object(key, holder string, version int64) objectapi.Object {
	value, _ := proto.Marshal(&lapisv1.SeatLease{Holder: holder, Address: holder, Zone: "z", Epoch: uint64(version)})
	return objectapi.Object{Key: key, Version: version, Value: value}
}

func TestVacancyIsSilenceOnTheObserversClock(t *testing.T) {
	table := seat.NewTable(length)
	key := seat.Key("z", 0)
	vacant := func(at time.Duration) int { return len(table.Vacancies("z", "", 1, start.Add(at))) }
	assert.Equal(t, vacant(0), 1, "a seat never written is vacant")
	assert.NilError(t, table.Observe(object(key, "a", 5), start))
	assert.Equal(t, vacant(length), 0)
	assert.Equal(t, vacant(length+1), 1)
	assert.NilError(t, table.Observe(object(key, "a", 5), start.Add(length)))
	assert.Equal(t, vacant(length+1), 1, "the same version is no renewal")
	assert.NilError(t, table.Observe(object(key, "a", 6), start.Add(length)))
	assert.Equal(t, vacant(length+1), 0)
	assert.NilError(t, table.Observe(object(key, "b", 4), start.Add(length)))
	assert.Equal(t, table.KnownHolders(key)[0].Peer.GetNode(), "a", "a crossed older version is ignored")
	table.Resume(start.Add(time.Hour))
	assert.Equal(t, vacant(time.Hour+length), 0, "silence during an outage proves nothing")
	assert.Equal(t, len(table.Vacancies("z", "a", 1, start.Add(time.Hour))), 1, "a replaced holder may take its own seat back")
	assert.NilError(t, table.Observe(object(key, "", 9), start.Add(time.Hour)))
	assert.Equal(t, vacant(time.Hour), 1, "a seat given back is vacant at once")
}
