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

// releaseTimeout bounds giving the seat back at a planned stop. A seat that is not given back is
// free SeatLease after its last renewal.
const releaseTimeout = 2 * time.Second

// putLease writes the seat if its version is still the one given, and returns the new version.
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

// acquire writes the seat and reports whether this node holds it. When the answer
// was lost it reads the seat to see whether the write took effect.
func (r *readerRole) acquire(ctx context.Context) bool {
	sentAt := boottime.Now()
	version, err := r.putLease(ctx, r.vacancy.Version)
	if result.Is(err, result.PlatformUnavailable) {
		version, err = r.readBack(ctx)
	}
	if err != nil {
		// Mostly another daemon was first; the node goes on as a child.
		r.node.logStoreError("taking "+r.vacancy.Seat, err)
		return false
	}
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	r.node.lease = seat.NewLease(r.node.config.Tunables.SeatLease.Get())
	r.node.lease.Acquired(sentAt, version)
	r.node.markStoreReachable(sentAt)
	return true
}

// readBack returns the version of the seat when this node holds it with the
// present epoch. Errors: DistributionSeatLost, platform codes.
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

// renew keeps the lease until it is taken over. While the object API does not answer the node
// stays reader, suspended: nobody else can take the seat then either.
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

// renewOnce writes the seat once and returns an error only when the seat is lost. The lease
// counts from before the write was sent.
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
		r.node.lease.Taken()
		return err
	default:
		// The object API may be out. The lease becomes suspended when it lapses.
		r.node.logStoreError("renewing "+r.vacancy.Seat, err)
		r.node.lease.State(boottime.Now())
		return nil
	}
}

// seatLost reports whether a renewal that ended with err shows that the seat is no longer this
// node's: another holder or epoch is in it, or its object is gone. Any other failure leaves the
// question open, and nobody else could take the seat without the object API either.
func seatLost(err error) bool {
	return result.Is(err, result.DistributionSeatLost) || result.Is(err, result.PlatformNotFound)
}

func (n *Node) isStopping() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.stopping
}

// release gives the seat back at a planned stop, so that another daemon need
// not wait for the lease to lapse.
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
		// The seat is free all the same when the lease has lapsed.
		r.node.logStoreError("giving back "+r.vacancy.Seat, err)
	}
}
