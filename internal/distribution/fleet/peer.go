package fleet

import (
	"context"
	"maps"
	"time"

	"github.com/lapisvane/lapisvane/api/lapisv1"
	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// maxMembers bounds the number of recorded daemons, so that invalid directory entries cannot
// exhaust the memory. It must be larger than any fleet.
const maxMembers = 32768

// peer is the record of another daemon; Fleet.mutex protects its fields except name, nameHash
// and the channels.
//
// It has no single state machine, because three parties change it independently: the link choice
// (stopMaintaining), the link's goroutine (connected, displacedAt) and the detection of stalled
// links (stalled).
type peer struct {
	// name is the peer's name. It never changes, so that it may be read without holding Fleet.mutex,
	// unlike Member, which updateMember replaces as a whole.
	name string
	// nameHash is the hash of the name for nameDigests. It never changes either.
	nameHash uint64
	Member
	// stopMaintaining ends the goroutine that keeps a link to the peer. It is nil while the peer is
	// not chosen. maintainedSince is when that goroutine was started.
	stopMaintaining context.CancelFunc
	maintainedSince time.Time
	// link is the outbound link, open while connected is true. stalled is true while the peer does
	// not answer on it.
	link               callmux.Link
	connected, stalled bool
	// generation counts the dials. An announcement that arrives late on an earlier link is dropped.
	generation uint64
	// lostAt is when the last link ended or, before the first link, when the peer became known.
	lostAt       time.Time
	announcement *lapisv1.Announcement
	// revision is the newest configuration revision that the peer stated to have in force.
	revision uint64
	// confirmsAhead is true while the peer states times by which its confirmations would be later than this
	// daemon's clock.
	confirmsAhead bool
	// lastLink describes the open link, or the last one.
	lastLink endedLink
	// dialNow requests an immediate dial, ordersChanged that the orders be sent on the open link.
	dialNow, ordersChanged chan struct{}
	pendingSuspects        pendingSuspects
	pendingRollouts        pendingRollouts
	// displacedAt is when another daemon was found at the peer's address, zero if none was.
	displacedAt time.Time
	// listedMember is the directory's entry if it differs from the member data of the open
	// connection, else nil.
	listedMember *Member
	// withdrawn holds the instances that the peer, in any incarnation, reported as gone for good,
	// with the time of the last report.
	withdrawn map[string]time.Time
	// allowanceOnly is true while the peer is chosen only because it owns allowances. Its instances
	// then get no calls from here; otherwise all daemons would send calls to the instances of the
	// few owners.
	allowanceOnly bool
}

func newPeer(name string, now time.Time) *peer {
	return &peer{
		name: name, nameHash: hashName(name),
		dialNow: make(chan struct{}, 1), ordersChanged: make(chan struct{}, 1),
		pendingSuspects: newPendingSuspects(), pendingRollouts: newPendingRollouts(), withdrawn: map[string]time.Time{}, lostAt: now,
	}
}

// findOrAddPeer returns the peer with a member's name, adding it if necessary. It returns nil for
// an entry without a name or address, for this daemon, for a former owner of this daemon's address,
// and for a new name beyond maxMembers. The caller holds mutex.
func (f *Fleet) findOrAddPeer(member Member) *peer {
	if member.Node == "" || member.Address == "" {
		return nil
	}
	if member.Node == f.config.Self.Node || member.Address == f.config.Self.Address {
		return nil
	}
	if peer, ok := f.peers[member.Node]; ok {
		return peer
	}
	if len(f.peers) >= maxMembers {
		return nil
	}
	peer := newPeer(member.Node, boottime.Now())
	f.peers[member.Node] = peer
	f.config.Logger.V(1).Info("fleet.member_known", "member", member.Node, "address", member.Address, "zone", member.Zone)
	signal(f.reportDue)
	f.updateMember(peer, member)
	f.allowanceMember(member.Node)
	return peer
}

// ConnectedMembers returns the number of daemons that calls can be sent to.
func (f *Fleet) ConnectedMembers() int {
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

// KnownMembers returns the number of other known daemons.
func (f *Fleet) KnownMembers() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.peers)
}

// ZoneKnown reports whether any known daemon, including this one, is in a zone.
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

// SetStalled records that the daemon at an address stopped answering on its open link (stalled is
// true) or answers again.
func (f *Fleet) SetStalled(address string, stalled bool) {
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

// recordWithdrawn records the instances that a peer reports as gone for good, and drops those that
// it has not reported for withdrawnTTL; Fleet.mutex is held.
func (p *peer) recordWithdrawn(instances []string, now time.Time) {
	for _, instance := range instances {
		p.withdrawn[instance] = now
	}
	maps.DeleteFunc(p.withdrawn, func(_ string, lastNamedAt time.Time) bool { return now.Sub(lastNamedAt) > withdrawnTTL })
}

// recordRevision records a revision that a daemon has in force; the caller holds mutex.
func (f *Fleet) recordRevision(peer *peer, revision uint64) {
	peer.revision = max(peer.revision, revision)
	if revision > f.revision() {
		signal(f.catchUpDue)
	}
}
