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

// readerRole performs the work of a node while it holds a seat.
type readerRole struct {
	node    *Node
	vacancy seat.Vacancy
	log     *changelog.Log
	// renewals counts the writes of the seat, so that each value written differs from the previous
	// one.
	renewals uint64
}

// runReader acquires the seat and runs the node as a reader until the seat is lost or ctx ends.
func (n *Node) runReader(ctx context.Context, vacancy seat.Vacancy) {
	role := &readerRole{node: n, vacancy: vacancy, log: changelog.New(n.config.Store, time.Now)}
	if !role.acquire(ctx) {
		return
	}
	n.config.Logger.Info("seat.taken", "seat", vacancy.Seat, "epoch", vacancy.Epoch)
	n.enterReaderRole()
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return role.renew(groupCtx) })
	group.Go(func() error { return role.follow(groupCtx) })
	group.Go(func() error { return n.keepMesh(groupCtx) })
	group.Go(func() error { return role.reportStatus(groupCtx) })
	group.Go(func() error { return role.followMachines(groupCtx) })
	group.Go(func() error { return role.maintain(groupCtx) })
	err := group.Wait()
	n.config.Logger.Info("seat.left", "seat", vacancy.Seat, "cause", err)
	n.leaveReaderRole()
	role.release()
}

// enterReaderRole makes this node the root of its own path and starts a floor read if a request is
// pending.
func (n *Node) enterReaderRole() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = true
	n.setPath([]string{n.config.Node})
	n.startFloorRead()
}

// leaveReaderRole clears the path and the list of leaving machines, and aborts a floor read, whose
// requests stay pending.
func (n *Node) leaveReaderRole() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.reader = false
	n.leavingMachines = map[string]bool{}
	n.abortFloorRead()
	n.setPath(nil)
}

// Intervals of the periodic work of a reader.
const (
	// offerInterval is the time between two offers of vacant seats. It adds to the time during
	// which a zone that lost one of its readers has a vacant seat.
	offerInterval = time.Second
	// compactInterval is the time between two compactions of the log, which a single reader
	// performs.
	compactInterval = 30 * time.Second
)

// reportStatus periodically writes the status of the subtree to the seat while the lease permits
// it.
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
			// Retried at the next interval, if the lease still permits the write.
			r.node.logStoreError("writing the status", err)
			continue
		}
		written = report
	}
}

// statusToWrite returns the status of the subtree and the seat version that the write must match;
// ok is false while the lease does not permit writing.
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

// followMachines reads the zone's machine list every MachinesInterval.
func (r *readerRole) followMachines(ctx context.Context) error {
	for {
		machines, err := r.node.config.Store.Machines(ctx, r.node.config.Zone)
		if err != nil {
			// The previous list stays in effect until the next successful read.
			r.node.logStoreError("reading the machine list", err)
		} else {
			r.node.reconcileMachines(machines)
		}
		if !sleep.For(ctx, jittered(r.node.config.Tunables.MachinesInterval.Get())) {
			return ctx.Err()
		}
	}
}

// maintain offers vacant seats, redirects children of other zones to their zone and, on a single
// reader, compacts the log.
func (r *readerRole) maintain(ctx context.Context) error {
	nextCompaction := boottime.Now().Add(compactInterval)
	for {
		if !sleep.For(ctx, jittered(offerInterval)) {
			return ctx.Err()
		}
		now := boottime.Now()
		r.node.offerVacancies(now)
		r.node.redirectToHomeZone(now)
		if now.After(nextCompaction) {
			nextCompaction = now.Add(compactInterval)
			r.compact(ctx, now)
		}
	}
}

// compact compacts the log if this node holds the first seat, so that only one of all readers does
// it.
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

// jittered returns a random time within 10% of interval, so that the readers of a site do not query
// the object API at the same time.
func jittered(interval time.Duration) time.Duration {
	jitter := interval / jitterDivisor
	return interval - jitter + rand.N(2*jitter+1)
}

// jitterDivisor is the inverse of the jitter as a fraction of the interval.
const jitterDivisor = 10
