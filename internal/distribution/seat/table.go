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

// observed is a seat as last seen.
type observed struct {
	lease   *lapisv1.SeatLease
	version int64
	// since is the local time at which version was first seen.
	since time.Time
}

// Table is an observer's view of the seats. It is not safe for concurrent use.
type Table struct {
	leaseLength time.Duration
	seats       map[string]observed
}

// NewTable returns an empty table for leases of the given length.
func NewTable(leaseLength time.Duration) *Table {
	return &Table{leaseLength: leaseLength, seats: map[string]observed{}}
}

// Observe records a seat object as read at now; one that is not newer than what is
// known changes nothing. Errors: PlatformBadAnswer for an object that cannot be decoded,
// which changes nothing either.
func (t *Table) Observe(object objectapi.Object, now time.Time) error {
	present, known := t.seats[object.Key]
	if known && present.version >= object.Version {
		return nil
	}
	lease := &lapisv1.SeatLease{}
	if err := proto.Unmarshal(object.Value, lease); err != nil {
		return result.Wrap(result.PlatformBadAnswer, err, "decoding %s", object.Key)
	}
	t.seats[object.Key] = observed{lease: lease, version: object.Version, since: now}
	return nil
}

// Vacancy describes a seat that may be taken.
type Vacancy struct {
	Seat string
	// Version is what the taking write must name.
	Version int64
	// Epoch is the epoch of the next holder.
	Epoch uint64
}

// Vacancies returns the seats of zone that may be taken at now, out of count. A seat is
// vacant, in this order, when it was never seen; when it shows taker as its holder, for
// an earlier process of the same machine took it and has ended; or when it was given
// back or not renewed for the length of a lease, by this observer's clock.
func (t *Table) Vacancies(zone, taker string, count int, now time.Time) []Vacancy {
	var vacancies []Vacancy
	for number := range count {
		key := Key(zone, number)
		seen, known := t.seats[key]
		own := taker != "" && seen.lease.GetHolder() == taker
		if !known || own || t.lapsed(seen, now) {
			vacancies = append(vacancies, Vacancy{Seat: key, Version: seen.version, Epoch: seen.lease.GetEpoch() + 1})
		}
	}
	return vacancies
}

func (t *Table) lapsed(seen observed, now time.Time) bool {
	return seen.lease.GetHolder() == "" || now.Sub(seen.since) > t.leaseLength
}

// Holder is a daemon that holds a seat, as far as is known.
type Holder struct {
	Seat string
	Peer *lapisv1.PeerAddress
}

// Holders returns the holders of all seats whose key has prefix and whose
// lease has not lapsed at now, in order of key.
func (t *Table) Holders(prefix string, now time.Time) []Holder {
	return t.holders(prefix, func(seen observed) bool { return !t.lapsed(seen, now) })
}

func (t *Table) holders(prefix string, include func(observed) bool) []Holder {
	var holders []Holder
	for _, key := range slices.Sorted(maps.Keys(t.seats)) {
		seen := t.seats[key]
		if strings.HasPrefix(key, prefix) && include(seen) {
			holders = append(holders, Holder{Seat: key, Peer: &lapisv1.PeerAddress{
				Node: seen.lease.GetHolder(), Address: seen.lease.GetAddress(),
				Zone: seen.lease.GetZone(), Region: seen.lease.GetRegion(),
			}})
		}
	}
	return holders
}

// KnownHolders returns the last known holders of all seats whose key has prefix,
// whether or not their leases have lapsed. It serves while the object API cannot be
// read, when nobody can renew.
func (t *Table) KnownHolders(prefix string) []Holder {
	return t.holders(prefix, func(seen observed) bool { return seen.lease.GetHolder() != "" })
}

// Resume restarts the count of all leases at now. The observer calls it when it can
// read the object API again: renewals may have been impossible meanwhile, so that their
// absence proves nothing.
func (t *Table) Resume(now time.Time) {
	for key, seen := range t.seats {
		seen.since = now
		t.seats[key] = seen
	}
}
