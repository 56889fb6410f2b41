package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/shared/boottime"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// The rule of where a daemon is. An address belongs to the daemon that answers there.
// Statements about a daemon's address are believed in this order: its own greeting, the
// directory (seconds old), other daemons' introductions (of any age). Inputs are the
// statement, its kind, and whether the daemon is connected.

// recordHello records the greeting of a daemon that connects to this one, and returns its
// peer, nil for one that is not remembered; the caller holds mutex.
func (f *Fleet) recordHello(member Member) *peer {
	known := f.findOrAddPeer(member)
	if known == nil {
		return nil
	}
	known.listed = nil
	known.displacedAt = time.Time{}
	f.move(known, member)
	return known
}

// recordDirectoryEntry records an entry of the directory. While the daemon is connected at
// another address, that is where it is; the entry counts once that connection ends.
func (f *Fleet) recordDirectoryEntry(member Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.findOrAddPeer(member)
	switch {
	case known == nil:
	case known.connected && known.Member != member:
		known.listed = &member
	default:
		known.listed = nil
		f.move(known, member)
	}
}

// recordIntroduced records what another daemon says of a third one. It may be older than
// what is known here, so that it counts only for a daemon that is not known yet.
func (f *Fleet) recordIntroduced(member Member) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.findOrAddPeer(member)
}

// move records where a daemon is; the caller holds mutex.
func (f *Fleet) move(known *peer, member Member) {
	if known.Member == member {
		return
	}
	known.Member = member
	known.displacedAt = time.Time{}
	signal(known.dialNow)
	signal(f.reviewLinks)
}

// moveAsListed applies what the directory said while the connection that has now
// ended was open; Fleet.mutex is held.
func (p *peer) moveAsListed() {
	if p.listed == nil {
		return
	}
	p.Member = *p.listed
	p.listed = nil
	p.displacedAt = time.Time{}
}

// displace records that another daemon answers at a peer's address, so that the peer has
// ended or moved: its instances are forgotten, and it is not dialed there.
func (f *Fleet) displace(peer *peer, other *callmux.OtherDaemonError) {
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

// displaced reports whether another daemon was found at the address within
// displacedRecheck; Fleet.mutex is held.
func (p *peer) displaced(now time.Time) bool {
	return !p.displacedAt.IsZero() && now.Sub(p.displacedAt) < displacedRecheck
}
