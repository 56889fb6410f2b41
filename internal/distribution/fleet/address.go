package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// This file decides which address a daemon has. An address belongs to the daemon that answers
// there. Statements about a daemon's address have this order of precedence: its own greeting, the
// directory (seconds old), introductions by other daemons (of any age). The decision depends on the
// statement, its source, and whether the daemon is connected.

// recordHello records the greeting of a daemon that connects to this one. It returns the daemon's
// peer, nil if the daemon is not recorded. The caller holds mutex.
func (f *Fleet) recordHello(member Member) *peer {
	peer := f.findOrAddPeer(member)
	if peer == nil {
		return nil
	}
	peer.listedMember = nil
	peer.displacedAt = time.Time{}
	f.updateMember(peer, member)
	return peer
}

// recordDirectoryEntry records an entry of the directory. While the daemon is connected at another
// address, the entry is kept aside until that connection ends.
func (f *Fleet) recordDirectoryEntry(member Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	peer := f.findOrAddPeer(member)
	switch {
	case peer == nil:
	case peer.connected && peer.Member != member:
		peer.listedMember = &member
	default:
		peer.listedMember = nil
		f.updateMember(peer, member)
	}
}

// recordIntroduced records a daemon named by another one. The information may be outdated, so it is
// used only for a daemon that is not known yet.
func (f *Fleet) recordIntroduced(member Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.findOrAddPeer(member)
}

// updateMember replaces a peer's member data; the caller holds mutex.
func (f *Fleet) updateMember(peer *peer, member Member) {
	if peer.Member == member {
		return
	}
	peer.Member = member
	peer.displacedAt = time.Time{}
	signal(peer.dialNow)
	signal(f.reviewLinks)
}

// applyListedMember applies the directory entry that was kept aside while the connection was open;
// Fleet.mutex is held.
func (p *peer) applyListedMember() {
	if p.listedMember == nil {
		return
	}
	p.Member = *p.listedMember
	p.listedMember = nil
	p.displacedAt = time.Time{}
}

// markDisplaced records that another daemon answers at a peer's address. The peer has ended or
// moved, so its instances are dropped and it is not dialed there.
func (f *Fleet) markDisplaced(peer *peer, other *callmux.OtherDaemonError) {
	f.mutex.Lock()
	if peer.Address == other.Address {
		peer.displacedAt = boottime.Now()
		peer.announcement = nil
		peer.revision = 0
	}
	f.mutex.Unlock()
	f.config.Logger.Info("fleet.displaced", "member", other.Expected, "address", other.Address, "by", other.Found)
	signal(f.reportDue)
	signal(f.reviewLinks)
}

// isDisplaced reports whether another daemon was found at the peer's address within
// displacedRetryInterval; Fleet.mutex is held.
func (p *peer) isDisplaced(now time.Time) bool {
	return !p.displacedAt.IsZero() && now.Sub(p.displacedAt) < displacedRetryInterval
}
