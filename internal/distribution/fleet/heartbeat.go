package fleet

import (
	"time"

	"github.com/lapisvane/lapisvane/internal/distribution/configsource"
	"github.com/lapisvane/lapisvane/internal/model/locality"
	"github.com/lapisvane/lapisvane/internal/transport/callmux"
)

// recordHeartbeat records what another daemon has in force and how recently that was
// confirmed; peer is nil for one that is not remembered. A confirmation that makes this
// daemon fresher is passed on.
func (f *Fleet) recordHeartbeat(peer *peer, heartbeat callmux.Heartbeat) {
	if peer != nil {
		f.mutex.Lock()
		f.recordRevision(peer, heartbeat.Revision)
		f.mutex.Unlock()
	}
	versions := configsource.Versions{Configuration: heartbeat.Revision, Orders: heartbeat.Orders}
	if !heartbeat.Confirmed.IsZero() && f.config.Freshness.Confirm(versions, heartbeat.Confirmed) {
		f.SendHeartbeats()
	}
}

// SendHeartbeats sends what is in force here and how fresh it is, ahead of the regular
// heartbeats, to all linked daemons that lack a version, or whose last statement is older
// than what is confirmed here by more than earlyHeartbeatGain. It does not wait.
func (f *Fleet) SendHeartbeats() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, peer := range f.peers {
		if peer.connected {
			peer.link.HeartbeatEarly(f.earlyHeartbeatGain(peer.place()))
		}
	}
	for inbound := range f.inbound {
		inbound.link.HeartbeatEarly(f.earlyHeartbeatGain(inbound.place))
	}
}

// earlyHeartbeatGain returns by how much a confirmation must be newer than what a daemon at
// a place stated to be sent there ahead of the next regular heartbeat.
func (f *Fleet) earlyHeartbeatGain(there locality.Place) time.Duration {
	switch f.config.Self.place().TierOf(there) {
	case locality.OwnZone:
		return zoneGain
	case locality.OwnRegion:
		return regionGain
	default:
		return otherRegionGain
	}
}
