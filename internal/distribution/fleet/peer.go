package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maxMembers bounds the daemons that are remembered, so that a directory full of junk
// cannot use up the memory. It must be larger than any fleet.
const maxMembers = 32768

// peer is what is known of another daemon; Fleet.mutex protects its fields.
//
// Its state is not a state machine, because three parties change it independently: the
// choice of links (stopMaintaining), the link's goroutine (connected, displacedAt) and the
// watch for stalled links (stalled).
type peer struct {
	Member
	// stopMaintaining ends the goroutine that keeps a link to the peer; nil while the peer
	// is not chosen. maintainedSince is when that goroutine was started.
	stopMaintaining context.CancelFunc
	maintainedSince time.Time
	// link is the outbound link, open while connected is true. stalled is true while the
	// peer does not answer on it.
	link               callmux.Link
	connected, stalled bool
	// generation numbers the dials; an announcement that arrives late on an earlier link is
	// dropped.
	generation uint64
	// lostAt is when the last link ended or, before the first, when the peer became known.
	lostAt       time.Time
	announcement *lapisv1.Announcement
	// revision is the newest revision of the configuration that the peer said it has in force.
	revision uint64
	// dialNow asks for a link to be dialed at once, ordersChanged for the orders to be
	// sent on the open one.
	dialNow, ordersChanged chan struct{}
	pendingSuspects        pendingSuspects
	pendingRollouts        pendingRollouts
	// displacedAt is when another daemon was found at the address, zero while none was.
	displacedAt time.Time
	// listed is the directory's entry where it differs from the address at which the peer is
	// connected, else nil.
	listed *Member
	// withdrawn are the peer's instances that it said left for good, in any incarnation,
	// with the time when it last said so.
	withdrawn map[string]time.Time
	// allowanceOnly is true while the peer is chosen because it owns allowances, and not for calls:
	// else all daemons would send calls to the instances beside the few owners.
	allowanceOnly bool
}

func newPeer(now time.Time) *peer {
	return &peer{
		dialNow: make(chan struct{}, 1), ordersChanged: make(chan struct{}, 1),
		pendingSuspects: newPendingSuspects(), pendingRollouts: newPendingRollouts(), withdrawn: map[string]time.Time{}, lostAt: now,
	}
}

// findOrAddPeer returns the peer of a member's name, a new one if it was not known; nil for
// an entry that names no daemon, this daemon, or an earlier owner of this daemon's address,
// and for a new name beyond maxMembers. The caller holds mutex.
func (f *Fleet) findOrAddPeer(member Member) *peer {
	if member.Node == "" || member.Address == "" {
		return nil
	}
	if member.Node == f.config.Self.Node || member.Address == f.config.Self.Address {
		return nil
	}
	if known, ok := f.peers[member.Node]; ok {
		return known
	}
	if len(f.peers) >= maxMembers {
		return nil
	}
	known := newPeer(boottime.Now())
	f.peers[member.Node] = known
	f.config.Logger.V(1).Info("fleet.member_known", "member", member.Node, "address", member.Address, "zone", member.Zone)
	signal(f.reportDue)
	f.move(known, member)
	f.allowanceMember(member.Node)
	return known
}

// Connected returns the number of daemons that calls can be sent to.
func (f *Fleet) Connected() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, peer := range f.peers {
		if peer.connected {
			count++
		}
	}
	return count
}

// Known returns the number of other daemons known.
func (f *Fleet) Known() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.peers)
}

// ZoneKnown reports whether a daemon of a zone is known, this one included.
func (f *Fleet) ZoneKnown(zone string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.Zone == zone {
			return true
		}
	}
	return f.config.Self.Zone == zone
}

// Stalled records that the daemon at an address stopped answering on its open link
// (stalled is true) or answers again.
func (f *Fleet) Stalled(address string, stalled bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.Address != address || peer.stalled == stalled {
			continue
		}
		peer.stalled = stalled
		f.config.Logger.Info("fleet.stalled", "member", peer.Node, "stalled", stalled)
		signal(f.reportDue)
	}
}

// recordWithdrawn records which instances a peer says left for good, and forgets those
// that it has not named for withdrawnMemory; Fleet.mutex is held.
func (p *peer) recordWithdrawn(instances []string, now time.Time) {
	for _, instance := range instances {
		p.withdrawn[instance] = now
	}
	maps.DeleteFunc(p.withdrawn, func(_ string, said time.Time) bool { return now.Sub(said) > withdrawnMemory })
}

// recordRevision records what a daemon has in force; the caller holds mutex.
func (f *Fleet) recordRevision(peer *peer, revision uint64) {
	peer.revision = max(peer.revision, revision)
	if revision > f.revision() {
		signal(f.catchUpDue)
	}
}
