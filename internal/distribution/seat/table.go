package seat

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/shared/result"
)

// Prefix is the key prefix of all seats.
const Prefix = "seats/"

// Key returns the key of the numbered seat of a zone.
func Key(zone string, number int) string { return fmt.Sprintf("%s%s/%d", Prefix, zone, number) }

// ZonePrefix returns the key prefix of a zone's seats.
func ZonePrefix(zone string) string { return Prefix + zone + "/" }

// observedSeat is the last observed state of a seat.
type observedSeat struct {
	lease   *lapisv1.SeatLease
	version int64
	// firstSeenAt is the local time at which version was first seen.
	firstSeenAt time.Time
}

// Table is an observer's view of the seats. It is not safe for concurrent use.
type Table struct {
	leaseDuration time.Duration
	seats         map[string]observedSeat
}

// NewTable returns an empty table for leases of the given duration.
func NewTable(leaseDuration time.Duration) *Table {
	return &Table{leaseDuration: leaseDuration, seats: map[string]observedSeat{}}
}

// Observe records a seat object as read at now. An object that is not newer than the recorded one
// is ignored. Errors: PlatformBadAnswer for an object that cannot be decoded, which is not
// recorded.
func (t *Table) Observe(object objectapi.Object, now time.Time) error {
	current, known := t.seats[object.Key]
	if known && current.version >= object.Version {
		return nil
	}
	lease := &lapisv1.SeatLease{}
	if err := proto.Unmarshal(object.Value, lease); err != nil {
		return result.Wrap(result.PlatformBadAnswer, err, "decoding %s", object.Key)
	}
	t.seats[object.Key] = observedSeat{lease: lease, version: object.Version, firstSeenAt: now}
	return nil
}

// Vacancy describes a seat that may be taken.
type Vacancy struct {
	Seat string
	// Version is the expected object version of the compare-and-swap write that takes the seat.
	Version int64
	// Epoch is the epoch of the next holder.
	Epoch uint64
}

// Vacancies returns those of the first count seats of zone that taker may take at now. A seat is
// vacant if it was never seen; if taker is its recorded holder, because an earlier process on the
// same machine took it and has ended; or if it was released or not renewed for the duration of a
// lease, by this observer's clock.
func (t *Table) Vacancies(zone, taker string, count int, now time.Time) []Vacancy {
	var vacancies []Vacancy
	for number := range count {
		key := Key(zone, number)
		entry, known := t.seats[key]
		own := taker != "" && entry.lease.GetHolder() == taker
		if !known || own || t.isVacant(entry, now) {
			vacancies = append(vacancies, Vacancy{Seat: key, Version: entry.version, Epoch: entry.lease.GetEpoch() + 1})
		}
	}
	return vacancies
}

// isVacant reports whether a seat was released, or its lease has expired by this observer's clock.
func (t *Table) isVacant(entry observedSeat, now time.Time) bool {
	return entry.lease.GetHolder() == "" || now.Sub(entry.firstSeenAt) > t.leaseDuration
}

// Holder is the last known holder of a seat.
type Holder struct {
	Seat string
	Peer *lapisv1.PeerAddress
}

// Holders returns the holders of all seats whose key has prefix and whose lease has not expired at
// now, ordered by key.
func (t *Table) Holders(prefix string, now time.Time) []Holder {
	return t.holders(prefix, func(entry observedSeat) bool { return !t.isVacant(entry, now) })
}

// holders returns the last known holders of the seats whose key has prefix and for which include
// returns true, ordered by key.
func (t *Table) holders(prefix string, include func(observedSeat) bool) []Holder {
	var holders []Holder
	for _, key := range slices.Sorted(maps.Keys(t.seats)) {
		entry := t.seats[key]
		if strings.HasPrefix(key, prefix) && include(entry) {
			holders = append(holders, Holder{Seat: key, Peer: &lapisv1.PeerAddress{
				Node: entry.lease.GetHolder(), Address: entry.lease.GetAddress(),
				Zone: entry.lease.GetZone(), Region: entry.lease.GetRegion(),
			}})
		}
	}
	return holders
}

// LastKnownHolders returns the last known holders of all seats whose key has prefix, including
// those with expired leases. It is used while the object API cannot be read, when no holder can
// renew.
func (t *Table) LastKnownHolders(prefix string) []Holder {
	return t.holders(prefix, func(entry observedSeat) bool { return entry.lease.GetHolder() != "" })
}

// RestartLeases restarts all leases at now. The observer calls it when it can read the object API
// again: renewals may have been impossible during the outage, so missing ones do not show that a
// holder is gone.
func (t *Table) RestartLeases(now time.Time) {
	for key, entry := range t.seats {
		entry.firstSeenAt = now
		t.seats[key] = entry
	}
}
