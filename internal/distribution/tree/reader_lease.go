package tree

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// releaseTimeout limits the release of the seat at a planned stop. A seat that is not released
// becomes vacant SeatLease after its last renewal.
const releaseTimeout = 2 * time.Second

// putLease writes the seat with a compare-and-swap on version and returns the new version.
func (r *readerRole) putLease(ctx context.Context, version int64) (int64, error) {
	config := r.node.config
	r.renewals++
	value, err := proto.Marshal(&lapisv1.SeatLease{
		Holder: config.Node, Address: config.Address, Epoch: r.vacancy.Epoch,
		Zone: config.Zone, Region: config.Region, Renewals: r.renewals,
	})
	if err != nil {
		return 0, result.Wrap(result.PlatformBadAnswer, err, "encoding %s", r.vacancy.Seat)
	}
	return config.Store.Put(ctx, r.vacancy.Seat, value, version)
}

// acquire writes the seat and reports whether this node holds it. When the answer to the write was
// lost, it reads the seat to determine whether the write took effect.
func (r *readerRole) acquire(ctx context.Context) bool {
	sentAt := boottime.Now()
	version, err := r.putLease(ctx, r.vacancy.Version)
	if result.Is(err, result.PlatformUnavailable) {
		version, err = r.readBack(ctx)
	}
	if err != nil {
		// Usually another daemon took the seat first; this node continues as a child.
		r.node.logStoreError("acquiring "+r.vacancy.Seat, err)
		return false
	}
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	r.node.lease = seat.NewLease(r.node.config.Tunables.SeatLease.Get())
	r.node.lease.Acquired(sentAt, version)
	r.node.markStoreReachable(sentAt)
	return true
}

// readBack returns the version of the seat if this node holds it with the current epoch. Errors:
// DistributionSeatLost, platform codes.
func (r *readerRole) readBack(ctx context.Context) (int64, error) {
	object, err := r.node.config.Store.Get(ctx, r.vacancy.Seat)
	if err != nil {
		return 0, err
	}
	lease := &lapisv1.SeatLease{}
	if err := proto.Unmarshal(object.Value, lease); err != nil {
		return 0, result.Wrap(result.PlatformBadAnswer, err, "decoding %s", object.Key)
	}
	if lease.GetHolder() != r.node.config.Node || lease.GetEpoch() != r.vacancy.Epoch {
		return 0, result.Errorf(result.DistributionSeatLost, "%s is held by %s", object.Key, lease.GetHolder())
	}
	return object.Version, nil
}

// renew renews the lease until the seat is lost. While the object API does not respond the node
// stays a reader with a suspended lease, because no other daemon can take the seat during the
// outage either.
func (r *readerRole) renew(ctx context.Context) error {
	for {
		if !sleep.For(ctx, seat.RenewAfter(r.node.config.Tunables.SeatLease.Get(), rand.Float64())) {
			return ctx.Err()
		}
		if r.node.isStopping() {
			return result.Errorf(result.DistributionSeatLost, "planned stop")
		}
		if err := r.renewOnce(ctx); err != nil {
			return err
		}
	}
}

// renewOnce renews the lease once and returns an error only when the seat is lost. The lease is
// counted from the time before the write was sent.
func (r *readerRole) renewOnce(ctx context.Context) error {
	r.node.mutex.Lock()
	version := r.node.lease.Version()
	r.node.mutex.Unlock()
	sentAt := boottime.Now()
	renewed, err := r.putLease(ctx, version)
	if result.Is(err, result.PlatformConflict) {
		renewed, err = r.readBack(ctx)
	}
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	switch {
	case err == nil:
		r.node.lease.Renewed(sentAt, renewed)
		return nil
	case seatLost(err):
		r.node.lease.Lost()
		return err
	default:
		// The object API may be down. The lease becomes suspended when it lapses.
		r.node.logStoreError("renewing "+r.vacancy.Seat, err)
		r.node.lease.State(boottime.Now())
		return nil
	}
}

// seatLost reports whether the error of a renewal proves that this node no longer holds the seat:
// the seat has another holder or epoch, or its object was deleted. Other errors prove nothing, and
// no other daemon can take the seat while the object API is unavailable.
func seatLost(err error) bool {
	return result.Is(err, result.DistributionSeatLost) || result.Is(err, result.PlatformNotFound)
}

func (n *Node) isStopping() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.stopping
}

// release releases the seat at a planned stop, so that another daemon can take it before the lease
// lapses.
func (r *readerRole) release() {
	if !r.node.isStopping() {
		return
	}
	r.node.mutex.Lock()
	version, ok := r.node.lease.MayWrite(boottime.Now())
	r.node.lease.Released()
	r.node.mutex.Unlock()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value, err := proto.Marshal(&lapisv1.SeatLease{Epoch: r.vacancy.Epoch, Zone: r.node.config.Zone})
	if err == nil {
		_, err = r.node.config.Store.Put(ctx, r.vacancy.Seat, value, version)
	}
	if err != nil {
		// The seat becomes vacant anyway when the lease lapses.
		r.node.logStoreError("releasing "+r.vacancy.Seat, err)
	}
}
