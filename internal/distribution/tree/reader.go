package tree

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/result"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Times of a reader.
const (
	renewalsPerLease = 3
	// sourceBackoffMin and sourceBackoffMax bound the wait before a reader
	// tries the object API again after a failure.
	sourceBackoffMin = 100 * time.Millisecond
	sourceBackoffMax = 3 * time.Second
	offerInterval    = time.Second
	compactInterval  = 30 * time.Second
	releaseTimeout   = 2 * time.Second
)

// readerRole is the work of a node while it holds a seat.
type readerRole struct {
	node    *Node
	vacancy seat.Vacancy
	log     *changelog.Log
	renewed uint64
}

// runReader takes the seat and serves as reader until the seat is lost or ctx
// ends.
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
	group.Go(func() error { return role.keepHouse(groupCtx) })
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

func (r *readerRole) leaseValue() []byte {
	config := r.node.config
	r.renewed++
	value, _ := proto.Marshal(&lapisv1.SeatLease{
		Holder: config.Node, Address: config.Address, Epoch: r.vacancy.Epoch,
		Zone: config.Zone, Region: config.Region, Renewals: r.renewed,
	})
	return value
}

// acquire writes the seat. An answer that was lost is settled by reading back.
func (r *readerRole) acquire(ctx context.Context) bool {
	sentAt := boottime.Now()
	version, err := r.node.config.Store.Put(ctx, r.vacancy.Seat, r.leaseValue(), r.vacancy.Version)
	if result.Is(err, result.PlatformUnavailable) {
		version, err = r.readBack(ctx)
	}
	if err != nil {
		return false
	}
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	r.node.lease = seat.NewLease(r.node.config.Tunables.SeatLease.Get())
	r.node.lease.Acquired(sentAt, version)
	r.node.sawSource(sentAt)
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

// renew keeps the lease until it is taken over. While the object API does not
// answer the node stays reader, suspended: nobody else can take the seat then
// either.
func (r *readerRole) renew(ctx context.Context) error {
	interval := r.node.config.Tunables.SeatLease.Get() / renewalsPerLease
	for {
		if !sleep.For(ctx, interval*9/10+rand.N(interval/10)) {
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

func (r *readerRole) renewOnce(ctx context.Context) error {
	r.node.mutex.Lock()
	version := r.node.lease.Version()
	r.node.mutex.Unlock()
	sentAt := boottime.Now()
	renewed, err := r.node.config.Store.Put(ctx, r.vacancy.Seat, r.leaseValue(), version)
	if result.Is(err, result.PlatformConflict) {
		renewed, err = r.readBack(ctx)
	}
	r.node.mutex.Lock()
	defer r.node.mutex.Unlock()
	switch {
	case err == nil:
		r.node.lease.Renewed(sentAt, renewed)
		return nil
	case result.Is(err, result.DistributionSeatLost) || result.Is(err, result.PlatformNotFound):
		r.node.lease.Taken()
		return err
	default:
		// The state moves to suspended when the deadline passes.
		r.node.lease.State(boottime.Now())
		return nil
	}
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
	value, _ := proto.Marshal(&lapisv1.SeatLease{Epoch: r.vacancy.Epoch, Zone: r.node.config.Zone})
	_, _ = r.node.config.Store.Put(ctx, r.vacancy.Seat, value, version)
}

// follow keeps up with the accept register and the seats by a watch.
func (r *readerRole) follow(ctx context.Context) error {
	backoff := sourceBackoffMin
	for ctx.Err() == nil {
		started := boottime.Now()
		err := r.followOnce(ctx)
		r.node.lostSource()
		r.node.config.Logger.V(1).Info("reader.watch_ended", "cause", err)
		if boottime.Since(started) > sourceBackoffMax {
			backoff = sourceBackoffMin
		}
		if !sleep.For(ctx, backoff/2+rand.N(backoff)) {
			break
		}
		backoff = min(2*backoff, sourceBackoffMax)
	}
	return ctx.Err()
}

func (r *readerRole) followOnce(ctx context.Context) error {
	list, err := r.node.config.Store.List(ctx, seat.Prefix, "", 0)
	if err != nil {
		return err
	}
	state, err := r.log.Refresh(ctx)
	if err != nil {
		return err
	}
	r.node.observeAllSeats(list.Objects)
	r.node.adoptState(state)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch, err := r.node.config.Store.Watch(watchCtx, []string{changelog.HeadPrefix, seat.Prefix}, list.Version)
	if err != nil {
		return err
	}
	defer watch.Close()
	return r.consume(watchCtx, watch)
}

// consume handles watch events and merges revisions that follow each other
// quickly.
func (r *readerRole) consume(ctx context.Context, watch objectapi.Watch) error {
	events := make(chan objectapi.Event)
	failed := make(chan error, 1)
	go func() {
		for {
			event, err := watch.Next()
			if err != nil {
				failed <- err
				return
			}
			select {
			case events <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	debounce := newDebounce(r.node.config.Tunables.DebounceQuiet.Get(), r.node.config.Tunables.DebounceMax.Get())
	var latest *meshconfig.State
	for {
		select {
		case event := <-events:
			state, err := r.handleEvent(ctx, event)
			if err != nil {
				return err
			}
			if state != nil {
				latest = state
				debounce.changed(boottime.Now())
			}
		case <-debounce.due():
			debounce.reset()
			r.node.adoptState(latest)
		case err := <-failed:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// handleEvent returns the new state when the event brought one.
func (r *readerRole) handleEvent(ctx context.Context, event objectapi.Event) (*meshconfig.State, error) {
	switch {
	case event.Type == objectapi.EventBookmark:
		return nil, nil
	case strings.HasPrefix(event.Object.Key, seat.Prefix):
		r.node.observeSeat(event.Object)
		return nil, nil
	case event.Object.Key == changelog.HeadKey && event.Type == objectapi.EventPut:
		return r.log.Observe(ctx, event.Object)
	default:
		return nil, nil
	}
}

func (n *Node) observeAllSeats(objects []objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.sawSource(now)
	for _, object := range objects {
		n.seats.Observe(object, now)
	}
}

func (n *Node) observeSeat(object objectapi.Object) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	now := boottime.Now()
	n.seats.Observe(object, now)
	n.noteHolders(now)
}

// adoptState takes the accepted state into the holdings.
func (n *Node) adoptState(state *meshconfig.State) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	held := n.holdings
	all := holdings.Interest{All: true}
	if state.Revision == held.Revision() && held.Interest().All {
		return
	}
	update := &lapisv1.Update{
		FromRevision: held.Revision(), ToRevision: state.Revision,
		Full:   held.Revision() == 0 || !held.Interest().All,
		Digest: state.Digest.Bytes(), AcceptedUnixMillis: state.AcceptedUnixMillis,
	}
	for _, encoded := range state.Bundles {
		if update.GetFull() || encoded.GetChangedRevision() > held.Revision() {
			update.Bundles = append(update.Bundles, encoded)
		}
	}
	for service := range held.Bundles(all) {
		if _, present := state.Bundles[service]; !present {
			removal := &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: state.Revision}
			update.Bundles = append(update.Bundles, removal)
		}
	}
	if err := held.Apply(update, all); err != nil {
		n.config.Logger.Error(err, "reader.state_refused", "revision", state.Revision)
		return
	}
	n.publish()
	n.wakeChildren()
}

// reportStatus writes the subtree's status under the lease.
func (r *readerRole) reportStatus(ctx context.Context) error {
	var written []byte
	for {
		if !sleep.For(ctx, r.node.config.Tunables.StatusInterval.Get()) {
			return ctx.Err()
		}
		report, version, ok := r.node.statusToWrite(boottime.Now())
		if !ok || string(report) == string(written) {
			continue
		}
		if err := r.node.config.Store.PutStatus(ctx, r.vacancy.Seat, report, version); err == nil {
			written = report
		}
	}
}

func (n *Node) statusToWrite(now time.Time) (report []byte, version int64, ok bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	version, ok = n.lease.MayWrite(now)
	if !ok {
		return nil, 0, false
	}
	report, err := proto.MarshalOptions{Deterministic: true}.Marshal(n.report())
	return report, version, err == nil
}

// followMachines reads the zone's machine list now and then.
func (r *readerRole) followMachines(ctx context.Context) error {
	for {
		machines, err := r.node.config.Store.Machines(ctx, r.node.config.Zone)
		if err == nil {
			r.node.reconcileMachines(machines)
		}
		interval := r.node.config.Tunables.MachinesInterval.Get()
		if !sleep.For(ctx, interval*9/10+rand.N(interval/5)) {
			return ctx.Err()
		}
	}
}

// keepHouse offers vacant seats and, on one reader of all, compacts the log.
func (r *readerRole) keepHouse(ctx context.Context) error {
	nextCompaction := boottime.Now().Add(compactInterval)
	for {
		if !sleep.For(ctx, offerInterval*9/10+rand.N(offerInterval/5)) {
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
