package tree

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// readerRole is the work of a node while it holds a seat.
type readerRole struct {
	node    *Node
	vacancy seat.Vacancy
	log     *changelog.Log
	// renewals counts the writes of the seat, so that each one differs from the last.
	renewals uint64
}

// runReader takes the seat and serves as reader until the seat is lost or ctx ends.
func (n *Node) runReader(ctx context.Context, vacancy seat.Vacancy) {
	role := &readerRole{node: n, vacancy: vacancy, log: changelog.New(n.config.Store, time.Now)}
	if !role.acquire(ctx) {
		return
	}
	n.config.Logger.Info("seat.taken", "seat", vacancy.Seat, "epoch", vacancy.Epoch)
	n.becomeReader()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return role.renew(groupCtx) })
	group.Go(func() error { return role.follow(groupCtx) })
	group.Go(func() error { return n.keepMesh(groupCtx) })
	group.Go(func() error { return role.reportStatus(groupCtx) })
	group.Go(func() error { return role.followMachines(groupCtx) })
	group.Go(func() error { return role.maintain(groupCtx) })
	err := group.Wait()
	n.config.Logger.Info("seat.left", "seat", vacancy.Seat, "cause", err)
	n.ceaseReader()
	role.release()
}

func (n *Node) becomeReader() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = true
	n.setPath([]string{n.config.Node})
	n.startFloorRead()
}

func (n *Node) ceaseReader() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = false
	n.leaving = map[string]bool{}
	n.abortFloorRead()
	n.setPath(nil)
}

// Intervals of a reader's periodic work.
const (
	// offerInterval is the time between two offers of vacant seats. It adds to the
	// time for which a zone with one reader left has no second one.
	offerInterval = time.Second
	// compactInterval is the time between two compactions of the log by the one
	// reader that does them.
	compactInterval = 30 * time.Second
)

// reportStatus writes the subtree's status under the lease.
func (r *readerRole) reportStatus(ctx context.Context) error {
	var written []byte
	for {
		if !sleep.For(ctx, r.node.config.Tunables.StatusInterval.Get()) {
			return ctx.Err()
		}
		report, version, ok := r.node.statusToWrite(boottime.Now())
		if !ok || bytes.Equal(report, written) {
			continue
		}
		if err := r.node.config.Store.PutStatus(ctx, r.vacancy.Seat, report, version); err != nil {
			// Tried again at the next interval; the lease decides whether this node may write at all.
			r.node.logStoreError("writing the status", err)
			continue
		}
		written = report
	}
}

// statusToWrite returns the subtree's status with the version that its write must name;
// ok is false while the lease does not allow writing.
func (n *Node) statusToWrite(now time.Time) (report []byte, version int64, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	version, ok = n.lease.MayWrite(now)
	if !ok {
		return nil, 0, false
	}
	report, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.report())
	if err != nil {
		n.logStoreError("encoding the status", err)
		return nil, 0, false
	}
	return report, version, true
}

// followMachines reads the zone's machine list at each MachinesInterval.
func (r *readerRole) followMachines(ctx context.Context) error {
	for {
		machines, err := r.node.config.Store.Machines(ctx, r.node.config.Zone)
		if err != nil {
			// What the last list said stays in force until the next one is read.
			r.node.logStoreError("reading the machine list", err)
		} else {
			r.node.reconcileMachines(machines)
		}
		if !sleep.For(ctx, around(r.node.config.Tunables.MachinesInterval.Get())) {
			return ctx.Err()
		}
	}
}

// maintain offers vacant seats, sends children of other zones home and, on one reader
// of all, compacts the log.
func (r *readerRole) maintain(ctx context.Context) error {
	nextCompaction := boottime.Now().Add(compactInterval)
	for {
		if !sleep.For(ctx, around(offerInterval)) {
			return ctx.Err()
		}
		now := boottime.Now()
		r.node.offerVacancies(now)
		r.node.sendHome(now)
		if now.After(nextCompaction) {
			nextCompaction = now.Add(compactInterval)
			r.compact(ctx, now)
		}
	}
}

// compact runs the compaction on the holder of the first seat.
func (r *readerRole) compact(ctx context.Context, now time.Time) {
	r.node.mutex.Lock()
	holders := r.node.seats.Holders(seat.Prefix, now)
	first := len(holders) > 0 && holders[0].Peer.GetNode() == r.node.config.Node
	r.node.mutex.Unlock()
	if !first {
		return
	}
	if err := r.log.Compact(ctx); err != nil {
		r.node.config.Logger.Info("log.compaction_failed", "error", err)
	}
}

// around returns a random time within a tenth of interval, so that the readers of a
// site do not ask the object API at the same moment.
func around(interval time.Duration) time.Duration { return interval*9/10 + rand.N(interval/5) }
