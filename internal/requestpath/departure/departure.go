// Package departure decides what a daemon may conclude about an instance that it doesn't know.
//
// An instance that leaves for good is acknowledged, and gets no calls from then on. Its daemon may end
// right after that, alone or together with all others, and heartbeats that the instance sent before it
// left may arrive seconds late. A daemon that has just started therefore cannot tell by heartbeats
// alone whether the instance is in service. Departures are kept in a Store that outlasts all daemons:
// a daemon acknowledges a departure once it is stored, and a later process of the daemon reads the
// stored ones once, early (History).
//
// A store that was restored from a backup lacks what was stored since. A process that starts shortly after that
// takes an unknown instance for one that may have left, until other daemons have had the time to name what they
// know of earlier processes.
//
// A read of the Store that began after the start of a process contains each departure that an earlier
// process of its daemon acknowledged, whichever daemon made the read. So daemons that start together
// share one read, and a daemon that the store refuses may use the read of another one.
//
// The package holds the rules, which are pure, the history, and the heartbeats of instances of which
// nothing is known (Candidates). It does no I/O except through Store. Its values are safe for
// concurrent use.
//
// Growth: one write for each departure, and at most one read for each start of a daemon, of one page
// of a list; of two if more instances of the fleet left within TTL than fit on a page. Stored
// departures are removed once they are older than TTL, by daemons that store others, so their number
// follows the departures of the last TTL and not the age of the fleet.
package departure

import (
	"context"
	"slices"
	"time"
)

const (
	// TTL is how long a departure is remembered. It must be longer than the longest delay of a
	// heartbeat, because a delayed heartbeat must not bring the instance back.
	TTL = 10 * time.Minute
	// StoreTimeout limits the store's part in the answer to an instance. Instances take an answer
	// within one second.
	StoreTimeout = 800 * time.Millisecond
	// continuationTime is how long the heartbeats of an instance must have continued, counted from the
	// first one, to register it although the store doesn't answer. It is below one heartbeat interval
	// (1.5 s), so that the second heartbeat registers the instance: an instance that left sends no further
	// heartbeats, and neither one that was delayed nor several that arrive together suffice. Waiting for the
	// third one as well left the instances of restarted daemons without calls for 3.0 to 4.1 s.
	continuationTime = time.Second
	// CallsPerSecond and CallBurst limit the writes of one daemon for departures, and its reads, so that a
	// client that sends messages of invented instances cannot use up the calls of the store, which all
	// daemons share. An instance causes one call per heartbeat (1.5 s) at most; a machine has one, or a
	// few while one replaces another.
	CallsPerSecond = 2
	CallBurst      = 16
	// RestoredPeriod is how long the listings of a store that was restored from a backup count as lacking departures.
	// It must be longer than retryMax, the longest wait until a daemon stores a lost departure again, and than
	// heartbeats are late (seconds), with some seconds for the difference between the clocks of two machines.
	RestoredPeriod = 40 * time.Second
	// doubtPeriod is how long after its start a process doubts such a listing. Each daemon that knows of a departure
	// names it when it links to this one. It must be longer than the first links take: fleet.reconnectMax between two
	// dials, fleet.connectTimeout, and fleet.directoryRetryMax where the directory refuses.
	doubtPeriod = 5 * time.Second
	// sweepInterval is the mean number of departures that this daemon stores between two sweeps, and
	// maxSwept is the maximum number of expired ones that one sweep removes. maxSwept must be larger than
	// sweepInterval, so that more are removed than added.
	sweepInterval = 8
	maxSwept      = 16
)

// Store keeps departures beyond the lifetime of all daemons. An error leaves unknown whether the
// operation took effect; repeating it is safe. It is safe for concurrent use.
type Store interface {
	// Save stores that an instance beside this daemon, given by the name of its incarnation, has left
	// for good.
	Save(ctx context.Context, instance string) error
	// List returns the departures that are not older than TTL. It includes each one that was stored
	// before the call, unless the store has lost it (Listing.RestoredLately).
	List(ctx context.Context) (Listing, error)
	// Expired returns departures that are older than TTL, on one page of a list that begins after that
	// of an instance, or with the first if it is empty, and may be some seconds old.
	Expired(ctx context.Context, after string) ([]Stored, error)
	// Remove removes a departure unless it was stored again since.
	Remove(ctx context.Context, departure Stored) error
}

// Stored identifies one version of a stored departure. Name is its name in the store.
type Stored struct {
	Name     string
	Revision uint64
}

// Listing holds stored departures.
type Listing struct {
	// Instances are the names of the instances that left, by the node of the daemon beside them. Those
	// under the empty name may have been beside any daemon.
	Instances map[string][]string
	// Node is the only node for which the listing is complete; empty if it is complete for all.
	Node string
	// RestoredLately is true if the store was restored from a backup less than RestoredPeriod before. Departures that
	// were stored after that backup was taken are missing until a daemon that knows them has stored them again.
	RestoredLately bool
}

// of returns the instances that left beside a daemon, and whether the listing is complete for it.
func (l Listing) of(node string) (instances []string, complete bool) {
	if l.Node != "" && l.Node != node {
		return nil, false
	}
	return slices.Concat(l.Instances[node], l.Instances[""]), true
}

// IsRequired reports whether an unknown instance may register only if its departure is known not to be
// stored. uptime is the age of this process. A departure that an earlier process acknowledged is older
// than uptime, and so are the heartbeats that the instance sent before it left.
//
// The start that an instance states does not matter. Its age and uptime are differences of wall-clock
// times, and after the clock was set back by seconds an instance that left seems younger than the
// process that receives its first heartbeat late.
func IsRequired(uptime time.Duration) bool { return uptime < TTL }

// SweepsAfterSave reports whether to sweep after storing a departure; random is between 0 and 1.
func SweepsAfterSave(random float64) bool { return random < 1.0/sweepInterval }

// Sweep removes expired departures from one page of the list (Store.Expired).
func Sweep(ctx context.Context, store Store, after string) error {
	expired, err := store.Expired(ctx, after)
	if err != nil {
		return err
	}
	for _, departure := range expired[:min(len(expired), maxSwept)] {
		if err := store.Remove(ctx, departure); err != nil {
			return err
		}
	}
	return nil
}
