package tree

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/distribution/changelog"
	"github.com/lapisvane/lapisvane/internal/distribution/holdings"
	"github.com/lapisvane/lapisvane/internal/distribution/objectapi"
	"github.com/lapisvane/lapisvane/internal/distribution/seat"
	"github.com/lapisvane/lapisvane/internal/model/meshconfig"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/shared/sleep"
)

// Bounds of the delay before a reader reopens its watch of the object API after a failure. The
// maximum must be shorter than the seat lease, so that a reader reconnects in time to renew.
const (
	watchBackoffMin = 100 * time.Millisecond
	watchBackoffMax = 3 * time.Second
)

// follow watches the accept register and the seats, and reopens the watch when it ends.
func (r *readerRole) follow(ctx context.Context) error {
	backoff := watchBackoffMin
	for ctx.Err() == nil {
		started := boottime.Now()
		err := r.followOnce(ctx)
		r.node.markStoreUnreachable()
		r.node.config.Logger.V(1).Info("reader.watch_ended", "cause", err)
		if boottime.Since(started) > watchBackoffMax {
			backoff = watchBackoffMin
		}
		if !sleep.For(ctx, backoff/2+rand.N(backoff)) {
			break
		}
		backoff = min(2*backoff, watchBackoffMax)
	}
	return ctx.Err()
}

// followOnce reads the seats and the accept register, then watches both from the version of the
// list until the watch ends or a request fails. It returns the error that ended it.
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

// readEvents reads watch in a goroutine that ends with ctx or with the watch. The error that ended
// the watch is sent to failed.
func readEvents(ctx context.Context, watch objectapi.Watch) (events <-chan objectapi.Event, failed <-chan error) {
	read := make(chan objectapi.Event)
	ended := make(chan error, 1)
	go func() {
		for {
			event, err := watch.Next()
			if err != nil {
				ended <- err
				return
			}
			select {
			case read <- event:
			case <-ctx.Done():
				return
			}
		}
	}()
	return read, ended
}

// consume handles watch events and merges revisions that arrive in quick succession.
func (r *readerRole) consume(ctx context.Context, watch objectapi.Watch) error {
	events, failed := readEvents(ctx, watch)
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

// handleEvent handles one watch event and returns the new state if the event changed it.
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

// adoptState replaces the holdings with the accepted state, publishes it and sends it to the
// children.
func (n *Node) adoptState(state *meshconfig.State) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	all := holdings.Interest{All: true}
	if state.Revision == n.holdings.Revision() && n.holdings.Interest().All {
		return
	}
	if err := n.holdings.Apply(updateTo(state, n.holdings), all); err != nil {
		n.config.Logger.Error(err, "reader.state_refused", "revision", state.Revision)
		return
	}
	n.publish()
	n.wakeChildren()
}

// updateTo returns the update that changes held to the complete state.
func updateTo(state *meshconfig.State, held *holdings.Holdings) *lapisv1.Update {
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
	for service := range held.Bundles(holdings.Interest{All: true}) {
		if _, present := state.Bundles[service]; !present {
			removal := &lapisv1.EncodedBundle{Service: service, Removed: true, ChangedRevision: state.Revision}
			update.Bundles = append(update.Bundles, removal)
		}
	}
	return update
}

// debounce merges changes that arrive in quick succession: it is due after a quiet period since the
// last change, but no later than a maximum time after the first.
type debounce struct {
	quiet, max time.Duration
	first      time.Time
	timer      *time.Timer
}

func newDebounce(quiet, max time.Duration) *debounce {
	return &debounce{quiet: quiet, max: max}
}

// changed records a change and schedules due: after the quiet period, but no later than the maximum
// time after the first unhandled change.
func (d *debounce) changed(now time.Time) {
	if d.first.IsZero() {
		d.first = now
	}
	wait := min(d.quiet, d.first.Add(d.max).Sub(now))
	if d.timer != nil {
		d.timer.Stop()
	}
	d.timer = time.NewTimer(max(wait, 0))
}

// due returns a channel that receives a value when the changes must be handled, nil when there are
// none.
func (d *debounce) due() <-chan time.Time {
	if d.timer == nil {
		return nil
	}
	return d.timer.C
}

// reset records that all changes were handled.
func (d *debounce) reset() {
	d.first = time.Time{}
	d.timer = nil
}
